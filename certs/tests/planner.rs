//! Properties of the planner, over seeds: never more orders than allowed, and every name renewed in time as long as
//! the authority works for some hours in each lifetime.
mod common;
use common::{plan, ranked, DAY, HOUR, START};
use cranesill_certs::error::Failure;
use cranesill_certs::planner::{Planner, PlannerSettings};
use cranesill_certs::renewal::{Rule, Validity};
use cranesill_certs::retry::Cause;
use cranesill_certs::{Clocks, Timestamp, SECOND};
use std::collections::{BTreeMap, VecDeque};

struct Rng(u64);

impl Rng {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (self.0 >> 33) % n.max(1)
    }
}

fn failure(cause: Cause, name: &str, told: Option<u64>) -> Failure {
    let refused = if cause == Cause::Refused {
        vec![name.to_string()]
    } else {
        vec![]
    };
    Failure {
        cause,
        refused,
        told: told.map(|s| s * SECOND),
        text: "played".into(),
        keeps_order: false,
    }
}

/// Plays a planner for a span against an authority that answers by random numbers; `works` says when it does at all.
fn play(
    seed: u64,
    plan: PlannerSettings,
    names: usize,
    lifetime: u64,
    span: u64,
    works: impl Fn(u64) -> bool,
    mut check: impl FnMut(u64, &BTreeMap<String, Validity>, &VecDeque<Timestamp>),
) {
    let mut rng = Rng(seed);
    let mut planner = Planner::new(plan, Box::new(ranked("n1", &["n1", "n2", "n3"])));
    let mut now = SECOND;
    let at = |now: Timestamp| Clocks {
        now,
        wall: START + now / SECOND,
    };
    let all: Vec<_> = (0..names).map(|i| vec![format!("n{i}.example")]).collect();
    planner.want(at(now), &all);
    let (mut held, mut begun, mut busy) = (
        BTreeMap::new(),
        VecDeque::new(),
        Vec::<(Timestamp, String)>::new(),
    );
    while now < span * SECOND {
        let clocks = at(now);
        while let Some(choice) = planner.next(clocks) {
            begun.push_back(now);
            busy.push((now + (1 + rng.below(90)) * SECOND, choice.id));
        }
        assert!(busy.len() <= plan.max_concurrent_orders, "seed {seed}");
        while begun.front().is_some_and(|t| now >= t + plan.order_window) {
            begun.pop_front();
        }
        assert!(
            begun.len() <= plan.max_orders,
            "seed {seed}: {} orders in a window",
            begun.len()
        );
        check(clocks.wall, &held, &begun);
        let done: Vec<_> = busy
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, id)| id.clone())
            .collect();
        busy.retain(|(at, _)| *at > now);
        for id in done {
            let fate = rng.below(20);
            if !works(clocks.wall - START) {
                let told = (fate < 3).then_some(fate * 600);
                planner.failed(clocks, &id, &failure(Cause::Unreachable, &id, told));
            } else if fate == 0 {
                planner.failed(clocks, &id, &failure(Cause::Broken, &id, None));
            } else if fate == 1 {
                planner.failed(
                    clocks,
                    &id,
                    &failure(Cause::Limited, &id, Some(rng.below(1_800))),
                );
            } else {
                let new = Validity {
                    not_before: clocks.wall - 60,
                    not_after: clocks.wall + lifetime,
                };
                planner.succeeded(clocks, &id, new, std::slice::from_ref(&id));
                held.insert(id, new);
            }
        }
        let next = planner.wake(at(now)).unwrap_or(now + HOUR * SECOND);
        let busy_next = busy
            .iter()
            .map(|(at, _)| *at)
            .min()
            .unwrap_or(Timestamp::MAX);
        now = next
            .max(now + SECOND / 2)
            .min(busy_next.max(now + 1))
            .min(now + HOUR * SECOND);
    }
}

#[test]
fn never_more_orders_than_allowed_and_all_renewed_while_the_authority_works_for_some_hours() {
    for seed in 0..60 {
        let lifetime = [6 * DAY, 10 * DAY, 90 * DAY][seed as usize % 3];
        let plan = PlannerSettings {
            max_orders: 40,
            max_concurrent_orders: 1 + seed as usize % 4,
            ..plan()
        };
        // It works for eight hours in each tenth of a lifetime, at a time that depends on the seed.
        let period = lifetime / 10;
        let from = (seed * 7_919) % (period - 8 * HOUR);
        let works = |t: u64| (from..from + 8 * HOUR).contains(&(t % period));
        let names = 60;
        play(
            seed,
            plan,
            names,
            lifetime,
            3 * lifetime,
            works,
            |wall, held, _| {
                if wall > START + lifetime / 2 {
                    assert_eq!(held.len(), names, "seed {seed}");
                    let over = held.iter().find(|(_, h)| h.not_after < wall);
                    assert!(over.is_none(), "seed {seed}: {over:?} at {wall}");
                }
            },
        );
    }
}

#[test]
fn an_authority_that_never_works_is_asked_less_and_less() {
    for seed in 0..20 {
        let mut orders = 0;
        let mut last = 0;
        play(
            seed,
            PlannerSettings {
                max_orders: 500,
                ..plan()
            },
            300,
            90 * DAY,
            10 * DAY,
            |_| false,
            |_, _, begun| {
                if begun.back().is_some_and(|t| *t != last) {
                    last = *begun.back().unwrap();
                    orders += 1;
                }
            },
        );
        assert!(
            (10..=600).contains(&orders),
            "seed {seed}: {orders} orders in ten days for 300 names"
        );
    }
}

#[test]
fn ten_thousand_names_are_planned_without_a_scan_over_all() {
    let rule = Rule {
        renew_percent: 67,
        jitter_percent: 20,
    };
    let plan = PlannerSettings {
        rule,
        max_orders: 100_000,
        ..plan()
    };
    let mut planner = Planner::new(plan, Box::new(ranked("n1", &["n1"])));
    let at = |wall: u64| Clocks {
        now: (wall - START + 1) * SECOND,
        wall,
    };
    let ids: Vec<_> = (0..10_000).map(|i| format!("n{i}.example")).collect();
    planner.want(
        at(START),
        &ids.iter().map(|id| vec![id.clone()]).collect::<Vec<_>>(),
    );
    let held = Validity {
        not_before: START,
        not_after: START + 90 * DAY,
    };
    ids.iter()
        .for_each(|id| planner.set_certificate(at(START), id, held, std::slice::from_ref(id)));
    let (mut wall, mut renewed) = (START, 0);
    while wall < START + 62 * DAY {
        wall += 60;
        while let Some(choice) = planner.next(at(wall)) {
            let new = Validity {
                not_before: wall,
                not_after: wall + 90 * DAY,
            };
            planner.succeeded(at(wall), &choice.id, new, &choice.names);
            renewed += 1;
        }
    }
    assert_eq!(renewed, 10_000);
}
