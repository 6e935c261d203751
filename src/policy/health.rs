//! Health of one endpoint: the failure counter and its states UP, DOWN and SUSPECT.
//!
//! Caches, parents and the origin use the same state machine. Which endpoint is charged with a failure is decided in
//! `failure_detection`.
use super::units::MILLISECOND;
use crate::api::{Micros, Timestamp};

/// Failures beyond the first that take an endpoint DOWN (Traffic Server's `max_retries`).
const MAX_RETRIES: u32 = 3;
/// Probes of a SUSPECT endpoint in flight in addition to the first (Traffic Server's `suspect_server`).
const MAX_SUSPECT_RETRIES: u32 = 1;
/// Time for which a DOWN endpoint gets no requests. Traffic Server has 60 s, its design 10 s; here an endpoint is a
/// large part of a zone and a probe costs only one request, which is retried elsewhere.
const FAIL_WINDOW: Micros = 5_000 * MILLISECOND;

/// Whether an endpoint may get requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthState {
    /// Gets requests.
    Up,
    /// Gets no requests until the fail window ends.
    Down,
    /// The fail window has ended, and a few requests probe the endpoint.
    Suspect,
}

/// Kind of failure of an attempt. The names appear in log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The connection could not be established or broke: the process has stopped.
    Lost,
    /// An error response.
    Error,
    /// A rejection, or a late or missing response: charged to the endpoint only if most of its peers are healthy.
    Soft,
}

/// Why an endpoint went DOWN.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DownCause {
    /// The connection failed, so the endpoint will restart with an empty cache.
    ConnectionLost,
    /// Its process runs but failed requests.
    FailedRequests,
}

/// Stored state. Whether an endpoint that is not UP is DOWN or SUSPECT follows from `since` and the current time.
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
    /// Attempts sent before this time are not evidence of the current state.
    changed_at: Timestamp,
    /// Probes in flight while SUSPECT.
    probes_in_flight: u32,
    last_response_at: Timestamp,
    last_failure_at: Timestamp,
    /// When the first failed attempt after the last response was sent.
    unresponsive_since: Timestamp,
}

impl Health {
    /// Creates the state of an UP endpoint; attempts sent before `now` do not count.
    pub fn new(now: Timestamp) -> Self {
        Health {
            changed_at: now,
            ..Health::default()
        }
    }

    pub fn state(&self, now: Timestamp) -> HealthState {
        match self.availability {
            Availability::Up => HealthState::Up,
            Availability::Down { since, .. } if now < since + FAIL_WINDOW => HealthState::Down,
            Availability::Down { .. } => HealthState::Suspect,
        }
    }

    /// Whether it went DOWN and no probe has succeeded since.
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

    /// Whether a request may be sent: UP, or SUSPECT with fewer probes in flight than allowed.
    pub fn is_selectable(&self, now: Timestamp) -> bool {
        match self.state(now) {
            HealthState::Up => true,
            HealthState::Down => false,
            HealthState::Suspect => self.probes_in_flight <= MAX_SUSPECT_RETRIES,
        }
    }

    /// Current value of the failure counter.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    pub fn last_response_at(&self) -> Timestamp {
        self.last_response_at
    }

    /// Whether it is UP, has responded since its last failure, and has at most half of the failures that would take it
    /// DOWN.
    pub fn has_few_failures(&self) -> bool {
        let responded_last = self.last_failure_at <= self.last_response_at;
        !self.is_down_or_suspect() && responded_last && self.failures * 2 <= MAX_RETRIES
    }

    /// Records a response of any kind.
    pub fn record_response(&mut self, now: Timestamp) {
        self.last_response_at = now;
    }

    pub fn start_probe(&mut self) {
        self.probes_in_flight += 1;
    }

    pub fn end_probe(&mut self) {
        self.probes_in_flight = self.probes_in_flight.saturating_sub(1);
    }

    /// Records the time of a failure, counted or not. Returns when the first failed attempt since the last response
    /// was sent: with little traffic, peers may have responded only at some time within that whole period.
    pub fn record_failure_time(&mut self, sent_at: Timestamp, now: Timestamp) -> Timestamp {
        self.last_failure_at = now;
        self.unresponsive_since = if self.unresponsive_since <= self.last_response_at {
            sent_at
        } else {
            self.unresponsive_since.min(sent_at)
        };
        self.unresponsive_since
    }

    /// Counts a failed attempt. Returns whether it took the endpoint DOWN.
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

    /// Counts a served request. Returns why the endpoint had been DOWN if this brings it UP. An UP endpoint has one
    /// failure subtracted rather than all: one that fails every other attempt must go DOWN.
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
            // An attempt from before the end of the fail window is not a probe.
            Availability::Down { .. } => None,
        }
    }

    /// Makes an UP endpoint SUSPECT, as another process of this front observed.
    pub fn suspect(&mut self, now: Timestamp, cause: DownCause) {
        if self.availability == Availability::Up {
            let since = now.saturating_sub(FAIL_WINDOW);
            self.availability = Availability::Down { since, cause };
        }
    }
}
