//! Start of a front: the endpoint list that it begins with, slow start of endpoints, and readiness. The decisions are made by
//! `cranesill_startup`.
use super::config::Config;
use super::drivers::snapshot::{file_path, load, wall_clock_ms, ListRequirements};
use crate::protocol::discovery::{EndpointRecord, WatchEvent};
use crate::protocol::snapshot::Snapshot;
use crate::routing::EventSource;
use cranesill::api::{EndpointId, EndpointState, Timestamp};
use cranesill_daemon::Startup as Settings;
use cranesill_startup::{
    Admission, CallBudget, CallSchedule, FleetPosition, Group, ListedEndpoint, NotReady, Readiness,
    ReadinessPolicy, SlowStart,
};
use serde_json::{json, Value};
use std::path::PathBuf;

/// Makes the schedule of connections to the list service.
pub fn call_schedule(now: Timestamp, config: &Config, settings: Option<&Settings>) -> CallSchedule {
    let budget = settings.map(|startup| CallBudget {
        calls_per_s: startup.calls_per_s.into(),
        max_wait: startup.wait_most_ms * 1_000,
        urgent_period: startup.haste_ms * 1_000,
    });
    CallSchedule::new(now, position(config), config.seed, budget)
}

/// The front's place in its fleet.
fn position(config: &Config) -> FleetPosition {
    let settings = &config.deployment.settings;
    FleetPosition {
        number: settings.front_index,
        fronts: settings.fronts,
    }
}

/// Returns where the endpoint list is kept on disk; `None` where it is not.
pub fn snapshot_path(config: &Config, settings: Option<&Settings>) -> Option<PathBuf> {
    let folder = settings
        .filter(|_| config.accept_fd.is_none())?
        .snapshots
        .as_ref()?;
    Some(file_path(folder, &config.name))
}

/// Identifies the list that a front follows.
fn source(config: &Config, settings: Option<&Settings>) -> u64 {
    // Records refer to places in these lists.
    let names = &config.deployment.names;
    let named = settings
        .and_then(|s| s.list.clone())
        .unwrap_or_else(|| config.feed.to_string());
    let of = format!("{named} {:?} {:?}", names.zones, names.kinds);
    crc32fast::hash(of.as_bytes()).into()
}

/// The endpoint list that a front begins with.
pub struct KnownList {
    /// The revision of the list.
    pub revision: u64,
    /// The events that lead to it.
    pub events: Vec<WatchEvent>,
    /// Where the list comes from.
    pub origin: EventSource,
    /// The list as it is kept on disk from then on. One that was read there keeps its age.
    pub snapshot: Snapshot,
}

/// Returns the list of the configuration, or the one on disk if that is newer.
pub fn known_list(config: &mut Config, settings: Option<&Settings>) -> KnownList {
    let (revision, mut events) = std::mem::take(&mut config.known);
    let source = source(config, settings);
    let required = ListRequirements {
        source,
        known_revision: revision,
        max_age_ms: settings.map_or(0, |s| s.serve_snapshot_s * 1_000),
    };
    let found = snapshot_path(config, settings).and_then(|path| load(&path, required));
    if let Some(list) = found {
        events.extend(list.watch_events());
        return KnownList {
            revision: list.revision,
            events,
            origin: EventSource::Stored,
            snapshot: list,
        };
    }
    let mut list = Snapshot {
        source,
        ..Snapshot::default()
    };
    for event in &events {
        list.apply(revision, wall_clock_ms(), 0, u64::MAX, event);
    }
    // Purges that were known at the start are kept from the first watch event on.
    list.received_at_ms.clear();
    KnownList {
        revision,
        events,
        origin: EventSource::Configuration,
        snapshot: list,
    }
}

/// Slow start and readiness, as far as the settings switch them on.
pub struct Startup {
    /// Endpoints that are listed and not in use yet.
    slow_start: Option<SlowStart<EndpointRecord>>,
    ready: Option<Readiness>,
    /// Why the front was not ready when that was last logged.
    waits: Option<NotReady>,
    zone: u16,
    origin: Option<u8>,
}

