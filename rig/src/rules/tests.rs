use super::*;
use crate::event::Listed;

const LIMITS: Limits = Limits {
    drain: Duration::from_millis(500),
    purge: Duration::from_millis(500),
    answer: Duration::from_millis(1_000),
    overlap: Duration::from_millis(50),
    remembers: false,
};

fn drains() -> Event {
    let (state, started_ms) = (State::Draining, 0);
    Event::Nodes(
        false,
        vec![Listed {
            place: 0,
            id: 7,
            state,
            zone: 1,
            kind: 0,
            weight: 8,
            started_ms,
        }],
    )
}

fn found(script: &[(u64, Seen)]) -> Vec<&'static str> {
    found_by(script, &LIMITS)
}

fn found_by(script: &[(u64, Seen)], limits: &Limits) -> Vec<&'static str> {
    let history: Vec<_> = script
        .iter()
        .map(|(ms, seen)| (Duration::from_millis(*ms), *seen))
        .collect();
    let events = [drains(), Event::Purge(3, 1_000)];
    let all = breaches(&history, |number| events.get(number as usize), limits);
    all.iter().map(|breach| breach.rule).collect()
}

fn sent(node: u32, txn: u64, source: u32) -> Seen {
    Seen::Sent {
        node,
        txn,
        write: false,
        item: 3,
        source,
    }
}

#[test]
fn a_cold_node_is_seen_pushed_over_by_those_that_knew_and_by_nobody_else() {
    let one = Listed {
        place: 0,
        id: 7,
        state: State::Ready,
        zone: 1,
        kind: 0,
        weight: 8,
        started_ms: 5,
    };
    let event = Event::Nodes(false, vec![one]);
    let (span, work) = (Duration::from_millis(1_500), Duration::from_millis(200));
    let warm_in = Duration::from_secs(15);
    let cold = Cold {
        from: 0.15,
        warm_in,
        multiple: 4.0,
        span,
        work,
    };
    // 36 by what it can do, 57 with what chance allows.
    let play = |told: usize, each_ms: u64, from_ms: u64| {
        let mut all = vec![(Duration::ZERO, Seen::Told(told, 0))];
        let sends = (0..200u64).map(|n| {
            (
                Duration::from_millis(from_ms + n * each_ms),
                sent(7, 1 << 40 | n, 0),
            )
        });
        all.extend(sends);
        pushed_over(&all, |_| Some(&event), &cold).len()
    };
    assert_eq!(play(0, 50, 0), 0, "30 in the span");
    assert!(play(0, 15, 0) > 0, "100 in the span");
    assert_eq!(play(1, 15, 0), 0, "by a front that was not told");
    assert_eq!(play(0, 15, 14_000), 0, "it is all but warm");
}

const ASKED: Seen = Seen::Asked { front: 0, txn: 1 };
const ANSWERED: Seen = Seen::Answered(0, 1, 1);

