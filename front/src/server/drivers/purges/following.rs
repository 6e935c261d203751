//! Follower side of purge log replication. Purges from the writer take effect immediately, and are confirmed once durable.
use super::journal_writer::DurablePosition;
use super::{purge_timestamp, Purges};
use crate::protocol::follow::Frame;
use crate::server::drivers::{Effect, PurgeEffect, Turn};
use cranesill_purges::log::{AppendError, Appended, PurgeLog};
use cranesill_purges::{Purge, PurgeNumber};

impl Purges {
    /// Applies frames from the writer. After an invalid frame the connection is closed and the remaining ones are dropped.
    pub(super) fn apply_frames(&mut self, turn: &mut Turn<'_>, frames: Vec<Frame>) {
        for frame in frames {
            if frame.reset {
                self.reset_log(turn, &frame);
            } else if !self.apply_batch(turn, frame) {
                return;
            }
        }
    }

    /// Replaces the log by an empty one. Purges that the writer has compacted are older than any copy. Purges of the replaced log
    /// may be unknown to the writer, also ones that never arrived here, so all copies count as purged, also after a restart of
    /// this front.
    fn reset_log(&mut self, turn: &mut Turn<'_>, frame: &Frame) {
        let lost = self.may_have_had_purges();
        tracing::warn!(
            kind = "anew",
            base = frame.base,
            lost,
            "purges: the writer reset the purge log"
        );
        let missing_before = self.log.purged_up_to();
        self.log = PurgeLog::after(frame.log_identity, frame.base);
        self.log_is_from_writer = true;
        self.log.record_missing(missing_before);
        if lost {
            let up_to = purge_timestamp(turn);
            self.log.record_missing(up_to);
            let everything = PurgeEffect::AllPurged { up_to };
            turn.effects.push(Effect::Purges(everything));
        }
        self.durable = DurablePosition::end_of(&self.log);
        self.rewrite_journal(turn);
    }

    /// Whether the log has or may lack purges: only this front's own log without any has lost none.
    fn may_have_had_purges(&self) -> bool {
        self.log_is_from_writer || self.log.last_number() > 0 || self.log.purged_up_to() > 0
    }

    /// Applies a batch. Returns `false` if it is invalid and the connection was closed.
    fn apply_batch(&mut self, turn: &mut Turn<'_>, frame: Frame) -> bool {
        let last_sent = frame.purges.last().map(|purge| purge.number);
        let new = match self.append_batch(frame.log_identity, frame.purges) {
            Ok(new) => new,
            Err(BadBatch { number, cause }) => {
                tracing::warn!(kind = "out-of-order", refused = ?cause, number, "purges: invalid batch from the writer");
                self.disconnect_writer(turn, "the writer sent an invalid batch");
                return false;
            }
        };
        if !new.is_empty() {
            turn.effects
                .push(Effect::Purges(PurgeEffect::Purged(new.clone())));
            self.store_batch(turn, new);
        }
        if let (Some(number), Some(writer)) = (last_sent, &mut self.writer) {
            writer.confirm_when_durable(number);
            writer.confirm_durable(turn.now, self.durable.number);
        }
        self.log_is_from_writer |= frame.log_identity == self.log.identity;
        if frame.log_identity == self.log.identity && frame.head == self.log.last_number() {
            turn.effects.push(Effect::Purges(PurgeEffect::Contact));
        }
        true
    }

    /// Appends a batch to the log. Returns the purges that it did not have.
    fn append_batch(&mut self, log: u64, purges: Vec<Purge>) -> Result<Vec<Purge>, BadBatch> {
        let mut new = Vec::new();
        for purge in purges {
            let number = purge.number;
            match self.log.append(log, purge.clone()) {
                Ok(Appended::New) => new.push(purge),
                Ok(Appended::AlreadyPresent) => {}
                Err(cause) => return Err(BadBatch { number, cause }),
            }
        }
        Ok(new)
    }

    /// Starts to make appended purges durable.
    fn store_batch(&mut self, turn: &mut Turn<'_>, purges: Vec<Purge>) {
        let durable = DurablePosition::end_of(&self.log);
        if self.journal.file().is_none() || !self.sharing.is_writer() {
            self.durable = durable;
            return;
        }
        if let Err(error) = self.journal.append_batch(durable, purges) {
            self.journal_failed(turn, &error.to_string());
        }
    }

    /// Records that the journal is durable up to a position, and confirms that to the writer.
    pub(super) fn advance_durable(&mut self, turn: &mut Turn<'_>, written: DurablePosition) {
        self.durable.advance(written);
        if let Some(writer) = &mut self.writer {
            writer.confirm_durable(turn.now, self.durable.number);
        }
    }

    /// Closes the connection to the writer. After a reconnect it sends the purges again that are not durable here.
    pub(super) fn disconnect_writer(&mut self, turn: &mut Turn<'_>, reason: &str) {
        if let Some(writer) = &mut self.writer {
            writer.disconnect(turn.now, reason);
        }
    }
}

/// A batch with a purge that the log rejected.
struct BadBatch {
    number: PurgeNumber,
    cause: AppendError,
}
