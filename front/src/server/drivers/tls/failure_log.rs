//! Sums failed handshakes up for the log, so that a flood of them does not flood the log.
use cranesill::api::{Micros, Timestamp};
use std::collections::BTreeMap;

/// Least time between two log lines.
const LOG_INTERVAL: Micros = 1_000_000;

/// Failures that are not logged yet.
#[derive(Default)]
pub(super) struct FailureLog {
    /// How many, by label.
    unlogged: BTreeMap<&'static str, u64>,
    next_log_at: Timestamp,
}

impl FailureLog {
    /// Counts a failure.
    pub(super) fn record(&mut self, label: &'static str) {
        *self.unlogged.entry(label).or_default() += 1;
    }

    /// Logs the failures since the last line, unless that is too recent.
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

    /// Returns when the next line is due.
    pub(super) fn next_deadline(&self) -> Option<Timestamp> {
        (!self.unlogged.is_empty()).then_some(self.next_log_at)
    }
}
