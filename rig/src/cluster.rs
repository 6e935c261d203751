//! Test cluster: fronts, list service, nodes behind network links, and clients, with one history.
use crate::clients::{Addresses, ClientLoad, Clients, FrontAccess};
use crate::fleet::Fleet;
use crate::history::{History, Observation};
use crate::invariants::{context, violations, warm_up_violations, Limits, Violation, WarmUpLimits};
use crate::link::{Link, Transmission};
use crate::list_event::{Event, ListedNode, State};
use crate::list_service::{ListService, ServiceMode, FIRST_EVENT};
use crate::nodes::Nodes;
use serde_json::{json, Value};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Size of a test cluster.
#[derive(Clone, Copy, Debug)]
pub struct ClusterSize {
    /// Number of processes of the program.
    pub fronts: usize,
    /// Number of cache nodes.
    pub caches: usize,
    /// Number of parents. There is always one origin.
    pub parents: usize,
    /// Number of link groups. Front `n` reaches the nodes through the links of group `n % link_groups`; 0 for no links to nodes
    /// and to the list service, which saves their threads.
    pub link_groups: usize,
}

/// Running test cluster. Nodes are indexed with caches first, then parents, then the origin.
pub struct TestCluster {
    /// History of the cluster.
    pub history: History,
    /// Stand-in for the list service.
    pub list_service: ListService,
    /// Cache nodes, parents and the origin.
    pub nodes: Nodes,
    /// Processes of the program.
    pub fleet: Fleet,
    /// Link from each front to the list service.
    pub feeds: Vec<Link>,
    /// Links to the nodes, by link group and node.
    links: Vec<Vec<Link>>,
    shape: ClusterSize,
    listed: Vec<ListedNode>,
    addresses: Addresses,
    limits: Limits,
    warm_up_limits: WarmUpLimits,
    purge_duration: Duration,
    /// Load of clients that are started from now on.
    pub load: ClientLoad,
}

impl TestCluster {
    /// Starts a cluster. The settings of `base` must have a read and a write class, a hub as zone 0, an edge as zone 1, and the
    /// kinds cache, parent and origin in this order. `settings` are the daemon settings.
    pub fn start(
        binary: &Path,
        shape: ClusterSize,
        base: &Value,
        settings: Option<&Value>,
        seed: u64,
    ) -> Self {
        TestCluster::start_with_clocks(binary, shape, base, settings, &[], seed)
    }

