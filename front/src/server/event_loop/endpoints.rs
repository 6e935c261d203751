//! Applies watch events of the endpoint list, and lists received from peers.
use super::timers::Timer;
use super::Server;
use crate::protocol::discovery::{EndpointRecord, WatchEvent};
use crate::protocol::snapshot::Snapshot;
use crate::routing::EventSource;
use crate::server::drivers::snapshot::wall_clock_ms;
use crate::server::drivers::{Effect, EndpointAddress, EndpointEffect};
use crate::server::upstream::ExcludedAttempts;
use cranesill::api::{EndpointEntry, EndpointId, EndpointState, ListKind, Timestamp};
use std::collections::HashSet;

/// Clock skew relative to the list service above which a warning is logged.
const MAX_CLOCK_SKEW_MS: i64 = 5_000;

impl Server {
    /// Reads watch events from the list service and applies them.
    pub(super) fn read_discovery(&mut self, now: Timestamp) {
        for event in self.discovery.ready(now) {
            self.apply_watch_event(now, event, EventSource::Live);
        }
        self.timers.add(self.discovery.deadline, Timer::Discovery);
    }

    /// Applies a watch event: changed endpoints, or a purge.
    pub(super) fn apply_watch_event(
        &mut self,
        now: Timestamp,
        event: WatchEvent,
        source: EventSource,
    ) {
        if self.forwards_watch_events {
            let message = EndpointEffect::WatchEvent {
                revision: self.discovery.revision(),
                event: event.clone(),
            };
            self.effects.push(Effect::Endpoints(message));
            self.deliver_effects(now);
        }
        match event {
            WatchEvent::Endpoints { complete, list } => {
                self.announce_endpoints(now, &list, complete);
                let list = self.startup.stagger(now, complete, list);
                self.update_endpoints(now, complete, list, source);
            }
            WatchEvent::Purge {
                object,
                group,
                at_ms,
            } => {
                let purged_at = at_ms.saturating_mul(1_000);
                self.pipeline
                    .apply_purge(now, object, group, purged_at, source);
            }
        }
        self.check_clock_skew();
        self.run_commands(now, Vec::new());
    }

    /// Notifies the drivers of listed endpoints.
    fn announce_endpoints(&mut self, now: Timestamp, list: &[EndpointRecord], complete: bool) {
        if self.drivers.is_empty() {
            return;
        }
        let message = EndpointEffect::Listed {
            endpoints: list.iter().map(endpoint_address).collect(),
            complete,
        };
        self.effects.push(Effect::Endpoints(message));
        self.deliver_effects(now);
    }

    /// Logs a warning when the clock skew exceeds its limit, once until it is below the limit again.
    fn check_clock_skew(&mut self) {
        let skew_ms = self.pipeline.clock_offset.offset_ms();
        let skew_ms = skew_ms.filter(|ms| ms.abs() > MAX_CLOCK_SKEW_MS);
        if let Some(ahead_ms) = skew_ms.filter(|_| !self.clock_skew_logged) {
            tracing::warn!(
                kind = "clock",
                ahead_ms,
                limit_ms = MAX_CLOCK_SKEW_MS,
                "this clock is far from that of the list service"
            );
        }
        self.clock_skew_logged = skew_ms.is_some();
    }

    /// Adopts a list received from peers, unless the list service is connected or the list is not newer than the known one.
    pub(super) fn adopt_peer_list(&mut self, now: Timestamp, list: Box<Snapshot>) {
        if self.discovery.is_connected() || list.revision <= self.discovery.revision() {
            return;
        }
        let event = list.revision;
        let age_ms = wall_clock_ms().saturating_sub(list.at_ms);
        let members = list.endpoints.len();
        tracing::info!(
            kind = "list",
            event,
            age_ms,
            members,
            "the list is taken from peers"
        );
        self.discovery.advance_to(list.revision);
        // Not forwarded as watch events, which would reset its age in the snapshot on disk.
        self.forwards_watch_events = false;
        for event in list.watch_events() {
            self.apply_watch_event(now, event, EventSource::Stored);
        }
        self.forwards_watch_events = true;
        self.effects
            .push(Effect::Endpoints(EndpointEffect::Adopted(list)));
        self.deliver_effects(now);
    }

