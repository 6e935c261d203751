//! Simulates the driver of an ACME client, an authority and a folder on virtual clocks. Results of actions arrive as events
//! after a delay.
#![allow(dead_code)]
use cranesill_certs::disk::{self, Files};
use cranesill_certs::exchange::{generate_key, GeneratedKey};
use cranesill_certs::http::Response;
use cranesill_certs::messages::{Level, LogEntry};
use cranesill_certs::order::ChallengeType;
use cranesill_certs::planner::PlannerSettings;
use cranesill_certs::renewal::{HashRanking, Rule};
use cranesill_certs::{
    Action, Challenge, Client, Clocks, Event, Identity, Method, Micros, Settings, Timestamp, SECOND,
};
use cranesill_standins::acme::{Authority, Request};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::rc::Rc;

pub const HOUR: u64 = 3_600;
pub const DAY: u64 = 24 * HOUR;
pub const START: u64 = 1_800_000_000;

/// A folder in memory that loses unsynced data in a power loss, and can fail from any file operation on.
#[derive(Default)]
pub struct Disk {
    /// Files after a power loss.
    durable: BTreeMap<String, Vec<u8>>,
    /// Current files: content, and whether it is synced.
    live: BTreeMap<String, (Vec<u8>, bool)>,
    pub steps: usize,
    /// File operations after this number fail.
    pub kill_at: Option<usize>,
    pub full: bool,
}

impl Disk {
    fn step(&mut self) -> io::Result<()> {
        self.steps += 1;
        if self.kill_at.is_some_and(|at| self.steps > at) {
            return Err(io::Error::other("killed"));
        }
        Ok(())
    }

    /// Simulates a power loss: unsynced files are lost or truncated.
    pub fn lose_power(&mut self) {
        self.live = self
            .durable
            .iter()
            .map(|(n, b)| (n.clone(), (b.clone(), true)))
            .collect();
        self.kill_at = None;
    }

    pub fn insert_file(&mut self, name: &str, bytes: &[u8]) {
        self.durable.insert(name.into(), bytes.to_vec());
        self.live.insert(name.into(), (bytes.to_vec(), true));
    }

    pub fn get(&self, name: &str) -> Option<Vec<u8>> {
        self.live.get(name).map(|(bytes, _)| bytes.clone())
    }

    pub fn names(&self) -> Vec<String> {
        self.live.keys().cloned().collect()
    }
}

impl Files for Disk {
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.step()?;
        if self.full {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        self.live.insert(name.into(), (bytes.to_vec(), false));
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        self.live.get_mut(name).into_iter().for_each(|f| f.1 = true);
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        let file = self.live.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.live.insert(to.into(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        self.live.remove(name);
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.step()?;
        // A power loss truncates unsynced files to half of their length.
        let torn = |(bytes, synced): &(Vec<u8>, bool)| {
            if *synced {
                bytes.clone()
            } else {
                bytes[..bytes.len() / 2].to_vec()
            }
        };
        self.durable = self
            .live
            .iter()
            .map(|(n, f)| (n.clone(), torn(f)))
            .collect();
        Ok(())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        self.get(name).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.names())
    }

    fn writer_id(&self) -> &str {
        "me"
    }
}

pub fn planner_settings() -> PlannerSettings {
    PlannerSettings {
        rule: Rule {
            renew_percent: 67,
            jitter_percent: 5,
        },
        warn_percent: 85,
        max_orders: 20,
        order_window: 3 * HOUR * SECOND,
        max_concurrent_orders: 2,
    }
}

pub fn ranking(me: &str, fronts: &[&str]) -> HashRanking {
    let fronts = fronts.iter().map(|f| f.to_string()).collect();
    HashRanking {
        front_name: me.into(),
        fronts,
        takeover_delay: HOUR * SECOND,
    }
}

/// Shared by all fronts of a test.
pub type Shared<T> = Rc<RefCell<T>>;

pub struct Simulation {
    pub now: Timestamp,
    /// Offset of the wall clock from the true time.
    pub clock_offset_s: i64,
    pub client: Client,
    pub authority: Shared<Authority>,
    pub disk: Option<Shared<Disk>>,
    pub published: Vec<Challenge>,
    pub served: BTreeMap<String, Vec<Identity>>,
    pub log: Vec<(u64, LogEntry)>,
    pub replies: Vec<Result<String, String>>,
    pub fresh_tickets: u32,
    events: Vec<(Timestamp, u64, Event)>,
    event_count: u64,
    /// Number of actions carried out. At `kill_at` the process stops.
    pub actions: usize,
    pub kill_at: Option<usize>,
    /// Whether the authority handles requests and its responses are lost.
    pub loses_responses: bool,
    names: Vec<Vec<String>>,
    settings: Settings,
    identity: (String, Vec<String>),
    pub planner_settings: PlannerSettings,
    /// Number of requests by the first path segment.
    pub requests: HashMap<String, usize>,
}

/// Duration of an exchange with the authority, and of any other action.
const EXCHANGE_TIME: Micros = 50_000;
const LOCAL_TIME: Micros = 1_000;

pub fn authority() -> Shared<Authority> {
    Rc::new(RefCell::new(Authority::new(
        "https://ca.example".into(),
        42,
    )))
}

pub fn disk() -> Shared<Disk> {
    Rc::default()
}

impl Simulation {
    pub fn new(
        authority: &Shared<Authority>,
        disk: Option<&Shared<Disk>>,
        names: &[&[&str]],
    ) -> Simulation {
        Self::front("n1", &["n1"], authority, disk, names)
    }