    /// Like [`TestCluster::start`], with wall clocks that are ahead by `clocks` milliseconds, front by front.
    pub fn start_with_clocks(
        binary: &Path,
        shape: ClusterSize,
        base: &Value,
        settings: Option<&Value>,
        clocks: &[i64],
        seed: u64,
    ) -> Self {
        let history = History::default();
        let info = &base["settings"]["familyInfo"];
        let classes = base["settings"]["classes"].as_array().expect("classes");
        let is_write = |i: usize| info["classWrite"][i].as_bool().unwrap_or(false);
        let name = |i: usize| {
            classes[i]["name"]
                .as_str()
                .expect("name of a class")
                .to_string()
        };
        let writes: Vec<_> = (0..classes.len()).filter(|i| is_write(*i)).collect();
        let reads: Vec<_> = (0..classes.len()).filter(|i| !is_write(*i)).collect();
        let (read, write) = (
            *reads.last().expect("a read class"),
            *writes.first().expect("a write class"),
        );
        let limit = |i: usize| {
            Duration::from_micros(
                classes[i]["deadline"]
                    .as_u64()
                    .expect("deadline of a class"),
            )
        };
        let micros =
            |v: &Value| Duration::from_micros(v.as_u64().expect("duration in microseconds"));
        let limits = Limits {
            drain: micros(&base["settings"]["rules"]["drainGrace"]) + SCHEDULING_TOLERANCE,
            purge: micros(&info["purgeGrace"]) + SCHEDULING_TOLERANCE,
            response: limit(read).min(limit(write)) + SCHEDULING_TOLERANCE,
            overlap: SCHEDULING_TOLERANCE,
            lists_on_disk: false,
        };
        let rules = &base["settings"]["rules"];
        let warm_up_limits = WarmUpLimits {
            initial_fraction: rules["coldFrom"].as_f64().expect("coldFrom"),
            warm_up: micros(&rules["cold"]),
            overload_factor: rules["fallMultiple"].as_f64().expect("fallMultiple"),
            overload_window: micros(&rules["overloadFor"]),
            request_cost: REQUEST_COST,
        };
        let purge_duration = micros(&info["purgeTakes"]);
        let count = shape.caches + shape.parents + 1;
        let ids: Vec<_> = (0..count).map(|index| 0x101 + index as u32).collect();
        let names: Vec<_> = writes.iter().map(|i| name(*i)).collect();
        let names: Vec<_> = names.iter().map(String::as_str).collect();
        let nodes = Nodes::new(&history, &ids, &names);
        let links: Vec<Vec<_>> = (0..shape.link_groups)
            .map(|_| nodes.all.iter().map(|(_, at)| Link::new(*at)).collect())
            .collect();
        let listed: Vec<_> = (0..count)
            .map(|index| {
                let (zone, kind, weight) = match index {
                    _ if index < shape.caches => (1, 0, 8),
                    _ if index < count - 1 => (0, 1, 24),
                    _ => (0, 2, 1),
                };
                ListedNode {
                    index,
                    id: ids[index],
                    state: State::Ready,
                    zone,
                    kind,
                    weight,
                    started_ms: 0,
                }
            })
            .collect();
        let node_addresses = |front: usize| -> Vec<_> {
            match front.checked_rem(links.len()) {
                Some(group) => links[group].iter().map(|l| l.address).collect(),
                None => nodes.all.iter().map(|(_, at)| *at).collect(),
            }
        };
        let list = ListService::with_addresses(
            &history,
            ServiceMode::Serve,
            (0..shape.fronts).map(node_addresses).collect(),
        );
        let linked = list.addresses.iter().filter(|_| !links.is_empty());
        let feeds: Vec<_> = linked.map(|address| Link::new(*address)).collect();
        let feed_address = |front: usize| {
            feeds
                .get(front)
                .map_or(list.addresses[front], |link| link.address)
        };
        let names = |key: &str, i: u8| base["settings"][key][usize::from(i)].clone();
        let fleet = Fleet::start_with_clocks(binary, shape.fronts, settings, clocks, |front| {
            let mut config = base.clone();
            config["name"] = format!("n{front}").into();
            config["listen"] = "127.0.0.1:0".into();
            config["feed"] = feed_address(front).to_string().into();
            config["seed"] = format!("{:x}", seed.wrapping_mul(1_000_003) + front as u64).into();
            config["settings"]["nInstances"] = shape.fronts.into();
            config["settings"]["index"] = front.into();
            // All fronts are at the edge and share the capacity of the caches.
            config["settings"]["familyInfo"]["seatsByZone"] = json!([0, shape.fronts]);
            let instance = |one: &ListedNode| {
                json!({"instanceId": format!("s-{:08x}", one.id), "hostPort": node_addresses(front)[one.index].to_string(),
                       "zone": names("zones", one.zone), "machineType": names("kinds", one.kind), "cell": 0,
                       "lifecycle": "in_service", "weight": one.weight, "startedAtMs": 0})
            };
            let all: Vec<_> = listed.iter().map(instance).collect();
            let members = json!({"generation": 1, "reset": true, "instances": all});
            config["known"] = json!({"n": FIRST_EVENT - 1, "events": [{"n": FIRST_EVENT - 1, "members": members}]});
            config
        });
        let addresses = Arc::new(Mutex::new(
            (0..shape.fronts)
                .map(|n| FrontAccess::Open(fleet.address(n)))
                .collect(),
        ));
        let pause = Duration::from_millis(20);
        let limit = limit(read).min(limit(write));
        let load = ClientLoad {
            read_class: name(read),
            write_class: name(write),
            objects: 50,
            connections_per_front: 1,
            pause,
            timeout: limit,
        };
        TestCluster {
            history,
            list_service: list,
            nodes,
            fleet,
            feeds,
            links,
            shape,
            listed,
            addresses,
            limits,
            warm_up_limits,
            purge_duration,
            load,
        }
    }

    /// Requires restarted fronts to respect events from before their restart, as they have the list on disk.
    pub fn keep_lists_on_disk(&mut self) {
        self.limits.lists_on_disk = true;
    }

    /// Starts clients of all fronts.
    pub fn start_clients(&self, seed: u64) -> Clients {
        Clients::start(&self.history, &self.addresses, &self.load, seed)
    }

    /// Kills fronts with SIGKILL.
    pub fn kill(&mut self, fronts: &[usize]) {
        for front in fronts {
            self.history.record(Observation::Killed(*front));
            self.set_access(*front, FrontAccess::Closed);
        }
        self.fleet.kill(fronts.iter().copied());
    }

    /// Restarts killed fronts.
    pub fn restart(&mut self, fronts: &[usize]) {
        self.fleet.restart(fronts.iter().copied());
        for front in fronts {
            let at = self.fleet.address(*front);
            self.history.record(Observation::Resumed(*front));
            self.set_access(*front, FrontAccess::Open(at));
        }
    }

    fn set_access(&self, front: usize, access: FrontAccess) {
        self.addresses.lock().expect("lock poisoned")[front] = access;
    }

    /// Sends SIGTERM to a front.
    pub fn terminate(&self, front: usize) {
        self.history.record(Observation::Terminated(front));
        self.fleet.signal([front], libc::SIGTERM);
    }

    /// Makes clients open no further connections to a front. They go on using the open ones.
    pub fn stop_new_connections(&self, front: usize) {
        let at = self.fleet.address(front);
        self.set_access(front, FrontAccess::Draining(at));
    }

