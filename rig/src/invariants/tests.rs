use super::*;
use crate::list_event::{ListedNode, State};

const LIMITS: Limits = Limits {
    drain: Duration::from_millis(500),
    purge: Duration::from_millis(500),
    response: Duration::from_millis(1_000),
    overlap: Duration::from_millis(50),
    lists_on_disk: false,
};

fn drains() -> Event {
    let (state, started_ms) = (State::Draining, 0);
    Event::Nodes(
        false,
        vec![ListedNode {
            index: 0,
            id: 7,
            state,
            zone: 1,
            kind: 0,
            weight: 8,
            started_ms,
        }],
    )
}

fn violated_rules(script: &[(u64, Observation)]) -> Vec<&'static str> {
    violated_rules_with(script, &LIMITS)
}

fn violated_rules_with(script: &[(u64, Observation)], limits: &Limits) -> Vec<&'static str> {
    let history: Vec<_> = script
        .iter()
        .map(|(ms, seen)| (Duration::from_millis(*ms), *seen))
        .collect();
    let events = [drains(), Event::Purge(3, 1_000)];
    let all = violations(&history, |number| events.get(number as usize), limits);
    all.iter().map(|violation| violation.rule).collect()
}

fn attempt(node: u32, txn: u64, source: u32) -> Observation {
    Observation::Attempt {
        node,
        txn,
        write: false,
        item: 3,
        source,
    }
}

#[test]
fn warm_up_overload_counts_only_fronts_informed_of_the_start() {
    let one = ListedNode {
        index: 0,
        id: 7,
        state: State::Ready,
        zone: 1,
        kind: 0,
        weight: 8,
        started_ms: 5,
    };
    let event = Event::Nodes(false, vec![one]);
    let (overload_window, request_cost) =
        (Duration::from_millis(1_500), Duration::from_millis(200));
    let warm_up = Duration::from_secs(15);
    let limits = WarmUpLimits {
        initial_fraction: 0.15,
        warm_up,
        overload_factor: 4.0,
        overload_window,
        request_cost,
    };
    // The capacity is 36 requests in the window, 57 with the statistical tolerance.
    let count_violations = |told: usize, each_ms: u64, from_ms: u64| {
        let mut all = vec![(Duration::ZERO, Observation::EventSent(told, 0))];
        let sends = (0..200u64).map(|n| {
            (
                Duration::from_millis(from_ms + n * each_ms),
                attempt(7, 1 << 40 | n, 0),
            )
        });
        all.extend(sends);
        warm_up_violations(&all, |_| Some(&event), &limits).len()
    };
    assert_eq!(count_violations(0, 50, 0), 0, "30 requests in the window");
    assert!(count_violations(0, 15, 0) > 0, "100 requests in the window");
    assert_eq!(
        count_violations(1, 15, 0),
        0,
        "attempts of a front without the start event do not count"
    );
    assert_eq!(
        count_violations(0, 15, 14_000),
        0,
        "the node is almost warmed up"
    );
}

const REQUEST: Observation = Observation::ClientRequest { front: 0, txn: 1 };
const RESPONSE: Observation = Observation::ClientResponse(0, 1, 1);

