//! The cold start on the loop: which members are used already, and whether the front is ready. The choices are the crate's.
use super::config::Config;
use super::drivers::snapshot::{load, path, wall_ms};
use crate::protocol::feed::{Listing, News};
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

/// When this front calls the list service.
pub fn calls(now: Timestamp, config: &Config, settings: Option<&Settings>) -> CallSchedule {
    let budget = settings.map(|startup| CallBudget {
        calls_per_s: startup.calls_per_s.into(),
        max_wait: startup.wait_most_ms * 1_000,
        urgent_period: startup.haste_ms * 1_000,
    });
    CallSchedule::new(now, position(config), config.seed, budget)
}

fn position(config: &Config) -> FleetPosition {
    let settings = &config.deployment.settings;
    FleetPosition {
        number: settings.front_index,
        fronts: settings.fronts,
    }
}

/// Where the list is kept on disk; `None`: it is not.
pub fn snapshots(config: &Config, settings: Option<&Settings>) -> Option<PathBuf> {
    let folder = settings
        .filter(|_| config.accept_fd.is_none())?
        .snapshots
        .as_ref()?;
    Some(path(folder, &config.name))
}

/// Which list a front follows.
fn source(config: &Config, settings: Option<&Settings>) -> u64 {
    // Records refer to places in these lists.
    let names = &config.deployment.names;
    let named = settings
        .and_then(|s| s.list.clone())
        .unwrap_or_else(|| config.feed.to_string());
    let of = format!("{named} {:?} {:?}", names.zones, names.kinds);
    crc32fast::hash(of.as_bytes()).into()
}

/// What a front knows at its start.
pub struct Known {
    /// The last event.
    pub last: u64,
    /// All that there is to be told.
    pub news: Vec<News>,
    /// Where that comes from.
    pub from: EventSource,
    /// The list as it is to be kept on disk from then on. One that was read there stays as old as it is.
    pub list: Snapshot,
}

/// What the configuration knows, or what lies on disk and is newer.
pub fn known(config: &mut Config, settings: Option<&Settings>) -> Known {
    let (last, mut news) = std::mem::take(&mut config.known);
    let serve_ms = settings.map_or(0, |s| s.serve_snapshot_s * 1_000);
    let source = source(config, settings);
    let found = snapshots(config, settings).and_then(|path| load(&path, source, last, serve_ms));
    if let Some(list) = found {
        news.extend(list.news());
        return Known {
            last: list.number,
            news,
            from: EventSource::Stored,
            list,
        };
    }
    let mut list = Snapshot {
        source,
        ..Snapshot::default()
    };
    news.iter()
        .for_each(|one| list.take(last, wall_ms(), 0, u64::MAX, one));
    // Purges that were known at the start are kept from the first news on.
    list.got_ms.clear();
    Known {
        last,
        news,
        from: EventSource::Configuration,
        list,
    }
}

/// What the settings switch on of it.
pub struct Startup {
    /// Members that are listed and wait to be used.
    slow_start: Option<SlowStart<Listing>>,
    ready: Option<Readiness>,
    /// What was last waited for, as it was logged.
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
        let ready = settings.map(|s| {
            let (most, spread) = (s.ready_most_ms * 1_000, s.ready_spread_ms * 1_000);
            let policy = ReadinessPolicy {
                min_percent: s.ready_percent,
                max_wait: most,
                spread,
            };
            Readiness::new(now, position(config), policy)
        });
        let (zone, origin) = (
            config.deployment.settings.zone,
            config.deployment.settings.origin_kind,
        );
        Startup {
            slow_start,
            ready,
            waits: None,
            zone,
            origin,
        }
    }

    /// The list tells of members: those that are to be taken over now.
    pub fn listed(&mut self, now: Timestamp, whole: bool, list: Vec<Listing>) -> Vec<Listing> {
        let Some(slow_start) = &mut self.slow_start else {
            return list;
        };
        let admission = |l: &Listing| match l.state {
            EndpointState::Ready if Some(l.kind) != self.origin => Admission::Staggered(Group {
                kind: l.kind,
                near: l.zone == self.zone,
            }),
            EndpointState::Removed => Admission::Removed,
            _ => Admission::Immediate,
        };
        let endpoint = |l: Listing| ListedEndpoint {
            id: l.id.into(),
            admission: admission(&l),
            entry: l,
        };
        slow_start.update(now, whole, list.into_iter().map(endpoint).collect())
    }

    /// Members whose turn has come.
    pub fn due(&mut self, now: Timestamp) -> Vec<Listing> {
        self.slow_start
            .as_mut()
            .map_or_else(Vec::new, |slow_start| slow_start.poll(now))
    }

    /// When the next one's turn comes.
    pub fn next(&self) -> Option<Timestamp> {
        self.slow_start.as_ref().and_then(SlowStart::next_deadline)
    }

    /// Whether connections are begun before anything is asked.
    pub fn dials(&self) -> bool {
        self.slow_start.is_some()
    }

    /// Whether a member is listed and waits.
    pub fn has(&self, member: EndpointId) -> bool {
        self.slow_start
            .as_ref()
            .is_some_and(|slow_start| slow_start.is_waiting(member.0))
    }

    /// How many members are listed and wait.
    pub fn waiting(&self) -> usize {
        self.slow_start.as_ref().map_or(0, SlowStart::waiting)
    }

    /// Whether the front is ready, with so many members in use and so many of them reached. Tells the log what changes.
    pub fn ready(&mut self, now: Timestamp, used: usize, reached: usize) -> bool {
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

    /// For operators.
    pub fn shown(&self, used: usize, reached: usize) -> Value {
        json!({
            "members_used": used, "members_reached": reached, "members_waiting": self.waiting(),
            "ready": self.waits.is_none(), "waits_for": self.waits.map(|waits| waits.to_string()),
        })
    }
}
