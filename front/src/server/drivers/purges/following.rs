//! The purge log of a follower: what its writer sends takes effect at once, and is confirmed once it is durable.
use super::journal_writer::DurablePosition;
use super::{purge_date, Purges};
use crate::protocol::follow::Frame;
use crate::server::drivers::{Effect, PurgeEffect, Turn};
use cranesill_purges::log::{AppendError, Appended, PurgeLog};
use cranesill_purges::{Purge, PurgeNumber};

impl Purges {
    /// Applies frames from the writer. What follows a bad one is dropped with the connection.
    pub(super) fn apply_frames(&mut self, turn: &mut Turn<'_>, frames: Vec<Frame>) {
        for frame in frames {
            if frame.reset {
                self.begin_anew(turn, &frame);
            } else if !self.apply_batch(turn, frame) {
                return;
            }
        }
    }

    /// Replaces the log by an empty one. Purges that the writer has compacted are older than any copy; purges of another
    /// log are not known to the writer, so everything counts as purged.
    fn begin_anew(&mut self, turn: &mut Turn<'_>, frame: &Frame) {
        let lost = self.log.last_number() > 0;
        tracing::warn!(
            kind = "anew",
            base = frame.base,
            lost,
            "purges: the ledger begins anew"
        );
        self.log = PurgeLog::after(frame.log_identity, frame.base);
        self.durable = DurablePosition::end_of(&self.log);
        if lost {
            let everything = PurgeEffect::AllPurged {
                up_to: purge_date(turn),
            };
            turn.effects.push(Effect::Purges(everything));
        }
        self.rewrite_journal(turn);
    }

    /// Returns whether the batch was good.
    fn apply_batch(&mut self, turn: &mut Turn<'_>, frame: Frame) -> bool {
        let last_sent = frame.purges.last().map(|purge| purge.number);
        let new = match self.append_batch(frame.log_identity, frame.purges) {
            Ok(new) => new,
            Err(BadBatch { number, cause }) => {
                tracing::warn!(kind = "out-of-order", refused = ?cause, number, "purges: a bad batch");
                self.disconnect_writer(turn, "it sent what does not follow");
                return false;
            }
        };
        if !new.is_empty() {
            turn.effects
                .push(Effect::Purges(PurgeEffect::Purged(new.clone())));
            self.store_batch(turn, new);
        }
        if let (Some(number), Some(writer)) = (last_sent, &mut self.writer) {
            writer.owe_confirmation(number);
            writer.confirm_durable(turn.now, self.durable.number);
        }
        if frame.log_identity == self.log.identity && frame.head == self.log.last_number() {
            turn.effects.push(Effect::Purges(PurgeEffect::Contact));
        }
        true
    }

    /// Appends a batch to the log, and returns the purges that are new.
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

    /// Makes purges durable that were appended to the log.
    fn store_batch(&mut self, turn: &mut Turn<'_>, purges: Vec<Purge>) {
        let durable = DurablePosition::end_of(&self.log);
        if self.journal.file().is_none() {
            self.durable = durable;
            return;
        }
        if let Err(error) = self.journal.append_batch(durable, purges) {
            self.journal_failed(turn, &error.to_string());
        }
    }

    /// The journal is durable up to a position: the writer gets the confirmation that it waits for.
    pub(super) fn advance_durable(&mut self, turn: &mut Turn<'_>, written: DurablePosition) {
        self.durable.advance(written);
        if let Some(writer) = &mut self.writer {
            writer.confirm_durable(turn.now, self.durable.number);
        }
    }

    /// Closes the connection to the writer, so that it sends again what is not durable here.
    pub(super) fn disconnect_writer(&mut self, turn: &mut Turn<'_>, why: &str) {
        if let Some(writer) = &mut self.writer {
            writer.disconnect(turn.now, why);
        }
    }
}

/// A purge of a batch that the log rejected.
struct BadBatch {
    number: PurgeNumber,
    cause: AppendError,
}
