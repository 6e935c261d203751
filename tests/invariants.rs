//! Checks the invariants of the decision module under random events, and that the checker detects each violation.
mod common;
use common::*;
use cranesill::api::*;

fn random_outcome(rng: &mut Rng, has_source: bool) -> (Status, FillNote) {
    use Status::*;
    match rng.below(20) {
        0 => (Error, FillNote::None),
        1 => (Rejected, FillNote::None),
        2 => (ConnectFailed, FillNote::None),
        3 => (Reset, FillNote::None),
        4 if has_source => (Rejected, FillNote::SourceRejected),
        5 if has_source => (Error, FillNote::SourceLost),
        6 if has_source => (Miss, FillNote::SourceMiss),
        7 if has_source => (Rejected, FillNote::NoFillSlot),
        8 if has_source => (Error, FillNote::OriginFailed),
        9..=11 => (Miss, FillNote::None),
        12..=14 if has_source => (Ok, FillNote::Filled),
        _ => (Ok, FillNote::Hit),
    }
}

fn run(settings: Settings, seed: u64) -> RouterHarness {
    let mut rng = Rng(seed);
    let classes = settings.classes.len() as u64;
    let mut harness = RouterHarness::new(settings, default_endpoints());
    let mut next_id = 1;
    for _ in 0..3000 {
        match rng.below(12) {
            0..=5 => {
                let mut request = new_request(next_id, rng.below(40));
                request.class = rng.below(classes) as u16;
                request.group = rng.below(4) as u32;
                request.time_left = 20 * MS + rng.below(4000) * MS;
                next_id += 1;
                harness.send_request(request);
            }
            6..=8 => {
                let in_flight = harness.attempts_in_flight();
                if !in_flight.is_empty() {
                    let attempt = in_flight[rng.below(in_flight.len() as u64) as usize].clone();
                    let has_source = attempt.source.is_some_and(|s| s != attempt.target);
                    let (status, note) = random_outcome(&mut rng, has_source);
                    let source_wait = rng.below(2000) * MS;
                    harness.end_attempt(&attempt, status, note, source_wait);
                }
            }
            9 => {
                harness.advance(rng.below(200) * MS);
            }
            10 if rng.below(4) == 0 => {
                let mut change = default_endpoints()[rng.below(6) as usize].clone();
                if change.kind != ORIGIN {
                    match rng.below(3) {
                        0 => change.state = EndpointState::Draining,
                        1 => change.state = EndpointState::Removed,
                        _ => change.started = harness.now - rng.below(3000) * MS,
                    }
                }
                harness.notify(Event::Endpoints(ListKind::Delta, vec![change]));
            }
            11 if rng.below(4) == 0 => {
                let object = (rng.below(2) == 0).then_some(ObjectId(rng.below(40)));
                let age = rng.below(400) * MS;
                harness.notify(Event::Purged {
                    object,
                    group: rng.below(4) as u32,
                    age,
                });
            }
            10 if rng.below(8) == 0 => {
                let endpoint = default_endpoints()[rng.below(6) as usize].endpoint;
                harness.notify(Event::Cordon {
                    endpoint,
                    cordoned: rng.below(6) == 0,
                });
            }
            _ => {
                let in_flight = harness.attempts_in_flight();
                let open: Vec<_> = in_flight
                    .iter()
                    .filter(|s| !harness.checker.is_closed(s.request))
                    .collect();
                if rng.below(8) == 0 && !open.is_empty() {
                    let cancelled = open[rng.below(open.len() as u64) as usize].request;
                    harness.notify(Event::Cancelled(cancelled));
                }
            }
        }
    }
    harness.advance(20 * S);
    let now = harness.now;
    harness.checker.check_overdue(now);
    harness
}

#[test]
fn invariants_hold_under_random_events_with_all_combinations_of_settings() {
    let keyed = Idempotency::Keyed {
        scope: KeyScope::All,
        window: 2 * S,
    };
    let keyed_by_zone = Idempotency::Keyed {
        scope: KeyScope::Zone,
        window: 2 * S,
    };
    let mut attempts = 0;
    for bits in 0..32u32 {
        let mut settings = settings();
        settings.pass_through = bits & 1 != 0;
        settings.hedging = bits & 2 != 0;
        settings.cancellation = bits & 4 != 0;
        settings.coalescing = bits & 8 != 0;
        settings.must_subscribe = bits & 16 != 0;
        settings.classes.push(class(keyed, true));
        settings.classes.push(class(keyed_by_zone, true));
        settings
            .classes
            .push(class(Idempotency::NotIdempotent, false));
        settings.classes.push(Class {
            freshness_lifetime: 20 * S,
            grace: 30 * S,
            ..class(Idempotency::Idempotent, false)
        });
        let harness = run(settings, u64::from(bits) + 7);
        assert_eq!(
            harness.checker.violations,
            Vec::<String>::new(),
            "settings {bits:05b}"
        );
        attempts += harness.sent.len();
    }
    assert!(
        attempts > 30_000,
        "too few attempts to check the invariants: {attempts}"
    );
}

