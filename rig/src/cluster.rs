//! A whole service under a test's hand: fronts, the list service, nodes behind links, clients, one history.
use crate::clients::{Addresses, ClientLoad, Clients};
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

/// How large a service is.
#[derive(Clone, Copy, Debug)]
pub struct ClusterSize {
    /// Processes of the program.
    pub fronts: usize,
    /// Cache nodes, parents; there is one origin besides.
    pub caches: usize,
    /// Parents.
    pub parents: usize,
    /// Parts of the fleet that reach the nodes by links of their own; a front is of the part of its number. 0: no links at
    /// all, neither to nodes nor to the list service; each costs threads.
    pub link_groups: usize,
}

/// What runs. Nodes go by their place: caches, then parents, then the origin.
pub struct TestCluster {
    /// What was seen.
    pub history: History,
    /// The list service.
    pub list_service: ListService,
    /// Cache nodes, parents, the origin.
    pub nodes: Nodes,
    /// The processes.
    pub fleet: Fleet,
    /// From each front to the list service.
    pub feeds: Vec<Link>,
    /// By side and node.
    links: Vec<Vec<Link>>,
    shape: ClusterSize,
    listed: Vec<ListedNode>,
    addresses: Addresses,
    limits: Limits,
    warm_up_limits: WarmUpLimits,
    purge_duration: Duration,
    /// What clients ask that begin from now on.
    pub load: ClientLoad,
}

impl TestCluster {
    /// Starts all of it. `base` is a configuration whose settings have the classes that are asked, an edge at zone 1, a hub at
    /// zone 0 and the kinds cache, parent, origin in this order; `settings` are the daemon's own.
    pub fn start(
        binary: &Path,
        shape: ClusterSize,
        base: &Value,
        settings: Option<&Value>,
        seed: u64,
    ) -> Self {
        TestCluster::start_with_clocks(binary, shape, base, settings, &[], seed)
    }

