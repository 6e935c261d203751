//! Health of one endpoint: the failure counter and its states UP, DOWN and SUSPECT.
//!
//! One mechanism serves caches, parents and the origin. It is a state machine without I/O; which failures are
//! charged to which endpoint is decided in `failure_detection`.
use super::units::MILLISECOND;
use crate::api::{Micros, Timestamp};

/// Failed attempts beyond the first that take an endpoint DOWN (Traffic Server's `max_retries`).
const MAX_RETRIES: u32 = 3;
/// Probes of a SUSPECT endpoint beside the first (Traffic Server's `suspect_server`).
const MAX_SUSPECT_RETRIES: u32 = 1;
/// How long a DOWN endpoint gets no requests. Traffic Server has 60 s, its design 10 s; here an endpoint is a good
/// part of a zone, and a probe costs one request that is retried elsewhere.
const FAIL_WINDOW: Micros = 5_000 * MILLISECOND;

/// Whether an endpoint may get requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthState {
    /// It gets requests.
    Up,
    /// It gets none until the fail window ends.
    Down,
    /// The fail window has ended; a few requests probe it.
    Suspect,
}

/// What a failed attempt says about the endpoint. The names appear in log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No connection was made, or it broke: the process is gone.
    Lost,
    /// An error answer.
    Error,
    /// Rejected, slow or silent: a fault of its own only where its peers do better.
    Soft,
}

/// Why an endpoint went DOWN.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DownCause {
    /// No connection was made: it will come back with an empty cache.
    ConnectionLost,
    /// It failed requests though it runs.
    FailedRequests,
}

/// Whether an endpoint is out of use; the end of the fail window is worked out from `since`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Availability {
    #[default]
    Up,
    Down {
        since: Timestamp,
        cause: DownCause,
    },
}

/// Failure counter and state of one endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    availability: Availability,
    failures: u32,
    /// Attempts sent before this time prove nothing about the current state.
    changed_at: Timestamp,
    /// Probes in flight while SUSPECT.
    probes_in_flight: u32,
    last_response_at: Timestamp,
    last_failure_at: Timestamp,
    /// When the first attempt of its present silence was sent, if that was after its last answer.
    unresponsive_since: Timestamp,
}

impl Health {
    /// A healthy endpoint of which nothing is known from before `now`.
    pub fn new(now: Timestamp) -> Self {
        Health {
            changed_at: now,
            ..Health::default()
        }
    }

    /// The state at this time.
    pub fn state(&self, now: Timestamp) -> HealthState {
        match self.availability {
            Availability::Up => HealthState::Up,
            Availability::Down { since, .. } if now < since + FAIL_WINDOW => HealthState::Down,
            Availability::Down { .. } => HealthState::Suspect,
        }
    }

    /// Whether it went DOWN and has not proven itself since.
    pub fn is_down_or_suspect(&self) -> bool {
        self.availability != Availability::Up
    }

    /// Why it is DOWN or SUSPECT; `None` while UP.
    pub fn down_cause(&self) -> Option<DownCause> {
        match self.availability {
            Availability::Up => None,
            Availability::Down { cause, .. } => Some(cause),
        }
    }

    /// Whether a request may go there: UP, or SUSPECT with a probe to spare.
    pub fn is_selectable(&self, now: Timestamp) -> bool {
        match self.state(now) {
            HealthState::Up => true,
            HealthState::Down => false,
            HealthState::Suspect => self.probes_in_flight <= MAX_SUSPECT_RETRIES,
        }
    }

    /// Failures that count at present.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// When it answered last.
    pub fn last_response_at(&self) -> Timestamp {
        self.last_response_at
    }

    /// Whether it shows few failures: UP, its last sign of life newer than its last failure, and at most half of the
    /// failures that would take it DOWN.
    pub fn has_few_failures(&self) -> bool {
        let responded_last = self.last_failure_at <= self.last_response_at;
        !self.is_down_or_suspect() && responded_last && self.failures * 2 <= MAX_RETRIES
    }

    /// An answer of any kind arrived.
    pub fn record_response(&mut self, now: Timestamp) {
        self.last_response_at = now;
    }

    /// A probe was sent.
    pub fn start_probe(&mut self) {
        self.probes_in_flight += 1;
    }

    /// A probe ended.
    pub fn end_probe(&mut self) {
        self.probes_in_flight = self.probes_in_flight.saturating_sub(1);
    }

    /// Notes a failure, whether or not it will count, and returns since when the endpoint has been silent. Where
    /// there is little traffic its peers are only heard from over its whole silence.
    pub fn record_failure_time(&mut self, sent_at: Timestamp, now: Timestamp) -> Timestamp {
        self.last_failure_at = now;
        self.unresponsive_since = if self.unresponsive_since <= self.last_response_at {
            sent_at
        } else {
            self.unresponsive_since.min(sent_at)
        };
        self.unresponsive_since
    }

    /// Counts a failed attempt. Returns whether the endpoint went DOWN by it.
    pub fn count_failure(&mut self, sent_at: Timestamp, now: Timestamp, failure: Failure) -> bool {
        let state = self.state(now);
        if state == HealthState::Down || sent_at < self.changed_at {
            return false;
        }
        self.failures += 1;
        if state == HealthState::Up && self.failures <= MAX_RETRIES {
            return false;
        }
        let cause = match failure {
            Failure::Lost => DownCause::ConnectionLost,
            Failure::Error | Failure::Soft => DownCause::FailedRequests,
        };
        self.availability = Availability::Down { since: now, cause };
        self.changed_at = now;
        self.probes_in_flight = 0;
        true
    }

    /// Counts a served request. Returns why the endpoint had been DOWN if it came UP by it. One that is UP has one
    /// failure taken off, not all: an endpoint that fails every other attempt must go DOWN.
    pub fn count_success(&mut self, sent_at: Timestamp, now: Timestamp) -> Option<DownCause> {
        self.last_response_at = now;
        match self.availability {
            Availability::Up => {
                self.failures = self.failures.saturating_sub(1);
                None
            }
            Availability::Down { since, cause } if sent_at >= since + FAIL_WINDOW => {
                *self = Health::new(now);
                self.last_response_at = now;
                Some(cause)
            }
            // A late success of an attempt from before the window's end is no probe.
            Availability::Down { .. } => None,
        }
    }

    /// Makes an UP endpoint SUSPECT, as another process of this front found it.
    pub fn suspect(&mut self, now: Timestamp, cause: DownCause) {
        if self.availability == Availability::Up {
            let since = now.saturating_sub(FAIL_WINDOW);
            self.availability = Availability::Down { since, cause };
        }
    }
}
