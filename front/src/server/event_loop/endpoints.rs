//! Applies watch events of the endpoint list and lists that peers hold.
use super::timers::Timer;
use super::Server;
use crate::protocol::feed::{Listing, News};
use crate::protocol::snapshot::Snapshot;
use crate::routing::Origin;
use crate::server::drivers::snapshot::wall_ms;
use crate::server::drivers::Effect;
use cranesill::api::{EndpointEntry, EndpointId, EndpointState, Timestamp};
use std::collections::HashSet;

/// A clock that is apart from the list service's by more than this is told.
const MAX_CLOCK_SKEW_MS: i64 = 5_000;

impl Server {
    pub(super) fn apply_watch_event(&mut self, now: Timestamp, news: News, origin: Origin) {
        if self.forwards_watch_events {
            self.effects
                .push(Effect::Heard(self.discovery.stands().1, news.clone()));
            self.carry_out_effects(now);
        }
        match news {
            News::Members { whole, list } => {
                if !self.drivers.is_empty() {
                    let here =
                        |l: &Listing| Some(l.address).filter(|_| l.state != EndpointState::Removed);
                    let told = |l: &Listing| (u64::from(l.id), l.kind, here(l));
                    self.effects
                        .push(Effect::Members(list.iter().map(told).collect(), whole));
                    self.carry_out_effects(now);
                }
                let list = self.startup.listed(now, whole, list);
                self.update_endpoints(now, whole, list, origin);
            }
            News::Purge {
                object,
                group,
                at_ms,
            } => self
                .front
                .purged(now, object, group, at_ms.saturating_mul(1_000), origin),
        }
        let ahead_ms = self
            .front
            .ahead
            .ms()
            .filter(|ms| ms.abs() > MAX_CLOCK_SKEW_MS);
        if let Some(ahead_ms) = ahead_ms.filter(|_| !self.clock_skew_logged) {
            tracing::warn!(
                kind = "clock",
                ahead_ms,
                "this clock is far from that of the list service"
            );
        }
        self.clock_skew_logged = ahead_ms.is_some();
        self.run_commands(now, Vec::new());
    }

    /// Takes over a list that peers hold, unless the service is heard or has told as much.
    pub(super) fn adopt_peer_list(&mut self, now: Timestamp, list: Box<Snapshot>) {
        if self.discovery.heard() || list.number <= self.discovery.stands().1 {
            return;
        }
        let (event, age_ms) = (list.number, wall_ms().saturating_sub(list.at_ms));
        tracing::info!(
            kind = "list",
            event,
            age_ms,
            members = list.members.len(),
            "the list is taken from peers"
        );
        self.discovery.skip_to(list.number);
        // It does not grow younger by being taken.
        self.forwards_watch_events = false;
        list.news()
            .into_iter()
            .for_each(|news| self.apply_watch_event(now, news, Origin::Kept));
        self.forwards_watch_events = true;
        self.effects.push(Effect::Taken(list));
        self.carry_out_effects(now);
    }

    /// Takes over what the list says of members; `whole`: of all that are in use.
    pub(super) fn update_endpoints(
        &mut self,
        now: Timestamp,
        whole: bool,
        list: Vec<Listing>,
        origin: Origin,
    ) {
        let mut ends = Vec::new();
        let entries: Vec<_> = list.iter().map(endpoint_entry).collect();
        let mut before: Vec<_> = if whole {
            self.upstream.listed().collect()
        } else {
            Vec::new()
        };
        if whole {
            let listed: HashSet<_> = entries.iter().map(|e| e.member).collect();
            self.upstream.keep_only(&listed);
            before.retain(|id| !listed.contains(id));
        }
        entries
            .iter()
            .zip(&list)
            .for_each(|(entry, l)| self.upstream.list(entry, l.address));
        let mut left_out: Vec<_> = entries
            .iter()
            .filter(|e| e.state != EndpointState::Ready)
            .map(|e| e.member)
            .collect();
        left_out.extend(before);
        let new: Vec<_> = entries
            .iter()
            .filter(|e| e.state == EndpointState::Ready)
            .map(|e| e.member)
            .collect();
        self.front.members(now, whole, entries, origin);
        left_out
            .into_iter()
            .for_each(|id| self.upstream.leave_out(id, &mut ends));
        self.run_commands(now, ends);
        let dialled = if self.startup.dials() {
            new
        } else {
            Vec::new()
        };
        for member in dialled {
            let key = self.next_key();
            if self.upstream.open(now, &self.reactor, key, member) {
                self.timers.add(
                    now + self.config.deployment.settings.connect_timeout,
                    Timer::ConnectTimeout(key),
                );
            }
        }
        if let Some(at) = self.startup.next() {
            self.timers.add(at, Timer::SlowStart);
        }
    }

    pub(super) fn update_readiness(&mut self, now: Timestamp) {
        let (used, reached) = (self.upstream.listed().count(), self.upstream.reached());
        self.clients.ready = self.startup.ready(now, used, reached);
    }
}

fn endpoint_entry(listing: &Listing) -> EndpointEntry {
    EndpointEntry {
        member: EndpointId(listing.id.into()),
        kind: listing.kind,
        zone: listing.zone,
        cell: listing.cell,
        weight: listing.weight,
        started: listing.started_ms.saturating_mul(1_000),
        state: listing.state,
    }
}
