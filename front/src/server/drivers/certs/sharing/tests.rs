use super::*;
use crate::server::drivers::{AdminEffect, Driver, PollerKeys};
use crate::transport::Reactor;
use serde_json::json;
use std::path::Path;
use std::time::{Duration, Instant};

const HOST: &str = "front1.east.example.org";
const SECOND: Timestamp = 1_000_000;
/// Limit for waits; no result depends on its length.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

struct TestProcess {
    reactor: Reactor,
    keys: PollerKeys,
    certs: Certs,
    now: Timestamp,
    /// Whether each command succeeded.
    answers: Vec<bool>,
}

impl TestProcess {
    fn start(folder: &Path, accepts_clients: bool) -> Self {
        let settings = json!({"directory": folder, "certificates": [{"names": [HOST]}], "fronts": ["n1"],
                              "http_listen": "127.0.0.1:0"});
        let settings: cranesill_daemon::Certs = serde_json::from_value(settings).unwrap();
        let (reactor, mut keys, mut effects) =
            (Reactor::new().unwrap(), PollerKeys::new(1), Vec::new());
        let mut turn = Turn {
            now: SECOND,
            behind_ms: 0,
            reactor: &reactor,
            effects: &mut effects,
            keys: &mut keys,
        };
        let certs = Certs::new(&mut turn, &settings, "n1", accepts_clients).unwrap();
        TestProcess {
            reactor,
            keys,
            certs,
            now: SECOND,
            answers: Vec::new(),
        }
    }

    fn with_turn(&mut self, call: impl FnOnce(&mut Certs, &mut Turn<'_>)) {
        let mut effects = Vec::new();
        let mut turn = Turn {
            now: self.now,
            behind_ms: 0,
            reactor: &self.reactor,
            effects: &mut effects,
            keys: &mut self.keys,
        };
        call(&mut self.certs, &mut turn);
        for effect in effects {
            if let Effect::Admin(AdminEffect::Response { result, .. }) = effect {
                self.answers.push(result.is_ok());
            }
        }
    }

    fn send(&mut self, change: ProcessEffect) {
        self.with_turn(|certs, turn| certs.handle_effect(turn, &Effect::Process(change)));
    }

    fn import(&mut self) {
        let key = rcgen::KeyPair::generate().unwrap();
        let params = rcgen::CertificateParams::new(vec![HOST.to_string()]).unwrap();
        let chain = params.self_signed(&key).unwrap().pem();
        let arguments = json!({"key": key.serialize_pem(), "chain": chain});
        self.with_turn(|certs, turn| certs.handle_command(turn, 1, "certs-import", &arguments));
    }

    fn run(&mut self) {
        self.now += ACQUIRE_INTERVAL;
        let events = self.reactor.wait(0, Some(1_000)).unwrap();
        self.with_turn(|certs, turn| {
            for event in events {
                certs.ready(turn, event.key, event.readable, event.writable);
            }
            certs.due(turn);
        });
    }

    fn until(&mut self, what: &str, condition: impl Fn(&Self) -> bool) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while !condition(self) {
            assert!(Instant::now() < deadline, "not {what} in time");
            self.run();
        }
    }

    fn has_certificate(&self) -> bool {
        let statuses = self.certs.client.statuses(super::super::time_now(self.now));
        statuses.iter().any(|(_, served)| served.is_some())
    }
}

#[test]
fn a_process_that_shuts_down_keeps_the_directory_until_its_writes_are_complete() {
    let folder = tempfile::tempdir().unwrap();
    let mut old = TestProcess::start(folder.path(), true);
    old.import();
    old.send(ProcessEffect::ShutsDown);
    old.import();
    assert_eq!(old.answers, [false], "rejected while shutting down");
    let mut ownership = Ownership::of_file(&folder.path().join(".n1"));
    assert!(!ownership.try_acquire().unwrap(), "released during a write");
    old.until("answered", |old| old.answers.len() == 2);
    assert_eq!(old.answers, [false, true]);
    assert!(ownership.try_acquire().unwrap());
    assert!(folder.path().join(format!("{HOST}.pem")).exists());
}

#[test]
fn a_process_beside_the_owner_changes_nothing_and_serves_what_the_owner_stores() {
    let folder = tempfile::tempdir().unwrap();
    let mut old = TestProcess::start(folder.path(), true);
    let temporary = folder.path().join(".state.json.n1.tmp");
    std::fs::write(&temporary, "being written").unwrap();
    let mut next = TestProcess::start(folder.path(), false);
    next.import();
    assert_eq!(next.answers, [false]);
    old.import();
    next.until("informed", TestProcess::has_certificate);
    assert!(temporary.exists(), "removed a file that the owner writes");
    assert!(!next.certs.is_manager());
    drop(old);
    for _ in 0..20 {
        next.run();
    }
    assert!(
        !next.certs.is_manager(),
        "another process may accept clients"
    );
    next.send(ProcessEffect::TakesOver);
    next.until("the owner", |next| next.certs.is_manager());
    assert!(!temporary.exists());
    next.import();
    next.until("answered", |next| next.answers.len() == 2);
    assert_eq!(next.answers, [false, true]);
}
