use super::*;
use crate::server::drivers::PollerKeys;
use crate::transport::Reactor;
use std::io::{BufRead, BufReader};

struct TestControl {
    reactor: Reactor,
    effects: Vec<Effect>,
    keys: PollerKeys,
    control: Control,
    _folder: tempfile::TempDir,
}

impl TestControl {
    fn new() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let (reactor, mut effects, mut keys) =
            (Reactor::new().unwrap(), Vec::new(), PollerKeys::new(1));
        let path = folder.path().join("c.sock");
        let mut turn = Turn {
            now: 0,
            behind_ms: 0,
            reactor: &reactor,
            effects: &mut effects,
            keys: &mut keys,
        };
        let control =
            Control::new(&mut turn, &path, [("status", "state of the front")].into()).unwrap();
        TestControl {
            reactor,
            effects,
            keys,
            control,
            _folder: folder,
        }
    }

    fn operator(&mut self) -> UnixStream {
        UnixStream::connect(&self.control.path).unwrap()
    }

    /// Handles events until none are reported.
    fn process_events(&mut self, now: Timestamp) {
        while let Ok(events) = self.reactor.wait(0, Some(1_000)) {
            if events.is_empty() {
                return;
            }
            for event in events {
                let mut turn = Turn {
                    now,
                    behind_ms: 0,
                    reactor: &self.reactor,
                    effects: &mut self.effects,
                    keys: &mut self.keys,
                };
                self.control
                    .ready(&mut turn, event.key, event.readable, event.writable);
            }
        }
    }
}

#[test]
fn the_socket_has_mode_0600_and_replaces_only_a_stale_socket() {
    let fixture = TestControl::new();
    let mode = std::fs::metadata(&fixture.control.path)
        .unwrap()
        .permissions()
        .mode();
    assert_eq!(mode & 0o777, 0o600);
    assert!(bind(&fixture.control.path)
        .unwrap_err()
        .to_string()
        .contains("another daemon"));
    let file = fixture._folder.path().join("file");
    std::fs::write(&file, "x").unwrap();
    assert!(
        bind(&file)
            .unwrap_err()
            .to_string()
            .contains("not a socket"),
        "a file is not replaced"
    );
    // The socket of a killed daemon is replaced.
    let stale = fixture._folder.path().join("stale.sock");
    drop(UnixListener::bind(&stale).unwrap());
    // A process that another test starts may hold a copy of the socket between its fork and exec.
    let deadline = std::time::Instant::now() + std::time::Duration::from_secs(20);
    while let Err(error) = bind(&stale) {
        assert!(std::time::Instant::now() < deadline, "{error}");
        std::thread::yield_now();
    }
}

#[test]
fn malformed_endless_and_excess_operators_do_not_affect_others() {
    let mut fixture = TestControl::new();
    let mut malformed = fixture.operator();
    malformed
        .write_all(b"{\"word\":\"nothing\"}\n[1]\n\xff\n{\"word\":\"sta")
        .unwrap();
    fixture.process_events(1);
    let mut lines = BufReader::new(malformed.try_clone().unwrap()).lines();
    for text in ["unknown command", "field `word` is missing", "not JSON"] {
        assert!(lines.next().unwrap().unwrap().contains(text));
    }
    malformed.write_all(b"tus\"}\n").unwrap();
    fixture.process_events(2);
    assert!(
        matches!(&fixture.effects[..], [Effect::Admin(AdminEffect::Command { id: 4, name, arguments: Value::Null })] if name == "status")
    );
    // A line without end is rejected, and the number of operators is limited.
    let mut endless = fixture.operator();
    endless.set_nonblocking(true).unwrap();
    let mut sent = 0;
    while let Ok(n) = {
        fixture.process_events(3);
        endless.write(&[b'x'; 8_192])
    } {
        sent += n;
        assert!(sent < 2 * MAX_LINE_BYTES, "disconnected by then");
    }
    let _many: Vec<_> = (0..40).map(|_| fixture.operator()).collect();
    fixture.process_events(4);
    assert!(fixture.control.operators.len() <= MAX_OPERATORS);
    // The first operator is still served.
    let mut effects = Vec::new();
    let mut turn = Turn {
        now: 5,
        behind_ms: 0,
        reactor: &fixture.reactor,
        effects: &mut effects,
        keys: &mut fixture.keys,
    };
    fixture
        .control
        .handle_effect(&mut turn, &Effect::response(4, Ok(json!({"a": 1}))));
    assert_eq!(lines.next().unwrap().unwrap(), r#"{"ok":{"a":1}}"#);
    let mut turn = Turn {
        now: IDLE_TIMEOUT + 6,
        behind_ms: 0,
        reactor: &fixture.reactor,
        effects: &mut effects,
        keys: &mut fixture.keys,
    };
    fixture.control.due(&mut turn);
    assert!(
        fixture.control.operators.is_empty(),
        "an idle operator is disconnected"
    );
}

#[test]
fn the_unanswered_commands_of_one_operator_are_limited() {
    let mut fixture = TestControl::new();
    let mut one = fixture.operator();
    one.write_all("{\"word\":\"status\"}\n".repeat(20).as_bytes())
        .unwrap();
    fixture.process_events(1);
    assert_eq!(fixture.effects.len(), MAX_OPEN_COMMANDS);
    let mut effects = Vec::new();
    let mut turn = Turn {
        now: 2,
        behind_ms: 0,
        reactor: &fixture.reactor,
        effects: &mut effects,
        keys: &mut fixture.keys,
    };
    fixture
        .control
        .handle_effect(&mut turn, &Effect::response(1, Ok(Value::Null)));
    assert_eq!(effects.len(), 1, "the next command follows a response");
}
