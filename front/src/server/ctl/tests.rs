use super::*;

#[test]
fn certificate_table_and_exit_code_show_certificates_that_need_attention() {
    let row = |name: &str, state: &str, left: i64, covers: &[&str]| {
        json!({"name": name, "names": [name], "certificate": state, "left_s": left, "not_before": 0,
               "not_after": 1_000_000, "order": "later", "next_s": 7_300, "covers": covers, "refused": []})
    };
    let good = row("a.example", "good", 900_000, &["a.example"]);
    let ends_soon = row("b.example", "good", 100_000, &["b.example"]);
    let incomplete = row("d.example", "good", 900_000, &["x.example"]);
    let mut expired = row("c.example", "EXPIRED", -90, &["c.example"]);
    expired["why"] = json!({"cause": "rate-limited", "text": "too many"});
    let rows = [good, ends_soon, incomplete, expired];
    assert_eq!(
        [1, 2, 3, 4].map(|n| worst_exit_code(&rows[..n])),
        [0, 4, 4, 5]
    );
    assert_eq!(worst_exit_code(&[json!({"certificate": "missing"})]), 4);
    insta::assert_snapshot!(table(&rows));
}

#[test]
fn field_values_are_parsed_as_json_with_text_as_fallback() {
    let found = fields(&["a=1".into(), "b=x=y".into(), "c=[2]".into()]).unwrap();
    assert_eq!(found, json!({"a": 1, "b": "x=y", "c": [2]}));
    assert!(fields(&["plain".into()]).is_err());
}
