//! The largest requests of a class are answered about as often as its others: on a quiet day at least two thirds of the class's
//! share, on other days half. Clients don't tell sizes; how long an answer takes shows them only once it is there.
mod common;
use common::*;
use cranesill::api::*;

const STEP: u64 = 10 * MS;
/// How long a client waits.
const WAITS: u64 = 2_500 * MS;

/// How the day is.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Day {
    Quiet,
    /// One attempt in twelve meets a connection that comes up late, some break under requests, and one cache in three takes twice as long.
    Rough,
    /// A cache in three loses four requests of ten.
    Lossy,
}

/// Requests asked and answered in time, by size: the largest tenth, the next fifth, the others.
fn play(seed: u64, day: Day, told: bool, effect: Idempotency) -> [(u32, u32); 3] {
    let classes = vec![
        class(effect, false),
        class(Idempotency::NotIdempotent, true),
    ];
    let settings = Settings {
        hedging: false,
        coalescing: true,
        classes,
        ..settings()
    };
    let connect = settings.connect_timeout;
    let mut harness = RouterHarness::new(settings, default_endpoints());
    let (mut rng, mut counts, mut sizes) =
        (Rng(seed), [(0, 0); 3], std::collections::BTreeMap::new());
    // When attempts end, and how.
    let mut ends: Vec<(Timestamp, Sent, Status)> = Vec::new();
    let (mut next, mut cancelled) = (0, 0);
    for _ in 0..60 * S / STEP {
        let mut begun = harness.advance(STEP);
        if rng.roll(4) == 0 {
            next += 1;
            let (size, takes) = match rng.roll(10) {
                0 => (0, 1_000 * MS + rng.roll(300 * MS)),
                1 | 2 => (1, 400 * MS + rng.roll(200 * MS)),
                _ => (2, 30 * MS + rng.roll(120 * MS)),
            };
            sizes.insert(RequestId(next), (size, takes));
            counts[size].0 += 1;
            let size_kb = if told { takes as f64 / 1_000.0 } else { 0.0 };
            begun.extend(harness.send_request(Request {
                size_kb,
                time_left: WAITS,
                ..new_request(next, rng.roll(3_000))
            }));
        }
        loop {
            for sent in begun.drain(..) {
                let takes = sizes[&sent.request].1;
                let weak = sent.target == 10;
                let late = if day == Day::Rough && rng.roll(12) == 0 {
                    rng.roll(1_500 * MS)
                } else {
                    0
                };
                let (after, status) = match day {
                    Day::Rough if late > connect => (connect, Status::ConnectFailed),
                    Day::Rough if rng.roll(20) == 0 => (late + rng.roll(takes), Status::Reset),
                    Day::Rough if weak => (late + 2 * takes, Status::Ok),
                    Day::Lossy if weak && rng.roll(10) < 4 => continue,
                    _ => (late + takes, Status::Ok),
                };
                ends.push((harness.now + after, sent, status));
            }
            // What is called off ends at once.
            let off = harness.trace[cancelled..].iter().enumerate();
            let off = off.filter_map(|(i, action)| match action {
                Action::Cancel(id, number) => Some((cancelled + i + 1, *id, *number)),
                _ => None,
            });
            let off: Option<(usize, RequestId, u16)> = off.into_iter().next();
            let due = ends.iter().position(|(at, ..)| *at <= harness.now);
            let (sent, status) = match (off, due) {
                (Some((seen, id, number)), _) => {
                    cancelled = seen;
                    let live = harness
                        .live()
                        .into_iter()
                        .find(|s| s.request == id && s.number == number);
                    let Some(sent) = live else { continue };
                    (sent, Status::Cancelled)
                }
                (None, Some(i)) => {
                    let (_, sent, status) = ends.swap_remove(i);
                    (sent, status)
                }
                (None, None) => break,
            };
            if !harness
                .live()
                .iter()
                .any(|s| s.request == sent.request && s.number == sent.number)
            {
                continue;
            }
            if status == Status::Ok && !harness.checker.closed(sent.request) {
                counts[sizes[&sent.request].0].1 += 1;
            }
            begun = harness.end(&sent, status, FillNote::Hit, 0);
        }
        cancelled = harness.trace.len();
        harness
            .sent
            .retain(|s| s.live || harness.now < s.at + 10 * S);
    }
    assert_eq!(harness.checker.violations, Vec::<String>::new());
    counts
}

#[test]
fn the_largest_requests_of_a_class_are_served_about_as_often_as_the_others() {
    let group = KeyScope::All;
    for (day, least) in [
        (Day::Quiet, 2.0 / 3.0),
        (Day::Rough, 0.5),
        (Day::Lossy, 0.5),
    ] {
        for effect in [
            Idempotency::Idempotent,
            Idempotency::Keyed {
                scope: group,
                window: 800 * MS,
            },
            Idempotency::NotIdempotent,
        ] {
            for (seed, told) in [(1, false), (2, false), (3, true)] {
                let counts = play(seed, day, told, effect);
                let share =
                    |(asked, answered): (u32, u32)| f64::from(answered) / f64::from(asked.max(1));
                let all = counts
                    .iter()
                    .fold((0, 0), |sum, c| (sum.0 + c.0, sum.1 + c.1));
                let shares = counts.map(share);
                assert!(
                    all.0 > 1_000 && share(all) > 0.5,
                    "{day:?} seed {seed}: {counts:?}"
                );
                assert!(
                    shares[..2].iter().all(|s| *s >= least * share(all)),
                    "{day:?} seed {seed}, sizes told: {told}, {effect:?}: {shares:.2?} of {:.2}",
                    share(all)
                );
            }
        }
    }
}