    /// The same on injectors whose wall clocks are ahead by so many milliseconds, front by front.
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
        let name = |i: usize| classes[i]["name"].as_str().expect("a name").to_string();
        let writes: Vec<_> = (0..classes.len()).filter(|i| is_write(*i)).collect();
        let reads: Vec<_> = (0..classes.len()).filter(|i| !is_write(*i)).collect();
        let (read, write) = (
            *reads.last().expect("a class"),
            *writes.first().expect("a class"),
        );
        let limit =
            |i: usize| Duration::from_micros(classes[i]["deadline"].as_u64().expect("a time"));
        let micros = |v: &Value| Duration::from_micros(v.as_u64().expect("a time"));
        let limits = Limits {
            // A machine whose cores are all busy is late by this.
            drain: micros(&base["settings"]["rules"]["drainGrace"]) + SCHEDULING_TOLERANCE,
            purge: micros(&info["purgeGrace"]) + SCHEDULING_TOLERANCE,
            response: limit(read).min(limit(write)) + SCHEDULING_TOLERANCE,
            overlap: SCHEDULING_TOLERANCE,
            lists_on_disk: false,
        };
        let rules = &base["settings"]["rules"];
        let warm_up_limits = WarmUpLimits {
            initial_fraction: rules["coldFrom"].as_f64().expect("a share"),
            warm_up: micros(&rules["cold"]),
            overload_factor: rules["fallMultiple"].as_f64().expect("a number"),
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
        let feeds: Vec<_> = linked.map(|front| Link::new(*front)).collect();
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
            // All of them stand at the edge: what a cache bears is shared by as many.
            config["settings"]["familyInfo"]["seatsByZone"] = json!([0, shape.fronts]);
            let member = |one: &ListedNode| {
                json!({"instanceId": format!("s-{:08x}", one.id), "hostPort": node_addresses(front)[one.index].to_string(),
                       "zone": names("zones", one.zone), "machineType": names("kinds", one.kind), "cell": 0,
                       "lifecycle": "in_service", "weight": one.weight, "startedAtMs": 0})
            };
            let all: Vec<_> = listed.iter().map(member).collect();
            let members = json!({"generation": 1, "reset": true, "instances": all});
            config["known"] = json!({"n": FIRST_EVENT - 1, "events": [{"n": FIRST_EVENT - 1, "members": members}]});
            config
        });
        let addresses = Arc::new(Mutex::new(
            (0..shape.fronts).map(|n| Some(fleet.address(n))).collect(),
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

    /// From now on each front that is killed is held to what it was told before: it has it on disk.
    pub fn keep_lists_on_disk(&mut self) {
        self.limits.lists_on_disk = true;
    }

    /// Clients begin to ask all fronts.
    pub fn start_clients(&self, seed: u64) -> Clients {
        Clients::start(&self.history, &self.addresses, &self.load, seed)
    }

    /// Kills fronts outright.
    pub fn kill(&mut self, fronts: &[usize]) {
        for front in fronts {
            self.history.record(Observation::Killed(*front));
            self.addresses.lock().expect("no holder panics")[*front] = None;
        }
        self.fleet.kill(fronts.iter().copied());
    }

    /// Starts fronts anew that were killed.
    pub fn restart(&mut self, fronts: &[usize]) {
        self.fleet.restart(fronts.iter().copied());
        for front in fronts {
            let at = self.fleet.address(*front);
            self.history.record(Observation::Resumed(*front));
            self.addresses.lock().expect("no holder panics")[*front] = Some(at);
        }
    }

    /// Stops fronts, or lets them go on.
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

    /// The link between a front and the list service does this; `None`: it heals.
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

    /// The link between one side of the fleet and a node does this; `None`: it heals.
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

    /// Resets the connections of one side of the fleet to a node.
    pub fn reset_connections(&self, group: usize, index: usize) {
        self.links[group][index].reset();
    }

    /// The list service tells that a node is in another state.
    pub fn set_node_state(&mut self, index: usize, state: State) -> u64 {
        self.listed[index].state = state;
        self.list_service
            .publish(Event::Nodes(false, vec![self.listed[index]]))
    }

    /// The list service tells that a node has just started: it is cold.
    pub fn mark_started(&mut self, index: usize) -> u64 {
        self.listed[index].started_ms = crate::nodes::wall_ms();
        self.set_node_state(index, State::Ready)
    }

    /// The list service tells of all nodes, some of them in other states.
    pub fn publish_all(&mut self, states: &[(usize, State)]) -> u64 {
        states
            .iter()
            .for_each(|(index, state)| self.listed[*index].state = *state);
        self.list_service
            .publish(Event::Nodes(true, self.listed.clone()))
    }

    /// The list service tells that an object is purged now.
    pub fn purge(&self, item: u64) -> u64 {
        let at_ms = crate::nodes::wall_ms();
        self.nodes.purge(item, at_ms, self.purge_duration);
        self.list_service.publish(Event::Purge(item, at_ms))
    }

    /// How many nodes there are.
    pub fn node_count(&self) -> usize {
        self.listed.len()
    }

    /// Its shape.
    pub fn size(&self) -> ClusterSize {
        self.shape
    }

    /// Waits until so many more requests were answered with success.
    pub fn wait_served(&self, what: &str, more: usize) {
        let served = |seen: &Observation| matches!(seen, Observation::ClientResponse(_, _, 1));
        let before = self.history.count(served);
        self.history.wait_for(what, before + more, served);
    }

    /// Breaches of the service's rules in all that was seen.
    pub fn violations(&self) -> Vec<Violation> {
        let events = self.list_service.events();
        let (all, event) = (self.history.observations(), |number: u64| {
            events.get(number.checked_sub(FIRST_EVENT)? as usize)
        });
        let mut found = violations(&all, event, &self.limits);
        found.extend(warm_up_violations(&all, event, &self.warm_up_limits));
        found
    }

    /// No rule was broken and no process has ended by itself, or the history round the first breach is shown.
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
                "seed {seed}: {} breaches\n{list}\nthe first:\n{context_text}",
                found.len()
            );
        }
        let dead = self.fleet.exited();
        assert!(dead.is_empty(), "seed {seed}: {dead:#?}");
    }
}

/// What a request that tells no size takes of a node's place, as the decisions assume it.
const REQUEST_COST: Duration = Duration::from_millis(200);

/// What a test machine with busy cores may be late by.
const SCHEDULING_TOLERANCE: Duration = Duration::from_millis(400);
