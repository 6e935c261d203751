//! Cordoned and uncordoned endpoints: routing, slow start, and health state before and after.
mod common;
use common::*;
use cranesill::api::*;

/// Targets and sources of the attempts of a hundred requests for different objects.
fn endpoints_used(harness: &mut RouterHarness, from: u64) -> std::collections::BTreeSet<u64> {
    let mut endpoints = std::collections::BTreeSet::new();
    for id in from..from + 100 {
        for sent in harness.send_request(new_request(id, id)) {
            endpoints.extend([sent.target].into_iter().chain(sent.source));
            harness.serve(&sent);
        }
        harness.advance(20 * MS);
    }
    endpoints
}

#[test]
fn a_cordoned_endpoint_is_never_target_or_source_after_list_changes() {
    let mut harness = RouterHarness::new(settings(), default_endpoints());
    harness.notify(Event::Cordon {
        endpoint: EndpointId(10),
        cordoned: true,
    });
    harness.notify(Event::Cordon {
        endpoint: EndpointId(20),
        cordoned: true,
    });
    assert_eq!(endpoints_used(&mut harness, 1), [11, 12, 21].into());
    // The cordon outlasts removal from the list and a return by a delta or a full list.
    let removed = EndpointEntry {
        state: EndpointState::Removed,
        ..entry(10, CACHE)
    };
    harness.notify(Event::Endpoints(ListKind::Delta, vec![removed]));
    harness.notify(Event::Endpoints(ListKind::Delta, vec![entry(10, CACHE)]));
    assert_eq!(endpoints_used(&mut harness, 1_001), [11, 12, 21].into());
    harness.notify(Event::Endpoints(ListKind::Full, default_endpoints()));
    assert_eq!(endpoints_used(&mut harness, 2_001), [11, 12, 21].into());
    assert!(
        harness.router.is_unavailable(EndpointId(10))
            && !harness.router.is_unavailable(EndpointId(11))
    );
    assert_eq!(harness.checker.violations, Vec::<String>::new());
}

#[test]
fn one_uncordon_reverts_repeated_cordons_and_starts_a_slow_start() {
    let mut harness = RouterHarness::new(settings(), default_endpoints());
    harness.notify(Event::Cordon {
        endpoint: EndpointId(10),
        cordoned: true,
    });
    harness.notify(Event::Cordon {
        endpoint: EndpointId(10),
        cordoned: true,
    });
    harness.advance(3 * S);
    harness.notify(Event::Cordon {
        endpoint: EndpointId(10),
        cordoned: false,
    });
    assert!(!harness.router.is_unavailable(EndpointId(10)));
    // The checker applies the slow-start limits of an endpoint that started now.
    assert!(
        endpoints_used(&mut harness, 1).contains(&10),
        "the uncordoned cache must get requests within two seconds"
    );
    assert_eq!(harness.checker.violations, Vec::<String>::new());
}

#[test]
fn outcomes_from_before_an_uncordon_do_not_affect_health() {
    let mut harness = RouterHarness::new(
        settings(),
        vec![entry(10, CACHE), entry(20, PARENT), entry(30, ORIGIN)],
    );
    for id in 1..=4 {
        let mut next = harness.send_request(new_request(id, id));
        while let Some(sent) = next.first().cloned() {
            next = harness.end_attempt(&sent, Status::ConnectFailed, FillNote::None, 0);
        }
    }
    assert!(
        harness.router.is_unavailable(EndpointId(10)),
        "cache 10 must be DOWN after the failed attempts"
    );
    let sent = harness.attempts_in_flight();
    harness.notify(Event::Cordon {
        endpoint: EndpointId(10),
        cordoned: true,
    });
    harness.notify(Event::Cordon {
        endpoint: EndpointId(10),
        cordoned: false,
    });
    assert!(
        !harness.router.is_unavailable(EndpointId(10)),
        "failures from before the cordon must not keep the cache DOWN"
    );
    // Attempts sent to the previous process fail after the restart.
    for sent in sent {
        harness.end_attempt(&sent, Status::Reset, FillNote::None, 0);
    }
    assert!(!harness.router.is_unavailable(EndpointId(10)));
}

