use super::*;

#[test]
fn only_a_get_request_for_the_token_of_an_open_challenge_is_answered() {
    let authorizations = HashMap::from([("tok_en-1".to_string(), "tok_en-1.print".to_string())]);
    let response = |text: &str| {
        respond(text.as_bytes(), &authorizations).map(|a| String::from_utf8(a).unwrap())
    };
    let complete = "GET /.well-known/acme-challenge/tok_en-1 HTTP/1.1\r\nHost: a\r\n\r\n";
    (0..complete.len())
        .for_each(|cut| assert!(response(&complete[..cut]).is_none_or(|a| a.contains("400"))));
    assert!(response(complete)
        .unwrap()
        .ends_with("\r\n\r\ntok_en-1.print"));
    for (bad, status) in [
        (
            "GET /.well-known/acme-challenge/other HTTP/1.1\r\n\r\n",
            "404",
        ),
        (
            "GET /.well-known/acme-challenge/../tok_en-1 HTTP/1.1\r\n\r\n",
            "404",
        ),
        ("GET / HTTP/1.1\r\n\r\n", "404"),
        (
            "POST /.well-known/acme-challenge/tok_en-1 HTTP/1.1\r\n\r\n",
            "405",
        ),
        ("\x16\x03\x01\x02\r\n\r\n", "400"),
    ] {
        assert!(
            response(bad)
                .unwrap()
                .starts_with(&format!("HTTP/1.1 {status}")),
            "{bad:?}"
        );
    }
}
