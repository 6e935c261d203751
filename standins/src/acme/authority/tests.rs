use super::*;

#[test]
fn times_are_formatted_as_in_rfc_3339() {
    for (wall, text) in [
        (0, "1970-01-01T00:00:00Z"),
        (951_782_400, "2000-02-29T00:00:00Z"),
        (1_796_142_099, "2026-12-01T16:21:39Z"),
    ] {
        assert_eq!(rfc3339(wall), text);
    }
}

#[test]
fn requests_without_a_valid_signature_get_a_problem_and_a_nonce() {
    let mut authority = Authority::new("https://a".into(), 7);
    let post = |body: &str, content_type: &str| Request {
        method: "POST".into(),
        path: "/order/new".into(),
        content_type: content_type.into(),
        body: body.as_bytes().to_vec(),
    };
    for (body, content_type, status) in [
        ("{}", "application/json", 415),
        ("{}", "application/jose+json", 400),
        (
            r#"{"protected":"e30","payload":"","signature":""}"#,
            "application/jose+json",
            400,
        ),
    ] {
        let response = authority.handle(0, &post(body, content_type));
        assert_eq!(response.status, status);
        assert!(response.fields.iter().any(|(n, _)| *n == "Replay-Nonce"));
    }
    let get = Request {
        method: "GET".into(),
        path: "/order/1".into(),
        ..Request::default()
    };
    assert_eq!(authority.handle(0, &get).status, 405, "POST-as-GET alone");
}