impl Startup {
    /// A front that starts now.
    pub fn new(now: Timestamp, config: &Config, settings: Option<&Settings>) -> Self {
        // One process that takes the place of another is no cold fleet: its clients are there already.
        let settings = settings.filter(|_| config.accept_fd.is_none());
        let slow_start = settings.and_then(|s| {
            let most = s.ramp_most_ms * 1_000;
            s.handshakes_per_s
                .map(|per_s| SlowStart::new(position(config), per_s.into(), most))
        });
        let ready = settings.map(|settings| {
            let policy = ReadinessPolicy {
                min_percent: settings.ready_percent,
                max_wait: settings.ready_most_ms * 1_000,
                spread: settings.ready_spread_ms * 1_000,
            };
            Readiness::new(now, position(config), policy)
        });
        Startup {
            slow_start,
            ready,
            waits: None,
            zone: config.deployment.settings.zone,
            origin: config.deployment.settings.origin_kind,
        }
    }

    /// Takes listed endpoints in, and returns those that come into use now.
    pub fn stagger(
        &mut self,
        now: Timestamp,
        complete: bool,
        list: Vec<EndpointRecord>,
    ) -> Vec<EndpointRecord> {
        let Some(slow_start) = &mut self.slow_start else {
            return list;
        };
        let admission = |l: &EndpointRecord| match l.state {
            EndpointState::Ready if Some(l.kind) != self.origin => Admission::Staggered(Group {
                kind: l.kind,
                near: l.zone == self.zone,
            }),
            EndpointState::Removed => Admission::Removed,
            _ => Admission::Immediate,
        };
        let endpoint = |l: EndpointRecord| ListedEndpoint {
            id: l.id.into(),
            admission: admission(&l),
            entry: l,
        };
        slow_start.update(now, complete, list.into_iter().map(endpoint).collect())
    }

    /// Takes out the endpoints that come into use by now.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<EndpointRecord> {
        self.slow_start
            .as_mut()
            .map_or_else(Vec::new, |slow_start| slow_start.poll(now))
    }

    /// Returns when the next endpoint comes into use.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.slow_start.as_ref().and_then(SlowStart::next_deadline)
    }

    /// Whether endpoints are connected to before a request needs them.
    pub fn connects_ahead(&self) -> bool {
        self.slow_start.is_some()
    }

    /// Whether an endpoint is listed and not in use yet.
    pub fn is_waiting(&self, member: EndpointId) -> bool {
        self.slow_start
            .as_ref()
            .is_some_and(|slow_start| slow_start.is_waiting(member.0))
    }

    /// Returns how many endpoints are listed and not in use yet.
    pub fn waiting(&self) -> usize {
        self.slow_start.as_ref().map_or(0, SlowStart::waiting)
    }

    /// Returns whether the front is ready with so many endpoints in use and connected. Logs changes.
    pub fn check_readiness(&mut self, now: Timestamp, used: usize, reached: usize) -> bool {
        let waiting = self.waiting();
        let Some(ready) = &mut self.ready else {
            return true;
        };
        let waits = ready.check(now, used + waiting, reached).err();
        let kind = |waits: &Option<NotReady>| waits.as_ref().map(std::mem::discriminant);
        if kind(&waits) != kind(&self.waits) {
            match &waits {
                Some(waits) => tracing::info!(kind = "startup", %waits, "not ready"),
                None => tracing::info!(kind = "startup", members = used, reached, waiting, "ready"),
            }
        }
        self.waits = waits;
        self.waits.is_none()
    }

    /// Returns the state as operators see it.
    pub fn state(&self, used: usize, reached: usize) -> Value {
        json!({
            "members_used": used, "members_reached": reached, "members_waiting": self.waiting(),
            "ready": self.waits.is_none(), "waits_for": self.waits.map(|waits| waits.to_string()),
        })
    }
}
