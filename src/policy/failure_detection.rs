//! Passive failure detection: which endpoint is charged with a failed attempt, and the consequences.
use super::endpoint::{EndpointIndex, Role};
use super::health::{DownCause, Failure, HealthState};
use super::router::Router;
use crate::api::{Action, Timestamp};

impl Router {
    /// Whether the health of an endpoint admits a request; a SUSPECT one admits only requests that `may_probe`.
    pub(super) fn is_healthy_for(&self, at: EndpointIndex, may_probe: bool) -> bool {
        let health = &self.endpoints[at].health;
        let acceptable = may_probe || health.state(self.now) == HealthState::Up;
        acceptable && health.is_selectable(self.now)
    }

    pub(super) fn is_suspect(&self, at: EndpointIndex) -> bool {
        self.endpoints[at].health.state(self.now) == HealthState::Suspect
    }

    /// Charges a failure to the endpoint that has not responded since `sent_at`: the target, or else the source.
    /// Returns the endpoint charged.
    pub(super) fn charge_unresponsive(
        &mut self,
        target: EndpointIndex,
        source: Option<EndpointIndex>,
        sent_at: Timestamp,
    ) -> Option<EndpointIndex> {
        let unresponsive =
            |at: &EndpointIndex| self.endpoints[*at].health.last_response_at() < sent_at;
        let suspect = Some(target)
            .filter(unresponsive)
            .or(source.filter(unresponsive))?;
        self.record_failure(suspect, sent_at, Failure::Soft);
        Some(suspect)
    }

    /// Whether most peers (other endpoints of the role) that responded since `sent_at`, or have failures, are healthy.
    /// Soft failures count only then: a fault that affects all peers alike, such as a slow origin, a full link or
    /// overload, must not take them DOWN. Failures that were not counted are included.
    fn most_peers_healthy(&self, at: EndpointIndex, sent_at: Timestamp) -> bool {
        let peers = self.endpoints.ready(self.endpoints[at].role).iter();
        let mut observed = 0_usize;
        let mut healthy = 0_usize;
        for peer in peers.filter(|peer| **peer != at) {
            let health = &self.endpoints[*peer].health;
            let is_healthy = health.has_few_failures();
            if !is_healthy || health.last_response_at() >= sent_at {
                observed += 1;
                healthy += usize::from(is_healthy);
            }
        }
        healthy * 2 > observed
    }

    /// Counts a failure. If it takes a cache DOWN, idempotent requests in flight there are retried elsewhere.
    pub(super) fn record_failure(
        &mut self,
        at: EndpointIndex,
        sent_at: Timestamp,
        failure: Failure,
    ) {
        let unresponsive_since = self.endpoints[at]
            .health
            .record_failure_time(sent_at, self.now);
        if failure == Failure::Soft && !self.most_peers_healthy(at, unresponsive_since) {
            return;
        }
        let endpoint = &mut self.endpoints[at];
        if !endpoint.health.count_failure(sent_at, self.now, failure) {
            return;
        }
        let role = endpoint.role;
        let id = endpoint.listed.endpoint.0;
        let count = endpoint.health.failures();
        self.actions.push(Action::Log(format!(
            "{role:?} {id:x} DOWN after {count} failures, {failure:?}"
        )));
        if role == Role::Cache {
            self.cancel_attempts_at(at);
        }
    }

    /// Cancels idempotent attempts at a cache; each cancellation leads to an attempt elsewhere.
    fn cancel_attempts_at(&mut self, cache: EndpointIndex) {
        if !self.settings.cancellation {
            return;
        }
        for (id, pending) in &mut self.pending {
            if pending.done || !pending.is_idempotent() {
                continue;
            }
            for (number, attempt) in pending.attempts.iter_mut().enumerate() {
                if attempt.route.target == cache {
                    attempt.cancel(*id, number, &mut self.actions);
                }
            }
        }
    }

    /// Counts a request that an endpoint served.
    pub(super) fn record_success(&mut self, at: EndpointIndex, sent_at: Timestamp) {
        let started_at = self.endpoints.discovery_time(self.now);
        let endpoint = &mut self.endpoints[at];
        let Some(cause) = endpoint.health.count_success(sent_at, self.now) else {
            return;
        };
        if cause == DownCause::ConnectionLost {
            // The process had stopped, so it has restarted with an empty cache.
            endpoint.restart_slow_start(self.now, started_at);
            self.warming_up.insert(at);
        }
        let role = endpoint.role;
        let id = endpoint.listed.endpoint.0;
        self.actions
            .push(Action::Log(format!("{role:?} {id:x} UP again")));
    }
}