#[test]
fn identical_events_give_identical_actions() {
    assert_eq!(run(settings(), 3).actions, run(settings(), 3).actions);
}

/// A checker that has observed the default endpoints and the arrival of one request of a class.
fn checker_with_request(class: u16) -> Checker {
    let mut checker = Checker::new(settings());
    checker.observe_event(
        100 * S,
        &Event::Endpoints(ListKind::Full, default_endpoints()),
    );
    checker.observe_event(
        100 * S,
        &Event::Request(Request {
            class,
            ..new_request(1, 5)
        }),
    );
    checker
}

fn attempt(target: u64, source: u64, max_age: Micros) -> Action {
    let source = EndpointId(source);
    let fill = Fill {
        source,
        max_age,
        rank: 1,
        coalesce: false,
        only_cached: false,
        refresh: false,
    };
    Action::Send {
        request: RequestId(1),
        target: EndpointId(target),
        timeout: 0,
        fill: Some(fill),
    }
}

fn outcome(status: Status) -> Event {
    let (request, note) = (RequestId(1), FillNote::None);
    Event::Outcome(Outcome {
        shared_failure: false,
        request,
        attempt: 0,
        closed: false,
        status,
        note,
        source_wait: 0,
        latency: 0,
        report: None,
    })
}

#[test]
fn the_checker_detects_each_kind_of_violation() {
    let t = 100 * S;
    let assert_violation = |checker: &Checker, expected: &str| {
        assert!(
            checker.violations.iter().any(|b| b.contains(expected)),
            "{expected}: {:?}",
            checker.violations
        );
    };
    let mut c = checker_with_request(0);
    c.check_overdue(t + 5 * S);
    assert_violation(&c, "not answered by its deadline");
    let mut c = checker_with_request(0);
    c.observe_action(t, &Action::Reject(RequestId(1), 0));
    c.observe_action(t, &Action::Fail(RequestId(1)));
    assert_violation(&c, "answered twice");
    c.observe_action(t, &attempt(10, 20, 0));
    assert_violation(&c, "attempt of a closed request");
    let mut c = checker_with_request(1);
    c.observe_action(t, &attempt(10, 30, 0));
    c.observe_event(t, &outcome(Status::Reset));
    c.observe_action(t, &attempt(11, 30, 0));
    assert_violation(&c, "may run twice");
    c.observe_action(t, &Action::Reject(RequestId(1), 0));
    assert_violation(&c, "rejected although it may have run");
    let mut c = checker_with_request(0);
    let drain = EndpointEntry {
        state: EndpointState::Draining,
        ..entry(20, PARENT)
    };
    c.observe_event(t, &Event::Endpoints(ListKind::Delta, vec![drain]));
    c.observe_action(t, &attempt(10, 20, 0));
    assert_violation(&c, "sent to an endpoint that is not ready");
    let mut c = checker_with_request(0);
    c.observe_event(
        t,
        &Event::Cordon {
            endpoint: EndpointId(20),
            cordoned: true,
        },
    );
    c.observe_action(t, &attempt(10, 20, 0));
    assert_violation(&c, "sent to a cordoned endpoint");
    let mut c = checker_with_request(0);
    c.observe_event(
        t,
        &Event::Purged {
            object: Some(ObjectId(5)),
            group: 0,
            age: 100 * MS,
        },
    );
    c.observe_action(t, &attempt(10, 20, 200 * MS));
    assert_violation(&c, "accepts a purged copy");
    let mut c = checker_with_request(0);
    c.observe_event(
        t,
        &Event::Purged {
            object: Some(ObjectId(5)),
            group: 0,
            age: 100 * MS,
        },
    );
    c.observe_action(
        t,
        &Action::Send {
            request: RequestId(1),
            target: EndpointId(20),
            timeout: 0,
            fill: None,
        },
    );
    assert_violation(&c, "accepts a purged copy");
    let mut c = checker_with_request(0);
    c.observe_event(
        t,
        &Event::Endpoints(
            ListKind::Delta,
            vec![EndpointEntry {
                started: t,
                ..entry(20, PARENT)
            }],
        ),
    );
    for _ in 0..60 {
        c.observe_action(t, &attempt(10, 20, 0));
    }
    assert_violation(&c, "overloaded in slow start");
}
