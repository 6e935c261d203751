use super::*;
use crate::server::drivers::PollerKeys;
use crate::transport::Reactor;
use std::io::{BufRead, BufReader};

struct Stage {
    reactor: Reactor,
    effects: Vec<Effect>,
    keys: PollerKeys,
    control: Control,
    _folder: tempfile::TempDir,
}

impl Stage {
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
        Stage {
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
    fn turn(&mut self, now: Timestamp) {
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
fn the_socket_is_0600_and_a_second_daemon_is_refused() {
    let stage = Stage::new();
    let mode = std::fs::metadata(&stage.control.path)
        .unwrap()
        .permissions()
        .mode();
    assert_eq!(mode & 0o777, 0o600);
    assert!(bind(&stage.control.path)
        .unwrap_err()
        .to_string()
        .contains("another daemon"));
    let file = stage._folder.path().join("file");
    std::fs::write(&file, "x").unwrap();
    assert!(
        bind(&file)
            .unwrap_err()
            .to_string()
            .contains("not a socket"),
        "a file is not replaced"
    );
    // The socket of a killed daemon is replaced.
    let old = stage._folder.path().join("old.sock");
    drop(UnixListener::bind(&old).unwrap());
    // A process that another test starts may hold a copy of the socket between its fork and exec.
    let until = std::time::Instant::now() + std::time::Duration::from_secs(20);
    while let Err(why) = bind(&old) {
        assert!(std::time::Instant::now() < until, "{why}");
        std::thread::yield_now();
    }
}

#[test]
fn odd_slow_and_endless_operators_hurt_nobody() {
    let mut stage = Stage::new();
    let mut odd = stage.operator();
    odd.write_all(b"{\"word\":\"nothing\"}\n[1]\n\xff\n{\"word\":\"sta")
        .unwrap();
    stage.turn(1);
    let mut lines = BufReader::new(odd.try_clone().unwrap()).lines();
    for text in ["unknown command", "field `word` is missing", "not JSON"] {
        assert!(lines.next().unwrap().unwrap().contains(text));
    }
    odd.write_all(b"tus\"}\n").unwrap();
    stage.turn(2);
    assert!(
        matches!(&stage.effects[..], [Effect::Admin(AdminEffect::Command { id: 4, name: word, arguments: Value::Null })] if word == "status")
    );
    // A line without end is rejected, and the number of operators is limited.
    let mut endless = stage.operator();
    endless.set_nonblocking(true).unwrap();
    let mut sent = 0;
    while let Ok(n) = {
        stage.turn(3);
        endless.write(&[b'x'; 8_192])
    } {
        sent += n;
        assert!(sent < 2 * MAX_LINE_BYTES, "disconnected by then");
    }
    let _many: Vec<_> = (0..40).map(|_| stage.operator()).collect();
    stage.turn(4);
    assert!(stage.control.operators.len() <= MAX_OPERATORS);
    // The first operator is still served.
    let mut effects = Vec::new();
    let mut turn = Turn {
        now: 5,
        behind_ms: 0,
        reactor: &stage.reactor,
        effects: &mut effects,
        keys: &mut stage.keys,
    };
    stage
        .control
        .handle_effect(&mut turn, &Effect::response(4, Ok(json!({"a": 1}))));
    assert_eq!(lines.next().unwrap().unwrap(), r#"{"ok":{"a":1}}"#);
    let mut turn = Turn {
        now: MAX_IDLE + 6,
        behind_ms: 0,
        reactor: &stage.reactor,
        effects: &mut effects,
        keys: &mut stage.keys,
    };
    stage.control.due(&mut turn);
    assert!(
        stage.control.operators.is_empty(),
        "an idle operator is disconnected"
    );
}

#[test]
fn an_operator_has_so_many_words_open_and_no_more() {
    let mut stage = Stage::new();
    let mut one = stage.operator();
    one.write_all("{\"word\":\"status\"}\n".repeat(20).as_bytes())
        .unwrap();
    stage.turn(1);
    assert_eq!(stage.effects.len(), MAX_OPEN_COMMANDS);
    let mut effects = Vec::new();
    let mut turn = Turn {
        now: 2,
        behind_ms: 0,
        reactor: &stage.reactor,
        effects: &mut effects,
        keys: &mut stage.keys,
    };
    stage
        .control
        .handle_effect(&mut turn, &Effect::response(1, Ok(Value::Null)));
    assert_eq!(effects.len(), 1, "the next command follows a response");
}
