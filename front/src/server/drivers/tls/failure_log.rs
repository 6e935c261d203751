//! Rate limit for log lines about failed handshakes. Each line sums up the failures since the last one.
use cranesill::api::{Micros, Timestamp};
use std::collections::BTreeMap;

/// Minimum interval between two log lines.
const LOG_INTERVAL: Micros = 1_000_000;

/// Handshake failures that are not logged yet.
#[derive(Default)]
pub(super) struct FailureLog {
    /// Number of failures by label.
    unlogged: BTreeMap<&'static str, u64>,
    next_log_at: Timestamp,
}

impl FailureLog {
    /// Counts a failure.
    pub(super) fn record(&mut self, label: &'static str) {
        *self.unlogged.entry(label).or_default() += 1;
    }

    /// Logs the failures since the last line if the minimum interval has passed.
    pub(super) fn log_if_due(&mut self, now: Timestamp) {
        if now < self.next_log_at || self.unlogged.is_empty() {
            return;
        }
        let kinds: Vec<_> = self
            .unlogged
            .iter()
            .map(|(label, count)| format!("{label}:{count}"))
            .collect();
        tracing::info!(kinds = kinds.join(","), "handshakes failed");
        self.unlogged.clear();
        self.next_log_at = now + LOG_INTERVAL;
    }

    /// Returns the time at which the next line is due.
    pub(super) fn next_deadline(&self) -> Option<Timestamp> {
        (!self.unlogged.is_empty()).then_some(self.next_log_at)
    }
}
