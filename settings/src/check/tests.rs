use super::*;
use serde_json::json;

fn valid_settings() -> Value {
    let config = include_str!("../../../front/examples/config.json");
    serde_json::from_str::<Value>(config).unwrap()["settings"].clone()
}

#[test]
fn missing_keys_are_valid_and_invalid_values_are_reported_with_their_path() {
    assert_eq!(faults(&valid_settings()), Vec::<SettingsFault>::new());
    assert_eq!(faults(&json!({})), Vec::<SettingsFault>::new());
    let cases = [
        ("/zone", json!(7)),
        ("/zone", json!("edge-1")),
        ("/nInstances", json!(-3)),
        ("/classes/1/semantics", json!("safe")),
        ("/classes/2/aim", json!("600 ms")),
        ("/classes/0/deadline", json!(1e300)),
        ("/classes/0", json!("car-video")),
        ("/classes", json!({})),
        ("/familyInfo/joins", json!("yes")),
        ("/familyInfo/classFresh", json!([0, -1, 0])),
        ("/familyInfo/classWrite", json!([false, false, true, true])),
        ("/familyInfo/upperKind", json!(-2)),
        ("/familyInfo/rootKind", json!("origin")),
        ("/rules/coldFrom", json!(1.5)),
        ("/policyLimits/sendCap", json!([])),
        ("/report/fields", json!([1])),
        ("/discovery", json!("dns")),
    ];
    let mut messages = Vec::new();
    for (path, value) in cases {
        let mut settings = valid_settings();
        *settings.pointer_mut(path).unwrap() = value;
        let faults = faults(&settings);
        assert!(!faults.is_empty(), "{path}");
        let error = crate::read(&settings).expect_err(path);
        let lines: Vec<String> = faults.iter().map(SettingsFault::to_string).collect();
        assert_eq!(error.to_string(), lines.join("; "));
        messages.push(error.to_string());
    }
    let text = messages.join("\n");
    for expected in [
        "settings.zone: 7: not an index into settings.zones",
        "settings.classes[2].aim: not a number",
        "settings.classes[0]: not",
    ] {
        assert!(text.contains(expected), "{expected} in\n{text}");
    }
    assert!(
        messages
            .iter()
            .all(|line| line.starts_with("settings.") && line.len() < 200),
        "{text}"
    );
}

#[test]
fn reading_altered_settings_does_not_panic_and_never_accepts_a_fault() {
    // Replaces each value of valid settings in turn by values of other types and ranges.
    fn paths(value: &Value, base: &str, found: &mut Vec<String>) {
        found.push(base.to_string());
        match value {
            Value::Object(map) => map
                .iter()
                .for_each(|(k, v)| paths(v, &format!("{base}/{k}"), found)),
            Value::Array(list) => list
                .iter()
                .enumerate()
                .for_each(|(i, v)| paths(v, &format!("{base}/{i}"), found)),
            _ => {}
        }
    }
    let mut pointers = Vec::new();
    paths(&valid_settings(), "", &mut pointers);
    assert!(pointers.len() > 100);
    let replacements = [
        json!(null),
        json!(-1),
        json!(1e308),
        json!("x"),
        json!([]),
        json!({}),
        json!([[1]]),
        json!(true),
    ];
    for path in pointers {
        for value in &replacements {
            let mut settings = valid_settings();
            *settings.pointer_mut(&path).unwrap() = value.clone();
            // Some replacements are valid; those with a fault must be rejected.
            let read = crate::read(&settings);
            assert!(
                read.is_err() || faults(&settings).is_empty(),
                "{path}: {value}"
            );
        }
    }
}
