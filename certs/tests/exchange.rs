//! Exchanges over sockets with faulty authorities must end within the deadline.
use cranesill_certs::exchange::{exchange, load_roots};
use cranesill_certs::url::Url;
use cranesill_certs::{Method, Request};
use cranesill_standins::acme::{Faults, Server};
use std::time::{Duration, Instant};

fn request(url: &str) -> Request {
    Request {
        method: Method::Get,
        url: Url::parse(url).unwrap(),
        sign: None,
    }
}

#[test]
fn endless_truncated_and_slow_responses_fail_within_the_deadline() {
    let server = Server::start("127.0.0.1:0".parse().unwrap(), 1, 1, 3).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("root.pem");
    std::fs::write(&file, server.root()).unwrap();
    let config = load_roots(&file).unwrap();
    let url = server.directory();
    let within = |ms: u64| {
        exchange(
            &config,
            &request(&url),
            Instant::now() + Duration::from_millis(ms),
            100_000,
        )
    };
    assert_eq!(within(10_000).unwrap().status, 200);
    let faults: [(&str, Faults, &str); 5] = [
        (
            "endless",
            Faults {
                endless: true,
                ..Faults::default()
            },
            "too long",
        ),
        (
            "cut",
            Faults {
                cut: true,
                ..Faults::default()
            },
            "truncated",
        ),
        (
            "by the byte",
            Faults {
                slow_ms: 50,
                ..Faults::default()
            },
            "deadline exceeded",
        ),
        (
            "vanished",
            Faults {
                vanished: true,
                ..Faults::default()
            },
            "127.0.0.1",
        ),
        (
            "down",
            Faults {
                down: true,
                ..Faults::default()
            },
            "",
        ),
    ];
    for (what, fault, word) in faults {
        server.authority().faults = fault;
        let started = Instant::now();
        match within(1_500) {
            Ok(response) => assert_eq!((what, response.status), ("down", 503)),
            Err(why) => assert!(why.contains(word) && !why.contains('\n'), "{what}: {why}"),
        }
        assert!(
            started.elapsed() < Duration::from_millis(2_500),
            "{what}: {:?}",
            started.elapsed()
        );
    }
}

#[test]
fn no_request_is_sent_to_an_authority_with_an_untrusted_root() {
    let server = Server::start("127.0.0.1:0".parse().unwrap(), 1, 1, 3).unwrap();
    let other = cranesill_standins::acme::Issuer::new();
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("root.pem");
    std::fs::write(&file, other.root()).unwrap();
    let config = load_roots(&file).unwrap();
    let why = exchange(
        &config,
        &request(&server.directory()),
        Instant::now() + Duration::from_secs(10),
        1_000,
    );
    assert!(why.unwrap_err().contains("invalid peer certificate"));
    assert_eq!(
        server.authority().request_counts.len(),
        0,
        "the authority received a request"
    );
    for bad in [
        "",
        "-----BEGIN CERTIFICATE-----\nAAAA\n-----END CERTIFICATE-----\n",
    ] {
        std::fs::write(&file, bad).unwrap();
        assert!(load_roots(&file).is_err());
    }
}
