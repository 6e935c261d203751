use super::*;

#[test]
fn events_are_read_with_the_zone_and_kind_names_of_the_settings() {
    let strings = |list: &[&str]| list.iter().map(|s| s.to_string()).collect();
    let names = Names {
        zones: strings(&["hub", "east"]),
        kinds: strings(&["std"]),
        ..Names::default()
    };
    let known = serde_json::json!({"n": 43, "events": [
        {"n": 1, "members": {"generation": 7, "reset": false, "instances": [
            {"instanceId": "s-00c41f7a", "hostPort": "10.1.0.9:8080", "zone": "east", "machineType": "std",
             "cell": 2, "lifecycle": "in_service", "weight": 4, "startedAtMs": 0}]}},
        {"n": 42, "purge": {"key": "7f3a9c21e0b4d655", "at": 1_764_576_000_123u64}},
        {"n": 43, "purge": {"group": 17, "at": 1_764_576_000_480u64}}]});
    insta::assert_debug_snapshot!(read(&known, &names));
    let without_target = serde_json::json!({"n": 1, "events": [{"n": 1, "purge": {"at": 5}}]});
    assert!(read(&without_target, &names).is_err());
}
