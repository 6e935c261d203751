use super::*;

fn fault_lines(text: &str) -> Vec<String> {
    read(text.as_bytes())
        .unwrap_err()
        .into_iter()
        .map(|f| f.to_string())
        .collect()
}

#[test]
fn the_committed_schema_matches_the_types() {
    let committed: serde_json::Value =
        serde_json::from_str(include_str!("../../docs/daemon.schema.json")).unwrap();
    assert_eq!(
        committed,
        schema(),
        "run: cranesill schema > docs/daemon.schema.json"
    );
}

#[test]
fn the_example_enables_no_subsystem() {
    let example = read(include_bytes!("../../deploy/daemon.json")).unwrap();
    assert!(example.control.is_none() && example.tls.is_none() && example.certs.is_none());
    assert_eq!(read(b"{}").unwrap(), Daemon::default());
}

#[test]
fn all_faults_are_reported_with_their_paths() {
    let lines = fault_lines(
        r#"{"log": {"level": "loud", "colour": 1},
                "tls": {"listen": "nowhere", "handshakes_most": 0, "handshake_ms": 5000},
                "certs": {"certificates": [{"names": ["a.example", "-b.example"]}, {"names": []}],
                          "order_window_s": -1}}"#,
    );
    assert!(
        lines.iter().any(|line| line.contains(r#""warn""#)),
        "the allowed levels are listed: {lines:#?}"
    );
    for path in [
        "$.log.level:",
        "$.log: ",
        "$.tls.listen:",
        "$.tls.handshakes_most:",
        "$.tls.handshake_ms:",
        "$.certs.certificates[1].names:",
        "$.certs.order_window_s:",
    ] {
        assert!(
            lines.iter().any(|line| line.starts_with(path)),
            "{path} in {lines:#?}"
        );
    }
    // The checks beyond the schema run for each section that can be parsed.
    let lines = fault_lines(
        r#"{"tls": {"listen": "nowhere"}, "surplus": 1,
                "certs": {"certificates": [{"names": ["a.example", "-b.example"]}, {"names": ["A.example"]}],
                          "authority": {"directory_url": "http://ca.example/dir", "roots_file": "r", "challenge": "http-01"}}}"#,
    );
    for path in [
        "$.tls.listen: not an IP address",
        "$.certs.certificates[0].names[1]: not a host name",
        "$.certs.certificates[1].names[0]: duplicate host name",
        "$.certs.authority.directory_url: not an https URL",
        "$.certs.http_listen: missing",
        "$: ",
    ] {
        assert!(
            lines.iter().any(|line| line.starts_with(path)),
            "{path} in {lines:#?}"
        );
    }
}

#[test]
fn malformed_json_is_one_fault_with_its_position() {
    assert_eq!(fault_lines("{\"log\": ").len(), 1);
    assert!(fault_lines("{\"log\": ")[0].contains("line 1"));
    assert!(read(&[0xff, 0xfe]).is_err());
    assert!(read(&vec![b' '; check::MAX_FILE_BYTES + 1]).unwrap_err()[0]
        .message
        .contains("more than"));
    // Deep nesting must not overflow the stack.
    assert!(read("[".repeat(100_000).as_bytes()).is_err());
}

#[test]
fn changes_are_split_into_reloadable_ones_and_those_that_need_a_restart() {
    let old =
        read(br#"{"control": {"path": "/run/a"}, "tls": {"listen": "127.0.0.1:1"}}"#).unwrap();
    let mut new = old.clone();
    assert_eq!(changes(&old, &new), Changes::default());
    new.log.level = Level::Debug;
    new.control.as_mut().unwrap().path = "/run/b".into();
    new.tls.as_mut().unwrap().handshakes_most = 7;
    new.certs = Some(Certs::default());
    let changes = changes(&old, &new);
    assert_eq!(changes.applied, ["log.level", "tls.handshakes_most"]);
    assert_eq!(changes.needs_restart, ["certs", "control.path"]);
}

/// A change that needs a restart must be named by every reload until then, whatever its section.
#[test]
fn settings_in_effect_differ_from_the_file_in_all_that_needs_a_restart() {
    let parse = |text: &str| serde_json::from_str::<Daemon>(text).unwrap();
    let running = parse(
        r#"{"control": {"path": "/a"}, "tls": {"listen": "127.0.0.1:1"}, "certs": {"directory": "/a"},
            "purges": {"file": "/a"}, "startup": {"snapshots": "/a"}}"#,
    );
    let edited = parse(
        r#"{"control": {"path": "/b"}, "tls": {"listen": "127.0.0.1:2", "core_percent": 7}, "certs": {"directory": "/b",
            "renew_percent": 7}, "purges": {"file": "/b"}, "startup": {"snapshots": "/b"}, "log": {"level": "debug"}}"#,
    );
    let paths = [
        "certs.directory",
        "control.path",
        "purges.file",
        "startup.snapshots",
        "tls.listen",
    ];
    let sections = ["certs", "control", "purges", "startup", "tls"];
    let empty = Daemon::default();
    for (running, new, expected) in [
        (&running, &edited, paths),
        (&running, &empty, sections),
        (&empty, &running, sections),
    ] {
        assert_eq!(changes(running, new).needs_restart, expected);
        let kept = in_effect(running.clone(), new.clone());
        let again = changes(&kept, new);
        assert_eq!(again.needs_restart, expected);
        assert_eq!(again.applied, Vec::<String>::new());
    }
}