#[test]
fn with_all_endpoints_of_a_kind_cordoned_requests_bypass_it_or_are_answered_immediately() {
    let pass_through = Settings {
        pass_through: true,
        ..settings()
    };
    let mut harness = RouterHarness::new(pass_through, default_endpoints());
    [20, 21].into_iter().for_each(|id| {
        drop(harness.notify(Event::Cordon {
            endpoint: EndpointId(id),
            cordoned: true,
        }))
    });
    assert!(
        endpoints_used(&mut harness, 1).contains(&30),
        "without parents, caches must fill from the origin"
    );
    [10, 11, 12].into_iter().for_each(|id| {
        drop(harness.notify(Event::Cordon {
            endpoint: EndpointId(id),
            cordoned: true,
        }))
    });
    assert_eq!(
        endpoints_used(&mut harness, 1_001),
        [30].into(),
        "without caches, requests must go to the origin"
    );
    harness.notify(Event::Cordon {
        endpoint: EndpointId(30),
        cordoned: true,
    });
    assert!(endpoints_used(&mut harness, 2_001).is_empty());
    assert!(
        harness.answers.contains_key(&RequestId(2_001)),
        "without usable endpoints, requests must be answered immediately"
    );
    // Requests that wait for an endpoint are answered when it is cordoned.
    let mut harness = RouterHarness::new(settings(), default_endpoints());
    let ids: Vec<u64> = (1..=400).collect();
    ids.iter()
        .for_each(|id| drop(harness.send_request(new_request(*id, 5))));
    [10, 11, 12, 20, 21, 30].into_iter().for_each(|id| {
        drop(harness.notify(Event::Cordon {
            endpoint: EndpointId(id),
            cordoned: true,
        }))
    });
    let sent: std::collections::BTreeSet<_> = harness.sent.iter().map(|s| s.request.0).collect();
    let unsent = ids.iter().filter(|id| !sent.contains(id));
    assert!(
        unsent.clone().count() > 0,
        "some requests must wait for capacity"
    );
    assert!(
        unsent
            .clone()
            .all(|id| harness.answers.contains_key(&RequestId(*id))),
        "waiting requests must be answered"
    );
}

#[test]
fn learned_health_carries_down_states_and_slow_starts_to_the_next_process() {
    let endpoints = || {
        vec![
            entry(10, CACHE),
            entry(11, CACHE),
            entry(20, PARENT),
            entry(30, ORIGIN),
        ]
    };
    let mut old = RouterHarness::new(settings(), endpoints());
    old.notify(Event::Cordon {
        endpoint: EndpointId(11),
        cordoned: true,
    });
    for id in 1..=4 {
        let mut next = old.send_request(new_request(id, id));
        while let Some(sent) = next.first().cloned() {
            next = old.end_attempt(&sent, Status::ConnectFailed, FillNote::None, 0);
        }
    }
    old.notify(Event::Cordon {
        endpoint: EndpointId(11),
        cordoned: false,
    });
    let learned = old.router.learned_health();
    let learned_of = |id| {
        *learned
            .iter()
            .find(|one| one.endpoint.0 == id)
            .expect("learned health of the endpoint")
    };
    assert!(
        learned_of(10).down
            && learned_of(10).connection_lost
            && !learned_of(11).down
            && learned_of(11).slow_start_at == old.now
    );
    let mut new = RouterHarness::new(settings(), endpoints());
    new.now = old.now;
    new.notify(Event::LearnedHealth(learned.clone()));
    // A SUSPECT endpoint gets at most two probes at once.
    let to_10: Vec<_> = (1..=40)
        .flat_map(|id| new.send_request(new_request(id, id)))
        .filter(|sent| sent.target == 10)
        .collect();
    assert!(
        (1..=2).contains(&to_10.len()),
        "{} probes of a SUSPECT cache",
        to_10.len()
    );
    new.end_attempt(&to_10[0], Status::ConnectFailed, FillNote::None, 0);
    assert!(
        new.router.is_unavailable(EndpointId(10)),
        "one failed probe must make the cache unavailable"
    );
    // Learned health does not apply to an endpoint with another start time.
    let mut new = RouterHarness::new(settings(), endpoints());
    let restarted = EndpointEntry {
        started: new.now - S,
        ..entry(10, CACHE)
    };
    new.notify(Event::Endpoints(ListKind::Delta, vec![restarted]));
    new.notify(Event::LearnedHealth(learned));
    assert_eq!(
        new.router
            .learned_health()
            .iter()
            .filter(|one| one.endpoint.0 == 10)
            .count(),
        0
    );
}

#[test]
fn a_burst_after_an_uncordon_stays_within_the_slow_start_budget() {
    let mut harness = RouterHarness::new(settings(), default_endpoints());
    harness.notify(Event::Cordon {
        endpoint: EndpointId(10),
        cordoned: true,
    });
    harness.notify(Event::Cordon {
        endpoint: EndpointId(10),
        cordoned: false,
    });
    // Responses are immediate, so only the slow-start budget limits the requests to the cache.
    for id in 1..=400 {
        for sent in harness.send_request(new_request(id, id)) {
            harness.serve(&sent);
        }
        harness.advance(MS);
    }
    assert!(
        harness.sent.iter().any(|sent| sent.target == 10),
        "the cache in slow start must get some requests"
    );
    assert_eq!(harness.checker.violations, Vec::<String>::new());
}