#[test]
fn each_rule_is_seen_broken_and_seen_kept() {
    let kept: [&[(u64, Seen)]; 8] = [
        &[
            (0, ASKED),
            (1, sent(7, 1, 0)),
            (2, Seen::Done(7, 1, 5)),
            (3, ANSWERED),
            (4_000, Seen::Mark),
        ],
        // A front that was killed answers nothing, one that was stopped answers late.
        &[
            (0, ASKED),
            (9, Seen::Killed(0)),
            (9, Seen::Lost(0, 1)),
            (4_000, Seen::Mark),
        ],
        &[
            (0, ASKED),
            (9, Seen::Stopped(0)),
            (3_000, Seen::Going(0)),
            (3_001, ANSWERED),
        ],
        // Told and heeded; told to one that does not hear.
        &[
            (0, Seen::Told(0, 0)),
            (400, ASKED),
            (499, sent(7, 1, 0)),
            (500, Seen::Done(7, 1, 5)),
            (501, ANSWERED),
        ],
        &[
            (0, Seen::Deaf(0)),
            (0, Seen::Told(0, 0)),
            (900, ASKED),
            (999, sent(7, 1, 0)),
            (1_000, ANSWERED),
        ],
        // A restart knows nothing of what was told before.
        &[
            (0, Seen::Told(0, 0)),
            (9, Seen::Killed(0)),
            (900, ASKED),
            (999, sent(7, 1, 0)),
            (1_000, ANSWERED),
        ],
        // Given up and sent again, which is seen a little later; or never, where the node reads nothing.
        &[
            (0, ASKED),
            (1, sent(7, 1, 0)),
            (5, sent(8, 1, 0)),
            (30, Seen::Off(7, 1)),
            (31, ANSWERED),
        ],
        &[
            (0, ASKED),
            (1, Seen::Veiled(7, 0)),
            (1, sent(7, 1, 0)),
            (5, sent(8, 1, 0)),
            (30, Seen::Done(8, 1, 5)),
            (31, ANSWERED),
            (3_000, Seen::Clear(7, 0)),
            (3_001, Seen::Off(7, 1)),
        ],
    ];
    for script in kept {
        assert!(found(script).is_empty(), "{script:?}");
    }
    let broken: [(&str, &[(u64, Seen)]); 13] = [
        ("answer", &[(0, ASKED), (4_000, Seen::Mark)]),
        ("answer", &[(0, ASKED), (1_001, ANSWERED)]),
        ("answer", &[(0, ASKED), (10, ANSWERED), (11, ANSWERED)]),
        ("answer", &[(0, ANSWERED)]),
        ("answer", &[(0, ASKED), (1_200, Seen::Lost(0, 1))]),
        ("asked", &[(0, sent(7, 1, 0))]),
        (
            "twice",
            &[
                (0, ASKED),
                (1, Seen::Ran(1)),
                (2, Seen::Ran(1)),
                (3, ANSWERED),
            ],
        ),
        (
            "overlap",
            &[
                (0, ASKED),
                (1, sent(7, 1, 0)),
                (5, sent(8, 1, 0)),
                (90, Seen::Off(7, 1)),
                (91, ANSWERED),
            ],
        ),
        (
            "overlap",
            &[
                (0, ASKED),
                (1, sent(7, 1, 0)),
                (5, sent(8, 1, 0)),
                (6, Seen::Done(8, 1, 5)),
                (6, ANSWERED),
                (900, Seen::Mark),
            ],
        ),
        (
            "overlap",
            &[
                (0, ASKED),
                (1, sent(7, 1, 0)),
                (2, ANSWERED),
                (90, Seen::Mark),
            ],
        ),
        (
            "drain",
            &[
                (0, Seen::Told(0, 0)),
                (400, ASKED),
                (501, sent(7, 1, 0)),
                (502, ANSWERED),
            ],
        ),
        (
            "drain",
            &[
                (0, Seen::Told(0, 0)),
                (400, ASKED),
                (501, sent(8, 1, 7)),
                (502, ANSWERED),
            ],
        ),
        (
            "purge",
            &[
                (0, Seen::Told(0, 1)),
                (501, ASKED),
                (502, sent(8, 1, 0)),
                (503, Seen::Done(8, 1, 999)),
                (504, ANSWERED),
            ],
        ),
    ];
    for (rule, script) in broken {
        assert_eq!(found(script), [rule], "{script:?}");
    }
    // One that hears again is held to it from then on.
    let late = [
        (0, Seen::Deaf(0)),
        (0, Seen::Told(0, 0)),
        (900, Seen::Hears(0)),
        (1_390, ASKED),
        (1_399, sent(7, 1, 0)),
        (1_401, sent(7, 1, 0)),
        (1_402, ANSWERED),
    ];
    assert_eq!(found(&late), ["drain"]);
    // One that has it on disk is held to what it was told before it was killed.
    let script = [
        (0, Seen::Told(0, 0)),
        (9, Seen::Killed(0)),
        (10, Seen::Going(0)),
        (900, ASKED),
        (901, sent(7, 1, 0)),
        (902, ANSWERED),
    ];
    let remembers = Limits {
        remembers: true,
        ..LIMITS
    };
    assert_eq!(
        (found(&script), found_by(&script, &remembers)),
        (vec![], vec!["drain"])
    );
    // What a link held comes once it heals; what comes later than that was written later.
    let script = |at| {
        [
            (0, Seen::Told(0, 0)),
            (1, Seen::Veiled(7, 0)),
            (400, ASKED),
            (800, Seen::Clear(7, 0)),
            (at, sent(7, 1, 0)),
            (at, Seen::Done(7, 1, 5)),
            (at, ANSWERED),
        ]
    };
    assert_eq!(
        (found(&script(801)), found(&script(851))),
        (vec![], vec!["drain"])
    );
}
