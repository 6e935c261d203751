use super::*;

#[test]
fn urls_that_could_lead_to_another_host_are_rejected() {
    let good = Url::parse("https://CA.example:14000/acme/order/1?x=1").unwrap();
    assert_eq!(
        (good.host.as_str(), good.port, good.path.as_str()),
        ("ca.example", 14000, "/acme/order/1?x=1")
    );
    assert_eq!(good.host_field(), "ca.example:14000");
    assert_eq!(
        Url::parse("https://[::1]:5/d").unwrap().host_field(),
        "[::1]:5"
    );
    assert!(Url::parse("https://ca.example")
        .unwrap()
        .same_host_and_port(&Url::parse("https://ca.example:443/x").unwrap()));
    for bad in [
        "http://ca.example/",
        "https://",
        "https:///x",
        "https://ca.example@evil.example/",
        "https://ca.example\\@evil.example/",
        "https://ca.example/a b",
        "https://ca.example/\r\nX: y",
        "https://ca.example:0/",
        "https://ca.example:+1/",
        "https://ca.example:99999/",
        "https://ca.example/#x",
        "https://ca.example?x",
        "https://[::1/",
        "https://[ca.example]/",
        "https://ca.exämple/",
    ] {
        assert!(Url::parse(bad).is_err(), "{bad}");
    }
    assert!(Url::parse(&format!("https://a/{}", "b".repeat(3_000))).is_err());
}
