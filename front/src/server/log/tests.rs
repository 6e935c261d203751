use super::*;

#[test]
fn warnings_have_reserved_lines_and_suppressed_lines_are_counted_by_kind() {
    let mut limiter = Limiter::default();
    let info_lines = (0..100).filter(|_| limiter.admit(7, false, "note")).count();
    let warnings = (0..100).filter(|_| limiter.admit(7, true, "broke")).count();
    assert_eq!((info_lines, warnings), (35, 15));
    assert_eq!(limiter.take_suppressed(7), None, "the second has not ended");
    let suppressed = limiter.take_suppressed(8).unwrap();
    assert_eq!((suppressed["note"], suppressed["broke"]), (65, 85));
    assert_eq!(limiter.take_suppressed(9), None);
    assert!(limiter.admit(8, false, "note"));
    // The number of kinds is limited.
    let written = (0..1_000)
        .filter(|i| limiter.admit(9, false, &i.to_string()))
        .count();
    assert_eq!(written, 35);
    let suppressed = limiter.take_suppressed(10).unwrap();
    assert!(suppressed.len() <= MAX_SUPPRESSED_KINDS + 1);
    assert_eq!(suppressed.values().sum::<u64>(), 965);
}

#[test]
fn a_log_line_stays_on_one_line_for_any_field_value() {
    let fields = [
        ("error", "a\n\"b\" c".to_string()),
        ("member", "s-1".into()),
    ];
    insta::assert_snapshot!(line(false, (5, 7), "warn", "x\ny", &fields), @r#"5.000007 warn x\ny error="a\n\"b\" c" member=s-1"#);
    let json: serde_json::Value =
        serde_json::from_str(&line(true, (5, 7), "warn", "x\ny", &fields)).unwrap();
    assert_eq!(
        (json["error"].as_str(), json["level"].as_str()),
        (Some("a\n\"b\" c"), Some("warn"))
    );
    let long = line(false, (5, 7), "info", "x", &[("a", "é".repeat(9_000))]);
    assert!(long.chars().count() <= MAX_LINE_CHARACTERS + 1 && long.ends_with('\n'));
}
