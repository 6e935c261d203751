use super::*;

fn paths(text: &str) -> Vec<String> {
    read(text.as_bytes())
        .unwrap_err()
        .into_iter()
        .map(|f| f.to_string())
        .collect()
}

#[test]
fn the_schema_that_is_committed_is_the_one_of_the_types() {
    let committed: serde_json::Value =
        serde_json::from_str(include_str!("../../docs/daemon.schema.json")).unwrap();
    assert_eq!(
        committed,
        schema(),
        "run: cranesill schema > docs/daemon.schema.json"
    );
}

#[test]
fn the_example_has_everything_off() {
    let example = read(include_bytes!("../../deploy/daemon.json")).unwrap();
    assert!(example.control.is_none() && example.tls.is_none() && example.certs.is_none());
    assert_eq!(read(b"{}").unwrap(), Daemon::default());
}

#[test]
fn all_faults_are_named_each_with_its_path() {
    let told = paths(
        r#"{"log": {"level": "loud", "colour": 1},
                "tls": {"listen": "nowhere", "handshakes_most": 0, "handshake_ms": 5000},
                "certs": {"certificates": [{"names": ["a.example", "-b.example"]}, {"names": []}],
                          "order_window_s": -1}}"#,
    );
    assert!(
        told.iter().any(|line| line.contains(r#""warn""#)),
        "the words that would do: {told:#?}"
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
            told.iter().any(|line| line.starts_with(path)),
            "{path} in {told:#?}"
        );
    }
    // The checks beyond the schema run for each section that can be parsed.
    let told = paths(
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
            told.iter().any(|line| line.starts_with(path)),
            "{path} in {told:#?}"
        );
    }
}

#[test]
fn a_text_that_is_no_json_is_one_fault_with_its_place() {
    assert_eq!(paths("{\"log\": ").len(), 1);
    assert!(paths("{\"log\": ")[0].contains("line 1"));
    assert!(read(&[0xff, 0xfe]).is_err());
    assert!(read(&vec![b' '; check::FILE_MOST + 1]).unwrap_err()[0]
        .what
        .contains("more than"));
    // Deep nesting must not overflow the stack.
    assert!(read("[".repeat(100_000).as_bytes()).is_err());
}

#[test]
fn a_reload_tells_what_it_takes_over_and_what_needs_a_restart() {
    let old =
        read(br#"{"control": {"path": "/run/a"}, "tls": {"listen": "127.0.0.1:1"}}"#).unwrap();
    let mut new = old.clone();
    assert_eq!(changes(&old, &new), Changes::default());
    new.log.level = Level::Debug;
    new.control.as_mut().unwrap().path = "/run/b".into();
    new.tls.as_mut().unwrap().handshakes_most = 7;
    new.certs = Some(Certs::default());
    let told = changes(&old, &new);
    assert_eq!(told.applied, ["log.level", "tls.handshakes_most"]);
    assert_eq!(told.needs_restart, ["certs", "control.path"]);
}
