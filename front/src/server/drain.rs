//! The stages of a graceful shutdown after SIGTERM: when a process stops taking requests, when it gives up open ones, when it
//! ends. No I/O and no clock; all deadlines follow from how long the classes' requests may take.
use cranesill::api::{Micros, Timestamp};

/// Requests are taken for this long after SIGTERM: clients are notified one after another.
const MAX_SERVING_TIME: Micros = 1_000_000;
/// The platform kills a process no earlier than the longest time of a class after SIGTERM, of which no more than this counts.
const MAX_COUNTED_WAIT: Micros = 3_000_000;
/// Time between the longest time of a class and the kill.
const KILL_DELAY: Micros = 700_000;
/// The process ends by itself this much before the kill.
const END_MARGIN: Micros = 100_000;
/// How long clients have to read their answers and to close their connections.
const MAX_CLOSING_TIME: Micros = 200_000;
/// While another process takes over, connections stay open for their clients until this much before the longest time.
const HANDOVER_MARGIN: Micros = 200_000;

/// How far a shutdown has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Requests are still taken.
    Serving,
    /// New requests are refused, open ones are answered.
    Rejecting,
    /// Requests that are still open are answered as given up; connections are closed once clients have read their answers.
    Closing,
    /// The process ends, whatever is unfinished.
    Ended,
}

/// The deadlines of a shutdown.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    /// When new requests are refused.
    reject_at: Timestamp,
    /// When connections are closed, whatever is unfinished.
    close_at: Timestamp,
    /// When the process ends at the latest.
    end_at: Timestamp,
    /// Until when clients may keep connections without an open request.
    linger_until: Timestamp,
    /// When connections began to be closed.
    closing_since: Option<Timestamp>,
}

impl Drain {
    /// Begins the shutdown. `waits` holds the longest time of each class, 0 where there is none; `beside` says that another
    /// process has taken the clients' socket over.
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

    /// Returns the times at which a stage may begin.
    pub fn deadlines(&self) -> [Timestamp; 4] {
        [
            self.reject_at,
            self.linger_until,
            self.close_at,
            self.end_at,
        ]
    }

    /// Returns how far the shutdown has come.
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

    /// Begins to close connections if it is time: once nothing is unfinished and clients were given the time to leave by
    /// themselves, or at the deadline. Returns when the shutdown ends at the latest, if closing begins now.
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
