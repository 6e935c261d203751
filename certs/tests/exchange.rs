//! Exchanges over sockets: an authority that is slow, endless, cut off or gone costs its deadline and no more.
use cranesill_certs::exchange::{exchange, roots};
use cranesill_certs::url::Url;
use cranesill_certs::{Ask, Method};
use cranesill_standins::acme::{Faults, Server};
use std::time::{Duration, Instant};

fn ask(url: &str) -> Ask {
    Ask {
        method: Method::Get,
        url: Url::parse(url).unwrap(),
        sign: None,
    }
}

#[test]
fn answers_that_never_end_stop_short_or_come_by_the_byte_are_given_up_in_time() {
    let server = Server::start("127.0.0.1:0".parse().unwrap(), 1, 1, 3).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("root.pem");
    std::fs::write(&file, server.root()).unwrap();
    let config = roots(&file).unwrap();
    let url = server.directory();
    let within = |ms: u64| {
        exchange(
            &config,
            &ask(&url),
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
            "short",
        ),
        (
            "by the byte",
            Faults {
                slow_ms: 50,
                ..Faults::default()
            },
            "not done in time",
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
        let begun = Instant::now();
        match within(1_500) {
            Ok(answer) => assert_eq!((what, answer.status), ("down", 503)),
            Err(why) => assert!(why.contains(word) && !why.contains('\n'), "{what}: {why}"),
        }
        assert!(
            begun.elapsed() < Duration::from_millis(2_500),
            "{what}: {:?}",
            begun.elapsed()
        );
    }
}

#[test]
fn an_authority_under_another_root_is_not_spoken_to() {
    let server = Server::start("127.0.0.1:0".parse().unwrap(), 1, 1, 3).unwrap();
    let other = cranesill_standins::acme::Issuer::new();
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("root.pem");
    std::fs::write(&file, other.root()).unwrap();
    let config = roots(&file).unwrap();
    let why = exchange(
        &config,
        &ask(&server.directory()),
        Instant::now() + Duration::from_secs(10),
        1_000,
    );
    assert!(why.unwrap_err().contains("invalid peer certificate"));
    assert_eq!(
        server.authority().request_counts.len(),
        0,
        "nothing was said to it"
    );
    for bad in [
        "",
        "-----BEGIN CERTIFICATE-----\nAAAA\n-----END CERTIFICATE-----\n",
    ] {
        std::fs::write(&file, bad).unwrap();
        assert!(roots(&file).is_err());
    }
}
