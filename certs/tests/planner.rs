//! Randomized tests of the planner: the order limit is kept, and every name is renewed in time if the authority is available
//! for some hours in each part of the lifetime.
mod common;
use common::{planner_settings, ranking, DAY, HOUR, START};
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

fn failure(cause: Cause, name: &str, retry_after: Option<u64>) -> Failure {
    let refused = if cause == Cause::Refused {
        vec![name.to_string()]
    } else {
        vec![]
    };
    Failure {
        cause,
        refused,
        retry_after: retry_after.map(|s| s * SECOND),
        text: "simulated".into(),
        resumable: false,
    }
}

/// Runs a planner for `span` seconds against an authority with random results, which is reachable while `is_available`
/// returns true.
fn run_planner(
    seed: u64,
    planner_settings: PlannerSettings,
    names: usize,
    lifetime: u64,
    span: u64,
    is_available: impl Fn(u64) -> bool,
    mut check: impl FnMut(u64, &BTreeMap<String, Validity>, &VecDeque<Timestamp>),
) {
    let mut rng = Rng(seed);
    let mut planner = Planner::new(
        planner_settings,
        Box::new(ranking("n1", &["n1", "n2", "n3"])),
    );
    let mut now = SECOND;
    let at = |now: Timestamp| Clocks {
        now,
        wall: START + now / SECOND,
    };
    let all: Vec<_> = (0..names).map(|i| vec![format!("n{i}.example")]).collect();
    planner.set_wanted(at(now), &all);
    let (mut certificates, mut recent_orders, mut in_progress) = (
        BTreeMap::new(),
        VecDeque::new(),
        Vec::<(Timestamp, String)>::new(),
    );
    while now < span * SECOND {
        let clocks = at(now);
        while let Some(planned) = planner.next(clocks) {
            recent_orders.push_back(now);
            in_progress.push((now + (1 + rng.below(90)) * SECOND, planned.id));
        }
        assert!(
            in_progress.len() <= planner_settings.max_concurrent_orders,
            "seed {seed}"
        );
        while recent_orders
            .front()
            .is_some_and(|t| now >= t + planner_settings.order_window)
        {
            recent_orders.pop_front();
        }
        assert!(
            recent_orders.len() <= planner_settings.max_orders,
            "seed {seed}: {} orders in a window",
            recent_orders.len()
        );
        check(clocks.wall, &certificates, &recent_orders);
        let done: Vec<_> = in_progress
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, id)| id.clone())
            .collect();
        in_progress.retain(|(at, _)| *at > now);
        for id in done {
            let outcome = rng.below(20);
            if !is_available(clocks.wall - START) {
                let retry_after = (outcome < 3).then_some(outcome * 600);
                planner.failed(clocks, &id, &failure(Cause::Unreachable, &id, retry_after));
            } else if outcome == 0 {
                planner.failed(clocks, &id, &failure(Cause::BadResponse, &id, None));
            } else if outcome == 1 {
                planner.failed(
                    clocks,
                    &id,
                    &failure(Cause::RateLimited, &id, Some(rng.below(1_800))),
                );
            } else {
                let new = Validity {
                    not_before: clocks.wall - 60,
                    not_after: clocks.wall + lifetime,
                };
                planner.succeeded(clocks, &id, new, std::slice::from_ref(&id));
                certificates.insert(id, new);
            }
        }
        let next = planner.next_wakeup(at(now)).unwrap_or(now + HOUR * SECOND);
        let next_completion = in_progress
            .iter()
            .map(|(at, _)| *at)
            .min()
            .unwrap_or(Timestamp::MAX);
        now = next
            .max(now + SECOND / 2)
            .min(next_completion.max(now + 1))
            .min(now + HOUR * SECOND);
    }
}

#[test]
fn orders_stay_within_the_limit_and_all_names_are_renewed_despite_outages() {
    for seed in 0..60 {
        let lifetime = [6 * DAY, 10 * DAY, 90 * DAY][seed as usize % 3];
        let planner_settings = PlannerSettings {
            max_orders: 40,
            max_concurrent_orders: 1 + seed as usize % 4,
            ..planner_settings()
        };
        // Available for eight hours in each tenth of a lifetime, at an offset that depends on the seed.
        let period = lifetime / 10;
        let from = (seed * 7_919) % (period - 8 * HOUR);
        let is_available = |t: u64| (from..from + 8 * HOUR).contains(&(t % period));
        let names = 60;
        run_planner(
            seed,
            planner_settings,
            names,
            lifetime,
            3 * lifetime,
            is_available,
            |wall, certificates, _| {
                if wall > START + lifetime / 2 {
                    assert_eq!(certificates.len(), names, "seed {seed}");
                    let over = certificates.iter().find(|(_, h)| h.not_after < wall);
                    assert!(over.is_none(), "seed {seed}: {over:?} at {wall}");
                }
            },
        );
    }
}

#[test]
fn orders_to_a_failing_authority_back_off() {
    for seed in 0..20 {
        let mut orders = 0;
        let mut last = 0;
        run_planner(
            seed,
            PlannerSettings {
                max_orders: 500,
                ..planner_settings()
            },
            300,
            90 * DAY,
            10 * DAY,
            |_| false,
            |_, _, recent_orders| {
                if recent_orders.back().is_some_and(|t| *t != last) {
                    last = *recent_orders.back().unwrap();
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
fn ten_thousand_names_are_renewed() {
    let rule = Rule {
        renew_percent: 67,
        jitter_percent: 20,
    };
    let planner_settings = PlannerSettings {
        rule,
        max_orders: 100_000,
        ..planner_settings()
    };
    let mut planner = Planner::new(planner_settings, Box::new(ranking("n1", &["n1"])));
    let at = |wall: u64| Clocks {
        now: (wall - START + 1) * SECOND,
        wall,
    };
    let ids: Vec<_> = (0..10_000).map(|i| format!("n{i}.example")).collect();
    planner.set_wanted(
        at(START),
        &ids.iter().map(|id| vec![id.clone()]).collect::<Vec<_>>(),
    );
    let validity = Validity {
        not_before: START,
        not_after: START + 90 * DAY,
    };
    ids.iter()
        .for_each(|id| planner.set_certificate(at(START), id, validity, std::slice::from_ref(id)));
    let (mut wall, mut renewed) = (START, 0);
    while wall < START + 62 * DAY {
        wall += 60;
        while let Some(planned) = planner.next(at(wall)) {
            let new = Validity {
                not_before: wall,
                not_after: wall + 90 * DAY,
            };
            planner.succeeded(at(wall), &planned.id, new, &planned.names);
            renewed += 1;
        }
    }
    assert_eq!(renewed, 10_000);
}