#[test]
fn each_invariant_is_checked_for_violation_and_compliance() {
    let kept: [&[(u64, Observation)]; 8] = [
        &[
            (0, REQUEST),
            (1, attempt(7, 1, 0)),
            (2, Observation::Responded(7, 1, 5)),
            (3, RESPONSE),
            (4_000, Observation::ModeChanged),
        ],
        // A killed front sends no response, a stopped one a late one.
        &[
            (0, REQUEST),
            (9, Observation::Killed(0)),
            (9, Observation::ClientUnanswered(0, 1)),
            (4_000, Observation::ModeChanged),
        ],
        &[
            (0, REQUEST),
            (9, Observation::Stopped(0)),
            (3_000, Observation::Resumed(0)),
            (3_001, RESPONSE),
        ],
        // Within the limit after the event; later, while the link of the front is impaired.
        &[
            (0, Observation::EventSent(0, 0)),
            (400, REQUEST),
            (499, attempt(7, 1, 0)),
            (500, Observation::Responded(7, 1, 5)),
            (501, RESPONSE),
        ],
        &[
            (0, Observation::FeedImpaired(0)),
            (0, Observation::EventSent(0, 0)),
            (900, REQUEST),
            (999, attempt(7, 1, 0)),
            (1_000, RESPONSE),
        ],
        // A restarted front without a list on disk is not bound by earlier events.
        &[
            (0, Observation::EventSent(0, 0)),
            (9, Observation::Killed(0)),
            (900, REQUEST),
            (999, attempt(7, 1, 0)),
            (1_000, RESPONSE),
        ],
        // A cancellation recorded a little later; or much later, because the node was not reading.
        &[
            (0, REQUEST),
            (1, attempt(7, 1, 0)),
            (5, attempt(8, 1, 0)),
            (30, Observation::Aborted(7, 1)),
            (31, RESPONSE),
        ],
        &[
            (0, REQUEST),
            (1, Observation::NodeImpaired(7, 0)),
            (1, attempt(7, 1, 0)),
            (5, attempt(8, 1, 0)),
            (30, Observation::Responded(8, 1, 5)),
            (31, RESPONSE),
            (3_000, Observation::NodeRestored(7, 0)),
            (3_001, Observation::Aborted(7, 1)),
        ],
    ];
    for script in kept {
        assert!(violated_rules(script).is_empty(), "{script:?}");
    }
    let broken: [(&str, &[(u64, Observation)]); 13] = [
        (
            "response",
            &[(0, REQUEST), (4_000, Observation::ModeChanged)],
        ),
        ("response", &[(0, REQUEST), (1_001, RESPONSE)]),
        ("response", &[(0, REQUEST), (10, RESPONSE), (11, RESPONSE)]),
        ("response", &[(0, RESPONSE)]),
        (
            "response",
            &[(0, REQUEST), (1_200, Observation::ClientUnanswered(0, 1))],
        ),
        ("unrequested", &[(0, attempt(7, 1, 0))]),
        (
            "repeated write",
            &[
                (0, REQUEST),
                (1, Observation::Executed(1)),
                (2, Observation::Executed(1)),
                (3, RESPONSE),
            ],
        ),
        (
            "overlap",
            &[
                (0, REQUEST),
                (1, attempt(7, 1, 0)),
                (5, attempt(8, 1, 0)),
                (90, Observation::Aborted(7, 1)),
                (91, RESPONSE),
            ],
        ),
        (
            "overlap",
            &[
                (0, REQUEST),
                (1, attempt(7, 1, 0)),
                (5, attempt(8, 1, 0)),
                (6, Observation::Responded(8, 1, 5)),
                (6, RESPONSE),
                (900, Observation::ModeChanged),
            ],
        ),
        (
            "overlap",
            &[
                (0, REQUEST),
                (1, attempt(7, 1, 0)),
                (2, RESPONSE),
                (90, Observation::ModeChanged),
            ],
        ),
        (
            "drain",
            &[
                (0, Observation::EventSent(0, 0)),
                (400, REQUEST),
                (501, attempt(7, 1, 0)),
                (502, RESPONSE),
            ],
        ),
        (
            "drain",
            &[
                (0, Observation::EventSent(0, 0)),
                (400, REQUEST),
                (501, attempt(8, 1, 7)),
                (502, RESPONSE),
            ],
        ),
        (
            "purge",
            &[
                (0, Observation::EventSent(0, 1)),
                (501, REQUEST),
                (502, attempt(8, 1, 0)),
                (503, Observation::Responded(8, 1, 999)),
                (504, RESPONSE),
            ],
        ),
    ];
    for (rule, script) in broken {
        assert_eq!(violated_rules(script), [rule], "{script:?}");
    }
    // The limit starts again when the link of the front is restored.
    let late = [
        (0, Observation::FeedImpaired(0)),
        (0, Observation::EventSent(0, 0)),
        (900, Observation::FeedRestored(0)),
        (1_390, REQUEST),
        (1_399, attempt(7, 1, 0)),
        (1_401, attempt(7, 1, 0)),
        (1_402, RESPONSE),
    ];
    assert_eq!(violated_rules(&late), ["drain"]);
    // A restarted front with the list on disk is bound by earlier events.
    let script = [
        (0, Observation::EventSent(0, 0)),
        (9, Observation::Killed(0)),
        (10, Observation::Resumed(0)),
        (900, REQUEST),
        (901, attempt(7, 1, 0)),
        (902, RESPONSE),
    ];
    let lists_on_disk = Limits {
        lists_on_disk: true,
        ..LIMITS
    };
    assert_eq!(
        (
            violated_rules(&script),
            violated_rules_with(&script, &lists_on_disk)
        ),
        (vec![], vec!["drain"])
    );
    // Bytes that a link held arrive when it is restored; an attempt after the tolerance was sent later.
    let script = |at| {
        [
            (0, Observation::EventSent(0, 0)),
            (1, Observation::NodeImpaired(7, 0)),
            (400, REQUEST),
            (800, Observation::NodeRestored(7, 0)),
            (at, attempt(7, 1, 0)),
            (at, Observation::Responded(7, 1, 5)),
            (at, RESPONSE),
        ]
    };
    assert_eq!(
        (violated_rules(&script(801)), violated_rules(&script(851))),
        (vec![], vec!["drain"])
    );
}

/// A shutdown with one request: when it was sent, what a node saw of it, and when the client's connection ended.
fn shutdown_with_request(
    sent_ms: u64,
    attempted_ms: Option<u64>,
    ended_ms: u64,
) -> Vec<&'static str> {
    let mut script = vec![
        (0, Observation::Terminated(0)),
        (sent_ms, REQUEST),
        (ended_ms, Observation::Exited(0)),
        (ended_ms, Observation::ClientUnanswered(0, 1)),
        (4_000, Observation::ModeChanged),
    ];
    script.extend(attempted_ms.map(|at| (at, attempt(7, 1, 0))));
    script.sort_by_key(|(at, _)| *at);
    violated_rules(&script)
}

#[test]
fn only_requests_that_cross_a_shutdown_unread_may_stay_unanswered() {
    assert_eq!(shutdown_with_request(700, None, 740), [""; 0]);
    // Within the time for which service is guaranteed.
    assert_eq!(shutdown_with_request(500, None, 540), ["response"]);
    // The connection stayed open for long, so the request was read.
    assert_eq!(shutdown_with_request(700, None, 1_700), ["response"]);
    // Forwarded before or after the end of the connection.
    let forwarded = shutdown_with_request(700, Some(710), 740);
    assert!(forwarded.contains(&"response"), "{forwarded:?}");
    let forwarded = shutdown_with_request(700, Some(760), 740);
    assert!(forwarded.contains(&"response"), "{forwarded:?}");
}

#[test]
fn a_request_that_is_open_when_its_front_exits_is_not_excused() {
    let script = [
        (0, REQUEST),
        (1, Observation::Terminated(0)),
        (900, Observation::Exited(0)),
        (900, Observation::ClientUnanswered(0, 1)),
    ];
    assert_eq!(violated_rules(&script), ["response"]);
}