    /// Applies listed endpoints. If the list is `complete`, all other endpoints are removed.
    pub(super) fn update_endpoints(
        &mut self,
        now: Timestamp,
        complete: bool,
        list: Vec<EndpointRecord>,
        source: EventSource,
    ) {
        let entries: Vec<_> = list.iter().map(endpoint_entry).collect();
        let removed = if complete {
            self.remove_unlisted(&entries)
        } else {
            Vec::new()
        };
        let mut ends = Vec::new();
        for (entry, record) in entries.iter().zip(&list) {
            self.upstream
                .update_endpoint(entry, record.address, &mut ends);
        }
        let (ready, not_ready): (Vec<_>, Vec<_>) = entries
            .iter()
            .map(|entry| (entry.state, entry.endpoint))
            .partition(|(state, _)| *state == EndpointState::Ready);
        let kind = if complete {
            ListKind::Full
        } else {
            ListKind::Delta
        };
        self.pipeline.apply_endpoints(now, kind, entries, source);
        let not_ready = not_ready.into_iter().map(|(_, endpoint)| endpoint);
        let mut excluded = ExcludedAttempts::default();
        for endpoint in not_ready.chain(removed) {
            excluded += self.upstream.exclude(endpoint, &mut ends);
        }
        self.log_excluded(excluded);
        self.run_commands(now, ends);
        if self.startup.preconnects() {
            self.preconnect(now, ready.into_iter().map(|(_, endpoint)| endpoint));
        }
        if let Some(at) = self.startup.next_deadline() {
            self.timers.add(at, Timer::SlowStart);
        }
    }

    /// Logs the open attempts for endpoints that the list excludes, if there are any. An attempt that such an endpoint receives
    /// afterwards was either in flight by then or decided by an older list.
    fn log_excluded(&self, attempts: ExcludedAttempts) {
        if attempts == ExcludedAttempts::default() {
            return;
        }
        tracing::info!(
            kind = "list",
            event = self.discovery.revision(),
            in_flight = attempts.in_flight,
            withdrawn = attempts.withdrawn,
            "endpoints excluded by the list: attempts in flight continue, unwritten ones are withdrawn"
        );
    }

    /// Removes and returns the endpoints that a complete list does not contain.
    fn remove_unlisted(&mut self, entries: &[EndpointEntry]) -> Vec<EndpointId> {
        let listed: HashSet<_> = entries.iter().map(|entry| entry.endpoint).collect();
        let mut removed: Vec<_> = self.upstream.listed().collect();
        removed.retain(|id| !listed.contains(id));
        self.upstream.retain_listed(&listed);
        removed
    }

    /// Starts connections to endpoints before the first request needs them.
    fn preconnect(&mut self, now: Timestamp, endpoints: impl Iterator<Item = EndpointId>) {
        let timeout_at = now + self.config.deployment.settings.connect_timeout;
        for endpoint in endpoints {
            let key = self.next_key();
            if self.upstream.preconnect(now, &self.reactor, key, endpoint) {
                self.timers.add(timeout_at, Timer::ConnectTimeout(key));
            }
        }
    }

    /// Updates the readiness reported to clients.
    pub(super) fn update_readiness(&mut self, now: Timestamp) {
        let in_use = self.upstream.listed().count();
        let reached = self.upstream.reached_endpoints();
        self.clients.ready = self.startup.check_readiness(now, in_use, reached);
    }
}

fn endpoint_address(record: &EndpointRecord) -> EndpointAddress {
    let listed = record.state != EndpointState::Removed;
    EndpointAddress {
        id: record.id.into(),
        kind: record.kind,
        address: listed.then_some(record.address),
    }
}

fn endpoint_entry(record: &EndpointRecord) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId(record.id.into()),
        kind: record.kind,
        zone: record.zone,
        cell: record.cell,
        weight: record.weight,
        started: record.started_ms.saturating_mul(1_000),
        state: record.state,
    }
}
