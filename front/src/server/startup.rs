//! Startup of a front: the initial endpoint list, slow start of endpoints, and readiness. The decisions are made by
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

/// Creates the schedule of connections to the list service.
pub fn call_schedule(now: Timestamp, config: &Config, settings: Option<&Settings>) -> CallSchedule {
    let budget = settings.map(|startup| CallBudget {
        calls_per_s: startup.calls_per_s.into(),
        max_wait: startup.wait_most_ms * 1_000,
        urgent_period: startup.haste_ms * 1_000,
    });
    CallSchedule::new(now, fleet_position(config), config.seed, budget)
}

/// Returns the index of the front and the size of its fleet.
fn fleet_position(config: &Config) -> FleetPosition {
    let settings = &config.deployment.settings;
    FleetPosition {
        number: settings.front_index,
        fronts: settings.fronts,
    }
}

/// Returns the path of the snapshot of the endpoint list; `None` if the list is not stored on disk.
pub fn snapshot_path(config: &Config, settings: Option<&Settings>) -> Option<PathBuf> {
    let folder = settings
        .filter(|_| config.accept_fd.is_none())?
        .snapshots
        .as_ref()?;
    Some(file_path(folder, &config.name))
}

/// Returns a hash that identifies the endpoint list of this front.
fn list_identity(config: &Config, settings: Option<&Settings>) -> u64 {
    // Records refer to zones and kinds by their index in these lists.
    let names = &config.deployment.names;
    let named = settings
        .and_then(|s| s.list.clone())
        .unwrap_or_else(|| config.list_service.to_string());
    let identity = format!("{named} {:?} {:?}", names.zones, names.kinds);
    crc32fast::hash(identity.as_bytes()).into()
}

/// The endpoint list known at startup.
pub struct KnownList {
    /// The revision of the list.
    pub revision: u64,
    /// The events that lead to it.
    pub events: Vec<WatchEvent>,
    /// Whether the list comes from the configuration or from disk.
    pub origin: EventSource,
    /// The initial snapshot. If it was read from disk it keeps its age.
    pub snapshot: Snapshot,
}

/// Returns the endpoint list of the configuration, or the snapshot on disk if that is newer.
pub fn known_list(config: &mut Config, settings: Option<&Settings>) -> KnownList {
    let (revision, mut events) = std::mem::take(&mut config.known);
    let source = list_identity(config, settings);
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
    // The retention of purges known at startup begins with the first watch event.
    list.received_at_ms.clear();
    KnownList {
        revision,
        events,
        origin: EventSource::Configuration,
        snapshot: list,
    }
}

/// Slow start and readiness, as far as the settings enable them.
pub struct Startup {
    /// Slow start of listed endpoints; `None` if disabled.
    slow_start: Option<SlowStart<EndpointRecord>>,
    readiness: Option<Readiness>,
    /// Why the front was not ready at the last check; `None` if it was.
    not_ready: Option<NotReady>,
    /// The zone of the front.
    zone: u16,
    /// The kind of origin endpoints, which are used without slow start.
    origin: Option<u8>,
}

impl Startup {
    /// Creates the state of a front that starts at `now`.
    pub fn new(now: Timestamp, config: &Config, settings: Option<&Settings>) -> Self {
        // A process that replaces another one of the same front already has clients, so it starts without delays.
        let settings = settings.filter(|_| config.accept_fd.is_none());
        let slow_start = settings.and_then(|s| {
            let max_ramp = s.ramp_most_ms * 1_000;
            s.handshakes_per_s
                .map(|per_s| SlowStart::new(fleet_position(config), per_s.into(), max_ramp))
        });
        let readiness = settings.map(|settings| {
            let policy = ReadinessPolicy {
                min_percent: settings.ready_percent,
                max_wait: settings.ready_most_ms * 1_000,
                spread: settings.ready_spread_ms * 1_000,
            };
            Readiness::new(now, fleet_position(config), policy)
        });
        Startup {
            slow_start,
            readiness,
            not_ready: None,
            zone: config.deployment.settings.zone,
            origin: config.deployment.settings.origin_kind,
        }
    }

    /// Adds listed endpoints to slow start and returns those that can be used immediately.
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
                same_zone: l.zone == self.zone,
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

    /// Returns the endpoints whose slow start wait is over by `now`.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<EndpointRecord> {
        self.slow_start
            .as_mut()
            .map_or_else(Vec::new, |slow_start| slow_start.poll(now))
    }

    /// Returns when the next endpoint becomes usable.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.slow_start.as_ref().and_then(SlowStart::next_deadline)
    }

    /// Whether connections to endpoints are opened before a request needs them.
    pub fn preconnects(&self) -> bool {
        self.slow_start.is_some()
    }

    /// Whether an endpoint is listed and waits in slow start.
    pub fn is_waiting(&self, member: EndpointId) -> bool {
        self.slow_start
            .as_ref()
            .is_some_and(|slow_start| slow_start.is_waiting(member.0))
    }

    /// Returns the number of endpoints that wait in slow start.
    pub fn waiting(&self) -> usize {
        self.slow_start.as_ref().map_or(0, SlowStart::waiting)
    }

    /// Returns whether the front is ready with `used` endpoints in use, `reached` of them connected. Logs changes.
    pub fn check_readiness(&mut self, now: Timestamp, used: usize, reached: usize) -> bool {
        let waiting = self.waiting();
        let Some(readiness) = &mut self.readiness else {
            return true;
        };
        let not_ready = readiness.check(now, used + waiting, reached).err();
        let kind = |not_ready: &Option<NotReady>| not_ready.as_ref().map(std::mem::discriminant);
        if kind(&not_ready) != kind(&self.not_ready) {
            match &not_ready {
                Some(not_ready) => {
                    tracing::info!(kind = "startup", waits = %not_ready, "not ready")
                }
                None => tracing::info!(kind = "startup", members = used, reached, waiting, "ready"),
            }
        }
        self.not_ready = not_ready;
        self.not_ready.is_none()
    }

    /// Returns the state reported to operators.
    pub fn state(&self, used: usize, reached: usize) -> Value {
        json!({
            "members_used": used, "members_reached": reached, "members_waiting": self.waiting(),
            "ready": self.not_ready.is_none(), "waits_for": self.not_ready.map(|not_ready| not_ready.to_string()),
        })
    }
}
