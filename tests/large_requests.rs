//! Checks that large requests of a class are served about as often as the others: under normal conditions at least two
//! thirds as often as the whole class, under faults half as often. In most runs the router does not know sizes.
mod common;
use common::*;
use cranesill::api::*;

/// Time by which the simulation advances at once.
const STEP: u64 = 10 * MS;
/// Time after which a client disconnects.
const CLIENT_TIMEOUT: u64 = 2_500 * MS;

/// Faults during a run.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Conditions {
    Normal,
    /// One connection in twelve is established late, some break, and one cache of three takes twice as long.
    Faults,
    /// One cache of three does not respond to four requests of ten.
    Loss,
}

/// Number of requests sent and served in time, by size: the largest tenth, the next fifth, the others.
fn run(
    seed: u64,
    conditions: Conditions,
    sizes_known: bool,
    idempotency: Idempotency,
) -> [(u32, u32); 3] {
    let classes = vec![
        class(idempotency, false),
        class(Idempotency::NotIdempotent, true),
    ];
    let settings = Settings {
        hedging: false,
        coalescing: true,
        classes,
        ..settings()
    };
    let connect_timeout = settings.connect_timeout;
    let mut harness = RouterHarness::new(settings, default_endpoints());
    let (mut rng, mut counts, mut transfers) =
        (Rng(seed), [(0, 0); 3], std::collections::BTreeMap::new());
    // Attempts in flight with the time and status of their end.
    let mut pending_ends: Vec<(Timestamp, SentAttempt, Status)> = Vec::new();
    let (mut last_id, mut actions_seen) = (0, 0);
    for _ in 0..60 * S / STEP {
        let mut newly_sent = harness.advance(STEP);
        if rng.below(4) == 0 {
            last_id += 1;
            let (size_group, transfer_time) = match rng.below(10) {
                0 => (0, 1_000 * MS + rng.below(300 * MS)),
                1 | 2 => (1, 400 * MS + rng.below(200 * MS)),
                _ => (2, 30 * MS + rng.below(120 * MS)),
            };
            transfers.insert(RequestId(last_id), (size_group, transfer_time));
            counts[size_group].0 += 1;
            let size_kb = if sizes_known {
                transfer_time as f64 / 1_000.0
            } else {
                0.0
            };
            newly_sent.extend(harness.send_request(Request {
                size_kb,
                time_left: CLIENT_TIMEOUT,
                ..new_request(last_id, rng.below(3_000))
            }));
        }
        loop {
            for sent in newly_sent.drain(..) {
                let transfer_time = transfers[&sent.request].1;
                let is_faulty = sent.target == 10;
                let connect_delay = if conditions == Conditions::Faults && rng.below(12) == 0 {
                    rng.below(1_500 * MS)
                } else {
                    0
                };
                let (duration, status) = match conditions {
                    Conditions::Faults if connect_delay > connect_timeout => {
                        (connect_timeout, Status::ConnectFailed)
                    }
                    Conditions::Faults if rng.below(20) == 0 => {
                        (connect_delay + rng.below(transfer_time), Status::Reset)
                    }
                    Conditions::Faults if is_faulty => {
                        (connect_delay + 2 * transfer_time, Status::Ok)
                    }
                    Conditions::Loss if is_faulty && rng.below(10) < 4 => continue,
                    _ => (connect_delay + transfer_time, Status::Ok),
                };
                pending_ends.push((harness.now + duration, sent, status));
            }
            // Cancelled attempts end immediately.
            let cancelled = harness.actions[actions_seen..].iter().enumerate();
            let cancelled = cancelled.filter_map(|(i, action)| match action {
                Action::Cancel(id, number) => Some((actions_seen + i + 1, *id, *number)),
                _ => None,
            });
            let cancelled: Option<(usize, RequestId, u16)> = cancelled.into_iter().next();
            let due = pending_ends.iter().position(|(at, ..)| *at <= harness.now);
            let (sent, status) = match (cancelled, due) {
                (Some((seen, id, number)), _) => {
                    actions_seen = seen;
                    let in_flight = harness
                        .attempts_in_flight()
                        .into_iter()
                        .find(|s| s.request == id && s.number == number);
                    let Some(sent) = in_flight else { continue };
                    (sent, Status::Cancelled)
                }
                (None, Some(i)) => {
                    let (_, sent, status) = pending_ends.swap_remove(i);
                    (sent, status)
                }
                (None, None) => break,
            };
            if !harness
                .attempts_in_flight()
                .iter()
                .any(|s| s.request == sent.request && s.number == sent.number)
            {
                continue;
            }
            if status == Status::Ok && !harness.checker.is_closed(sent.request) {
                counts[transfers[&sent.request].0].1 += 1;
            }
            newly_sent = harness.end_attempt(&sent, status, FillNote::Hit, 0);
        }
        actions_seen = harness.actions.len();
        harness
            .sent
            .retain(|s| s.in_flight || harness.now < s.sent_at + 10 * S);
    }
    assert_eq!(harness.checker.violations, Vec::<String>::new());
    counts
}

#[test]
fn the_largest_requests_of_a_class_are_served_about_as_often_as_the_others() {
    let scope = KeyScope::All;
    for (conditions, min_ratio) in [
        (Conditions::Normal, 2.0 / 3.0),
        (Conditions::Faults, 0.5),
        (Conditions::Loss, 0.5),
    ] {
        for idempotency in [
            Idempotency::Idempotent,
            Idempotency::Keyed {
                scope,
                window: 800 * MS,
            },
            Idempotency::NotIdempotent,
        ] {
            for (seed, sizes_known) in [(1, false), (2, false), (3, true)] {
                let counts = run(seed, conditions, sizes_known, idempotency);
                let served_ratio =
                    |(requests, served): (u32, u32)| f64::from(served) / f64::from(requests.max(1));
                let total = counts
                    .iter()
                    .fold((0, 0), |sum, c| (sum.0 + c.0, sum.1 + c.1));
                let served_ratios = counts.map(served_ratio);
                assert!(
                    total.0 > 1_000 && served_ratio(total) > 0.5,
                    "{conditions:?}, seed {seed}: {counts:?}"
                );
                assert!(
                    served_ratios[..2].iter().all(|s| *s >= min_ratio * served_ratio(total)),
                    "{conditions:?}, seed {seed}, sizes known: {sizes_known}, {idempotency:?}: {served_ratios:.2?} of {:.2}",
                    served_ratio(total)
                );
            }
        }
    }
}
