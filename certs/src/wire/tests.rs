use super::*;

#[test]
fn a_problem_summary_is_one_sanitized_line() {
    let text =
        br#"{"type":"urn:ietf:params:acme:error:compound","detail":"a\nb\u001b[31m","status":400,
            "subproblems":[{"type":"urn:ietf:params:acme:error:caa","detail":"no","identifier":
            {"type":"dns","value":"x.example"}},{},{},{}]}"#;
    let found = problem(text);
    assert_eq!(found.acme_type(), "compound");
    assert!(
        found
            .summary()
            .starts_with("compound: a b [31m; x.example: caa: no"),
        "{}",
        found.summary()
    );
    assert!(found.summary().ends_with("; and 1 more"));
    assert_eq!(problem(b"<html>"), Problem::default());
}

#[test]
fn renewal_windows_are_parsed_and_invalid_ones_rejected() {
    let info = |start: &str, end: &str| {
        renewal_info(
            format!(r#"{{"suggestedWindow":{{"start":"{start}","end":"{end}"}}}}"#).as_bytes(),
        )
    };
    let window = info("2026-01-02T04:00:00Z", "2026-01-03T04:00:00+01:00").unwrap();
    assert_eq!(window.end - window.start, 23 * 3600);
    assert!(info("2026-01-03T04:00:00Z", "2026-01-02T04:00:00Z").is_err());
    assert!(info("1926-01-03T04:00:00Z", "2026-01-02T04:00:00Z").is_err());
    assert!(info("soon", "later").is_err() && renewal_info(b"{}").is_err());
}

#[test]
fn corrupted_documents_do_not_panic_and_lists_are_bounded() {
    let texts: [&[u8]; 3] = [
        br#"{"status":"pending","authorizations":["https://a/1"],"finalize":"https://a/f"}"#,
        br#"{"identifier":{"type":"dns","value":"a"},"status":"valid","challenges":[]}"#,
        br#"{"newNonce":"https://a/n","newAccount":"https://a/a","newOrder":"https://a/o"}"#,
    ];
    let mut rng = 11u64;
    for round in 0..30_000 {
        let mut bytes = texts[round % 3].to_vec();
        for _ in 0..1 + round % 4 {
            rng = rng
                .wrapping_mul(6364136223846793005)
                .wrapping_add(1442695040888963407);
            let at = (rng >> 33) as usize % bytes.len();
            bytes[at] = (rng >> 20) as u8;
        }
        bytes.truncate(bytes.len() - round % 5);
        let _ = (
            order(&bytes),
            authorization(&bytes),
            directory(&bytes),
            problem(&bytes).summary(),
        );
    }
    let many = format!(
        r#"{{"status":"pending","authorizations":[{}"x"]}}"#,
        "\"x\",".repeat(MAX_LIST_LENGTH)
    );
    assert!(order(many.as_bytes()).is_err());
}