    /// Waits until a front has exited by itself; after `timeout` it is killed. Returns its exit code; `None` if a signal ended it.
    pub fn wait_exit(&mut self, front: usize, timeout: Duration) -> Option<i32> {
        let code = self.fleet.wait_exit(front, timeout);
        match code {
            Some(_) => self.history.record(Observation::Exited(front)),
            None => self.history.record(Observation::Killed(front)),
        }
        self.set_access(front, FrontAccess::Closed);
        code
    }

    /// Stops fronts with SIGSTOP or continues them.
    pub fn set_stopped(&self, fronts: &[usize], stopped: bool) {
        let signal = if stopped {
            libc::SIGSTOP
        } else {
            libc::SIGCONT
        };
        if stopped {
            fronts
                .iter()
                .for_each(|front| self.history.record(Observation::Stopped(*front)));
        }
        self.fleet.signal(fronts.iter().copied(), signal);
        if !stopped {
            fronts
                .iter()
                .for_each(|front| self.history.record(Observation::Resumed(*front)));
        }
    }

    /// Sets both directions of the link between a front and the list service; `None` heals it.
    pub fn set_feed_link(&self, front: usize, transmission: Option<(Transmission, Transmission)>) {
        match transmission {
            Some((forward, backward)) => {
                self.history.record(Observation::FeedImpaired(front));
                self.feeds[front].set(forward, backward);
            }
            None => {
                self.feeds[front].heal();
                self.history.record(Observation::FeedRestored(front));
            }
        }
    }

    /// Sets both directions of the link between a link group and a node; `None` heals it.
    pub fn set_node_link(
        &self,
        group: usize,
        index: usize,
        transmission: Option<(Transmission, Transmission)>,
    ) {
        let id = self.listed[index].id;
        match transmission {
            Some((forward, backward)) => {
                self.history
                    .record(Observation::NodeImpaired(id, group + 1));
                self.links[group][index].set(forward, backward);
            }
            None => {
                self.links[group][index].heal();
                self.history
                    .record(Observation::NodeRestored(id, group + 1));
            }
        }
    }

    /// Resets the connections of a link group to a node.
    pub fn reset_connections(&self, group: usize, index: usize) {
        self.links[group][index].reset();
    }

    /// Publishes a new state of a node and returns the event number.
    pub fn set_node_state(&mut self, index: usize, state: State) -> u64 {
        self.listed[index].state = state;
        self.list_service
            .publish(Event::Nodes(false, vec![self.listed[index]]))
    }

    /// Publishes that a node has started now and is warming up.
    pub fn mark_started(&mut self, index: usize) -> u64 {
        self.listed[index].started_ms = crate::nodes::wall_ms();
        self.set_node_state(index, State::Ready)
    }

    /// Publishes the whole list, with new states of some nodes.
    pub fn publish_all(&mut self, states: &[(usize, State)]) -> u64 {
        states
            .iter()
            .for_each(|(index, state)| self.listed[*index].state = *state);
        self.list_service
            .publish(Event::Nodes(true, self.listed.clone()))
    }

    /// Purges an object now and publishes that.
    pub fn purge(&self, item: u64) -> u64 {
        let at_ms = crate::nodes::wall_ms();
        self.nodes.purge(item, at_ms, self.purge_duration);
        self.list_service.publish(Event::Purge(item, at_ms))
    }

    /// Number of nodes.
    pub fn node_count(&self) -> usize {
        self.listed.len()
    }

    /// Size of the cluster.
    pub fn size(&self) -> ClusterSize {
        self.shape
    }

    /// Waits for `more` further successful responses.
    pub fn wait_served(&self, what: &str, more: usize) {
        let served = |seen: &Observation| matches!(seen, Observation::ClientResponse(_, _, 1));
        let before = self.history.count(served);
        self.history.wait_for(what, before + more, served);
    }

    /// Violations of the invariants in the history so far.
    pub fn violations(&self) -> Vec<Violation> {
        let events = self.list_service.events();
        let (all, event) = (self.history.observations(), |number: u64| {
            events.get(number.checked_sub(FIRST_EVENT)? as usize)
        });
        let mut found = violations(&all, event, &self.limits);
        found.extend(warm_up_violations(&all, event, &self.warm_up_limits));
        found
    }

    /// Panics with the history around the first violation, or with the logs of processes that exited by themselves.
    pub fn assert_no_violations(&mut self, seed: u64) {
        let found = self.violations();
        if let Some(first) = found.first() {
            let list = found
                .iter()
                .take(20)
                .map(|b| format!("{:?} {}: {}\n", b.at, b.rule, b.text));
            let (list, context_text) = (
                list.collect::<String>(),
                context(&self.history.observations(), first),
            );
            panic!(
                "seed {seed}: {} violations\n{list}\nhistory around the first:\n{context_text}",
                found.len()
            );
        }
        let exited = self.fleet.exited();
        assert!(
            exited.is_empty(),
            "seed {seed}: processes exited by themselves: {exited:#?}"
        );
    }
}

/// Time for which a request without a size occupies a slot, as in the router.
const REQUEST_COST: Duration = Duration::from_millis(200);

/// Tolerated delay by a test machine whose cores are all busy.
const SCHEDULING_TOLERANCE: Duration = Duration::from_millis(400);
