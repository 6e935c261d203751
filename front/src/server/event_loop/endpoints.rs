//! Applies watch events of the endpoint list and lists that peers hold.
use super::timers::Due;
use super::Server;
use crate::protocol::feed::{Listing, News};
use crate::protocol::snapshot::Snapshot;
use crate::routing::Origin;
use crate::server::drivers::snapshot::wall_ms;
use crate::server::drivers::Effect;
use cranesill::api::{EndpointEntry, EndpointId, EndpointState, Timestamp};
use std::collections::HashSet;

/// A clock that is apart from the list service's by more than this is told.
const CLOCK_APART_MS: i64 = 5_000;

impl Server {
    pub(super) fn news(&mut self, now: Timestamp, news: News, origin: Origin) {
        if self.hears {
            self.effects
                .push(Effect::Heard(self.discovery.stands().1, news.clone()));
            self.effects(now);
        }
        match news {
            News::Members { whole, list } => {
                if !self.drivers.is_empty() {
                    let here =
                        |l: &Listing| Some(l.address).filter(|_| l.state != EndpointState::Removed);
                    let told = |l: &Listing| (u64::from(l.id), l.kind, here(l));
                    self.effects
                        .push(Effect::Members(list.iter().map(told).collect(), whole));
                    self.effects(now);
                }
                let list = self.startup.listed(now, whole, list);
                self.take_members(now, whole, list, origin);
            }
            News::Purge {
                object,
                group,
                at_ms,
            } => self
                .front
                .purged(now, object, group, at_ms.saturating_mul(1_000), origin),
        }
        let ahead_ms = self.front.ahead.ms().filter(|ms| ms.abs() > CLOCK_APART_MS);
        if let Some(ahead_ms) = ahead_ms.filter(|_| !self.clock_told) {
            tracing::warn!(
                kind = "clock",
                ahead_ms,
                "this clock is far from that of the list service"
            );
        }
        self.clock_told = ahead_ms.is_some();
        self.settle(now, Vec::new());
    }

    /// Takes over a list that peers hold, unless the service is heard or has told as much.
    pub(super) fn take_list(&mut self, now: Timestamp, list: Box<Snapshot>) {
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
        self.hears = false;
        list.news()
            .into_iter()
            .for_each(|news| self.news(now, news, Origin::Kept));
        self.hears = true;
        self.effects.push(Effect::Taken(list));
        self.effects(now);
    }

    /// Takes over what the list says of members; `whole`: of all that are in use.
    pub(super) fn take_members(
        &mut self,
        now: Timestamp,
        whole: bool,
        list: Vec<Listing>,
        origin: Origin,
    ) {
        let mut ends = Vec::new();
        let entries: Vec<_> = list.iter().map(entry).collect();
        let mut before: Vec<_> = if whole {
            self.nodes.listed().collect()
        } else {
            Vec::new()
        };
        if whole {
            let listed: HashSet<_> = entries.iter().map(|e| e.member).collect();
            self.nodes.keep_only(&listed);
            before.retain(|id| !listed.contains(id));
        }
        entries
            .iter()
            .zip(&list)
            .for_each(|(entry, l)| self.nodes.list(entry, l.address));
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
            .for_each(|id| self.nodes.leave_out(id, &mut ends));
        self.settle(now, ends);
        let dialled = if self.startup.dials() {
            new
        } else {
            Vec::new()
        };
        for member in dialled {
            let key = self.key();
            if self.nodes.open(now, &self.reactor, key, member) {
                self.deadlines.add(
                    now + self.config.deployment.settings.connect_timeout,
                    Due::Dial(key),
                );
            }
        }
        if let Some(at) = self.startup.next() {
            self.deadlines.add(at, Due::Members);
        }
    }

    pub(super) fn get_ready(&mut self, now: Timestamp) {
        let (used, reached) = (self.nodes.listed().count(), self.nodes.reached());
        self.clients.ready = self.startup.ready(now, used, reached);
    }
}

fn entry(listing: &Listing) -> EndpointEntry {
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