    pub fn front(
        me: &str,
        fronts: &[&str],
        authority: &Shared<Authority>,
        disk: Option<&Shared<Disk>>,
        names: &[&[&str]],
    ) -> Simulation {
        let names: Vec<Vec<String>> = names
            .iter()
            .map(|n| n.iter().map(|n| n.to_string()).collect())
            .collect();
        let settings = Settings {
            directory_url: authority.borrow().directory(),
            contacts: vec!["mailto:ops@example.org".into()],
            external: None,
            challenge_type: ChallengeType::Http,
            shared: fronts.len() > 1,
        };
        let mut sim = Simulation {
            now: 5 * SECOND,
            clock_offset_s: 0,
            client: Client::new(
                Some(settings.clone()),
                planner_settings(),
                Box::new(ranking(me, fronts)),
            ),
            authority: Rc::clone(authority),
            disk: disk.cloned(),
            published: vec![],
            served: BTreeMap::new(),
            log: vec![],
            replies: vec![],
            fresh_tickets: 0,
            events: vec![],
            event_count: 0,
            actions: 0,
            kill_at: None,
            loses_responses: false,
            names,
            settings,
            identity: (me.into(), fronts.iter().map(|f| f.to_string()).collect()),
            planner_settings: planner_settings(),
            requests: HashMap::new(),
        };
        sim.begin();
        sim
    }

    /// Starts the process: only the content of the folder is left.
    fn begin(&mut self) {
        let fronts: Vec<&str> = self.identity.1.iter().map(String::as_str).collect();
        let new_ranking = || Box::new(ranking(&self.identity.0, &fronts));
        let mut client = Client::new(
            Some(self.settings.clone()),
            self.planner_settings,
            new_ranking(),
        );
        let mut out = Vec::new();
        client.handle(
            self.clocks(),
            Event::Configure(self.planner_settings, new_ranking(), self.names.clone()),
            &mut out,
        );
        let loaded = match &self.disk {
            Some(disk) => disk::load(&mut *disk.borrow_mut()).unwrap(),
            None => disk::Loaded::default(),
        };
        client.handle(self.clocks(), Event::Start(Box::new(loaded)), &mut out);
        self.client = client;
        self.carry_out(out);
    }

    pub fn restart(&mut self) {
        if let Some(disk) = &self.disk {
            disk.borrow_mut().lose_power();
        }
        (self.events, self.published, self.served) = (vec![], vec![], BTreeMap::new());
        self.kill_at = None;
        self.begin();
    }

    pub fn restart_with(&mut self, change: impl Fn(&mut Settings)) {
        change(&mut self.settings);
        self.restart();
    }

    pub fn true_unix_time(&self) -> u64 {
        START + self.now / SECOND
    }

    pub fn clocks(&self) -> Clocks {
        Clocks {
            now: self.now,
            wall: self
                .true_unix_time()
                .saturating_add_signed(self.clock_offset_s),
        }
    }

    pub fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.client.handle(self.clocks(), event, &mut out);
        self.carry_out(out);
    }

