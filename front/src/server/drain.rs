//! The stages of a graceful shutdown after SIGTERM: when new requests are rejected, when open ones are failed, and when the
//! process exits. No I/O and no clock; all deadlines are derived from the request timeouts of the classes.
use cranesill::api::{Micros, Timestamp};

/// New requests are accepted for this long after SIGTERM, until clients have processed the notification.
const MAX_SERVING_TIME: Micros = 1_000_000;
/// Upper limit on the longest class timeout that counts towards the time until the platform kills the process.
const MAX_COUNTED_WAIT: Micros = 3_000_000;
/// Time between the longest class timeout and the kill by the platform.
const KILL_DELAY: Micros = 700_000;
/// The process exits this long before the platform kills it.
const END_MARGIN: Micros = 100_000;
/// Time that clients have to read their responses and close their connections. Clients that still receive responses after it have until
/// the process exits at the latest.
const MAX_CLOSING_TIME: Micros = 200_000;
/// After a handover to another process, connections stay open for their clients until this long before the longest class timeout.
const HANDOVER_MARGIN: Micros = 200_000;

/// Stages of a shutdown, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// New requests are accepted.
    Serving,
    /// New requests are rejected; open ones are completed.
    Rejecting,
    /// Open requests are failed; connections are closed once clients have read their responses.
    Closing,
    /// The process exits, even with unfinished work.
    Ended,
}

/// The deadlines of a shutdown.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    /// When new requests are rejected.
    reject_at: Timestamp,
    /// When connections are closed even if requests are unfinished.
    close_at: Timestamp,
    /// The latest time at which the process exits.
    end_at: Timestamp,
    /// Until when connections without an open request may stay open.
    linger_until: Timestamp,
    /// When closing of connections started.
    closing_since: Option<Timestamp>,
}

impl Drain {
    /// Calculates the deadlines. `waits` contains the request timeout of each class, 0 where there is none; `handed_over` is set if
    /// another process accepts clients.
    pub fn new(now: Timestamp, waits: &[Micros], handed_over: bool) -> Self {
        let longest = waits
            .iter()
            .copied()
            .max()
            .filter(|w| *w > 0)
            .unwrap_or(MAX_COUNTED_WAIT)
            .min(MAX_COUNTED_WAIT);
        let end_at = now + longest + KILL_DELAY - END_MARGIN;
        let close_at = end_at - MAX_CLOSING_TIME;
        let reject_at = (now + MAX_SERVING_TIME).min(close_at);
        let linger_until = now + longest.saturating_sub(HANDOVER_MARGIN);
        let linger_until = if handed_over {
            linger_until.clamp(reject_at, close_at)
        } else {
            reject_at
        };
        Drain {
            reject_at,
            close_at,
            end_at,
            linger_until,
            closing_since: None,
        }
    }

    /// Returns the times at which the stage may change.
    pub fn deadlines(&self) -> [Timestamp; 4] {
        [
            self.reject_at,
            self.linger_until,
            self.close_at,
            self.end_at,
        ]
    }

    /// Returns the current stage.
    pub fn stage(&self, now: Timestamp) -> Stage {
        match self.closing_since {
            _ if now >= self.end_at => Stage::Ended,
            Some(since) if now >= since + MAX_CLOSING_TIME => Stage::Ended,
            Some(_) => Stage::Closing,
            None if now >= self.close_at => Stage::Closing,
            None if now >= self.reject_at => Stage::Rejecting,
            None => Stage::Serving,
        }
    }

    /// Whether the process exits: at the deadline, or once clients had time to read their responses and none still receives one.
    pub fn is_over(&self, now: Timestamp, has_undelivered: impl FnOnce() -> bool) -> bool {
        now >= self.end_at || self.stage(now) == Stage::Ended && !has_undelivered()
    }

    /// Starts closing connections once no work is unfinished and clients had time to disconnect, or at the deadline. If closing starts
    /// now, returns the earliest time at which the process exits while clients are connected.
    pub fn begin_closing(
        &mut self,
        now: Timestamp,
        has_unfinished: bool,
        has_clients: bool,
    ) -> Option<Timestamp> {
        let lingers = now < self.linger_until && has_clients;
        let is_finished = self.stage(now) == Stage::Rejecting && !has_unfinished && !lingers;
        let is_due = self.stage(now) >= Stage::Closing || is_finished;
        if self.closing_since.is_some() || !is_due {
            return None;
        }
        self.closing_since = Some(now);
        Some(self.end_at.min(now + MAX_CLOSING_TIME))
    }
}

#[cfg(test)]
mod tests;