    fn schedule(&mut self, after: Micros, event: Event) {
        self.event_count += 1;
        self.events
            .push((self.now + after, self.event_count, event));
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            if self.kill_at.is_some_and(|at| self.actions >= at) {
                return;
            }
            self.actions += 1;
            match action {
                Action::Request(task, request) => {
                    let response = self.exchange(&request);
                    self.schedule(EXCHANGE_TIME, Event::Response(task, response));
                }
                Action::GenerateKey(task, key) => {
                    let event = match generate_key(&key) {
                        Ok(GeneratedKey::Order(pem, csr)) => Event::OrderKey(task, Ok((pem, csr))),
                        Ok(GeneratedKey::Account(key)) => Event::AccountKey(task, Ok(key)),
                        Err(e) => panic!("{e}"),
                    };
                    self.schedule(LOCAL_TIME, event);
                }
                Action::Save(task, what) => {
                    let done = match &self.disk {
                        Some(disk) => disk::save(&mut *disk.borrow_mut(), &what),
                        None => Ok(()),
                    };
                    self.schedule(LOCAL_TIME, Event::Done(task, done));
                }
                Action::Publish(task, challenge) => {
                    self.published.push(challenge);
                    self.schedule(LOCAL_TIME, Event::Done(task, Ok(())));
                }
                Action::Withdraw(challenge) => self.published.retain(|c| *c != challenge),
                Action::Reread(task, id) => {
                    let found = self
                        .disk
                        .as_ref()
                        .and_then(|d| disk::reread(&mut *d.borrow_mut(), &id));
                    self.schedule(LOCAL_TIME, Event::Reread(task, found.map(Box::new)));
                }
                Action::Serve(id, all, fresh) => {
                    self.fresh_tickets += u32::from(fresh);
                    self.served.insert(id, all);
                }
                Action::Reply(_, response) => self.replies.push(response),
                Action::Log(note) => {
                    let at = self.true_unix_time();
                    self.log.push((at, note));
                }
            }
        }
    }

    fn exchange(&mut self, request: &cranesill_certs::Request) -> Result<Response, String> {
        assert_eq!(
            request.url.host, "ca.example",
            "a request was sent to another host"
        );
        let mut authority = self.authority.borrow_mut();
        let first = request
            .url
            .path
            .trim_matches('/')
            .split('/')
            .next()
            .unwrap_or("")
            .to_string();
        *self.requests.entry(first).or_default() += 1;
        if authority.faults.vanished {
            return Err("connection refused".into());
        }
        let method = match request.method {
            Method::Get => "GET",
            Method::Head => "HEAD",
            Method::Post => "POST",
        };
        let body = request
            .sign
            .as_ref()
            .map(|s| s.body().unwrap())
            .unwrap_or_default()
            .into_bytes();
        let request = Request {
            method: method.into(),
            path: request.url.path.clone(),
            content_type: "application/jose+json".into(),
            body,
        };
        let wall = START + self.now / SECOND;
        let response = authority.handle(wall, &request);
        for check in authority.checks() {
            let published = self.published.iter().any(|c| {
                c.name == check.name
                    && c.token == check.token
                    && c.authorization == check.authorization
            });
            authority.checked(
                &check,
                if published {
                    Ok(())
                } else {
                    Err("no challenge response is published".into())
                },
            );
        }
        if self.loses_responses {
            return Err("connection reset".into());
        }
        let field = |name: &str| {
            response
                .fields
                .iter()
                .find(|(n, _)| n.eq_ignore_ascii_case(name))
                .map(|(_, v)| v.clone())
        };
        Ok(Response {
            status: response.status,
            nonce: field("replay-nonce"),
            location: field("location"),
            retry_after: field("retry-after").and_then(|v| v.parse().ok()),
            date: Some(wall.saturating_add_signed(authority.clock)),
            body: response.body,
        })
    }

    /// Advances the time.
    pub fn run(&mut self, seconds: u64) {
        self.run_while(seconds, |_| true);
    }

    /// Advances the time while `holds` returns true. Returns whether it became false.
    pub fn run_while(&mut self, seconds: u64, holds: impl Fn(&Simulation) -> bool) -> bool {
        let until = self.now + seconds * SECOND;
        let mut ticked = false;
        loop {
            if !holds(self) {
                return true;
            }
            let tick = self.client.next(self.clocks()).max(self.now);
            assert!(
                tick > self.now || !ticked,
                "two ticks in a row at the same time"
            );
            let event = self
                .events
                .iter()
                .enumerate()
                .min_by_key(|(_, (at, n, _))| (*at, *n));
            let next = event.map_or(tick, |(_, (at, ..))| tick.min(*at));
            if next > until {
                self.now = until;
                return false;
            }
            self.now = self.now.max(next);
            let event = match event {
                Some((i, (at, ..))) if *at <= tick => self.events.remove(i).2,
                _ => Event::Tick,
            };
            ticked = matches!(event, Event::Tick);
            self.handle(event);
        }
    }

    /// Whether a certificate that is valid by the true time is served for a name.
    pub fn has_valid(&self, name: &str) -> bool {
        let wall = self.true_unix_time();
        self.served
            .values()
            .flatten()
            .any(|i| i.covers(name) && i.is_valid_at(wall))
    }

    /// Number of log entries of a kind with level `Warn` or `Error`.
    pub fn warnings(&self, kind: &str) -> usize {
        self.log
            .iter()
            .filter(|(_, n)| n.kind == kind && n.level >= Level::Warn)
            .count()
    }

    /// The last log entries, for assertion messages.
    pub fn recent_log(&self) -> String {
        let line = |(at, n): &(u64, LogEntry)| {
            format!(
                "{} {:?} {} {}: {}",
                at - START,
                n.level,
                n.kind,
                n.name,
                n.text
            )
        };
        self.log
            .iter()
            .rev()
            .take(25)
            .rev()
            .map(line)
            .collect::<Vec<_>>()
            .join("\n")
    }
}
