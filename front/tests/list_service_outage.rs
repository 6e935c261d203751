//! Fleets and one list service that fails in several ways; checked by the calls that the service receives.
use cranesill_rig::{Fleet, History, Link, ListService, Observation, ServiceMode, Transmission};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

const S: Duration = Duration::from_secs(1);
/// Maximum calls of a fleet to a failing service, per second and per tenth of a second.
const CALLS_PER_SECOND: usize = 20;
const TENTH_BUDGET: usize = 12;
/// Time after the return of the service within which all fronts are subscribed; the implementation's own bound is 5.7 s.
const RECOVERY_TIMEOUT: Duration = Duration::from_millis(6_500);

fn fleet(count: usize, list: &ListService) -> Fleet {
    let at = list.address;
    fleet_by(count, |_| at)
}

/// Starts a fleet whose processes reach the service at addresses of their own.
fn fleet_by(count: usize, feed: impl Fn(usize) -> SocketAddr) -> Fleet {
    let base: Value = serde_json::from_str(include_str!("../examples/config.json")).unwrap();
    let settings = json!({"startup": {"calls_per_s": 10}});
    Fleet::start(
        Path::new(env!("CARGO_BIN_EXE_cranesill")),
        count,
        Some(&settings),
        |n| {
            let mut config = base.clone();
            config["name"] = format!("n{n}").into();
            config["listen"] = "127.0.0.1:0".into();
            config["feed"] = feed(n).to_string().into();
            config["seed"] = format!("{:x}", 0x51ab_u64 + n as u64).into();
            config["settings"]["nInstances"] = count.into();
            config["settings"]["index"] = n.into();
            config
        },
    )
}

fn call(seen: &Observation) -> bool {
    *seen == Observation::Call
}

fn served(seen: &Observation) -> bool {
    matches!(seen, Observation::Subscribed(_))
}

/// Starts a fleet while the service fails in a mode, then lets the service return.
fn check_outage(mode: ServiceMode, count: usize) {
    let history = History::default();
    let list = ListService::new(&history, mode);
    let mut fleet = fleet(count, &list);
    // Without a listener there are no calls to record.
    let seen = if mode == ServiceMode::Down {
        history.now()
    } else {
        history.wait_for("first calls", count, call)
    };
    std::thread::sleep(13 * S);
    let (from, to) = (seen + 4 * S, history.now());
    let mean = history
        .timestamps(call)
        .iter()
        .filter(|at| (from..to).contains(at))
        .count() as f64
        / (to - from).as_secs_f64();
    let (second, at) = history.max_in_window(from, to, S, call);
    let (tenth, _) = history.max_in_window(from, to, S / 10, call);
    assert!(
        second <= CALLS_PER_SECOND && tenth <= TENTH_BUDGET,
        "{mode:?}: {second} calls in the second from {at:?}, {tenth} in 100 ms, {mean:.1} per second on average"
    );
    if mode != ServiceMode::Down {
        assert!(
            mean > 2.0,
            "{mode:?}: too few calls to notice the return of the service: {mean:.1} per second"
        );
    }
    let back = history.now();
    list.set(ServiceMode::Serve);
    let all = history.wait_for("subscribed fronts", count, served);
    assert!(
        all <= back + RECOVERY_TIMEOUT,
        "{mode:?}: all fronts subscribed {:?} after the return",
        all - back
    );
    assert_eq!(fleet.exited(), []);
}

#[test]
fn closing_service_is_called_within_budget_and_recovers() {
    check_outage(ServiceMode::Close, 40);
}

#[test]
fn silent_service_is_called_within_budget_and_recovers() {
    check_outage(ServiceMode::Silent, 24);
}

#[test]
fn service_sending_invalid_or_truncated_events_is_called_within_budget() {
    check_outage(ServiceMode::Garbage, 16);
    check_outage(ServiceMode::Truncate, 16);
}

#[test]
fn all_fronts_are_served_in_time_after_a_service_outage() {
    check_outage(ServiceMode::Down, 24);
}

#[test]
fn restarting_half_of_the_fleet_costs_one_call_for_each_restarted_front() {
    let history = History::default();
    let list = ListService::new(&history, ServiceMode::Serve);
    let mut fleet = fleet(24, &list);
    history.wait_for("subscribed fronts", 24, served);
    assert_eq!(history.timestamps(call).len(), 24, "one call each");
    let half = || (0..24).step_by(2);
    fleet.kill(half());
    history.wait_for("ended subscriptions", 12, |seen| {
        *seen == Observation::SubscriptionEnded
    });
    fleet.restart(half());
    history.wait_for("subscribed fronts", 36, served);
    // Stop the fleet for longer than the silence timeout; the fronts then read what was sent in the meantime.
    fleet.signal(0..24, libc::SIGSTOP);
    std::thread::sleep(4 * S);
    fleet.signal(0..24, libc::SIGCONT);
    let on = history.now();
    std::thread::sleep(3 * S);
    let calls = history
        .timestamps(call)
        .iter()
        .filter(|at| **at >= on)
        .count();
    assert!(
        calls <= 24,
        "{calls} calls by 24 fronts that were continued together"
    );
    assert!(history.timestamps(call).len() <= 36 + 24);
    assert_eq!(fleet.exited(), []);
    // All fronts are subscribed, with a new connection or without.
    let ended = history
        .timestamps(|seen| *seen == Observation::SubscriptionEnded)
        .len();
    history.wait_for("subscribed fronts", 24 + ended, served);
}

#[test]
fn only_fronts_cut_off_from_the_service_call_it_again_and_within_budget() {
    // Both directions are cut, then only the one from the service; then connections are refused, and finally the link heals.
    let history = History::default();
    let list = ListService::new(&history, ServiceMode::Serve);
    let (working, impaired) = (Link::new(list.address), Link::new(list.address));
    let mut fleet = fleet_by(32, |n| {
        if n % 2 == 0 {
            working.address
        } else {
            impaired.address
        }
    });
    history.wait_for("subscribed fronts", 32, served);
    let all_subscribed = history.now();
    for (there, back) in [
        (Transmission::Cut, Transmission::Cut),
        (Transmission::Pass, Transmission::Cut),
    ] {
        impaired.set(there, back);
        // A front notices the silence after 2.5 s and then calls within the budget.
        std::thread::sleep(9 * S);
    }
    impaired.reset();
    impaired.refuse(true);
    std::thread::sleep(6 * S);
    let (second, at) = history.max_in_window(all_subscribed + 4 * S, history.now(), S, call);
    assert!(
        second <= CALLS_PER_SECOND,
        "{second} calls in the second from {at:?}"
    );
    let before = history.timestamps(served).len();
    let back = history.now();
    impaired.heal();
    let all = history.wait_for("fronts subscribed again", before + 16, served);
    assert!(
        all <= back + RECOVERY_TIMEOUT,
        "all fronts subscribed {:?} after the link healed",
        all - back
    );
    // Fronts that reach the service keep their first connection.
    let left = history
        .timestamps(|seen| *seen == Observation::SubscriptionEnded)
        .len();
    assert_eq!(
        history.timestamps(served).len() - left,
        32,
        "each front should have one connection"
    );
    assert_eq!(
        history
            .timestamps(call)
            .iter()
            .filter(|at| **at < all_subscribed)
            .count(),
        32
    );
    drop(working);
    assert_eq!(fleet.exited(), []);
}

#[test]
fn flapping_service_is_called_within_budget_and_recovers() {
    let history = History::default();
    let list = ListService::new(&history, ServiceMode::Serve);
    let mut fleet = fleet(40, &list);
    history.wait_for("fronts subscribed initially", 40, served);
    // After this time a broken connection counts as a failure of the service.
    std::thread::sleep(3 * S);
    let began = history.now();
    for flap in 0..10 {
        list.set(if flap % 2 == 0 {
            ServiceMode::Close
        } else {
            ServiceMode::Serve
        });
        std::thread::sleep(S);
    }
    let (from, to) = (began + S, history.now());
    let calls = history
        .timestamps(call)
        .into_iter()
        .filter(|at| (from..to).contains(at))
        .count();
    let (second, at) = history.max_in_window(from, to, S, call);
    let (tenth, _) = history.max_in_window(from, to, S / 10, call);
    let mean = calls as f64 / (to - from).as_secs_f64();
    // Each short subscription restarts a front's call schedule, so a second may have more calls than with a lasting failure; the
    // mean still follows the budget of ten.
    assert!(
        mean <= 14.0 && second <= 3 * CALLS_PER_SECOND / 2 && tenth <= TENTH_BUDGET,
        "{mean:.1} calls per second on average, {second} calls in the second from {at:?}, {tenth} in 100 ms"
    );
    assert!(mean >= 4.0, "only {mean:.1} calls per second");
    list.set(ServiceMode::Serve);
    let back = history.now();
    // Subscriptions and their ends are recorded for all fronts.
    let subscribed =
        || history.count(served) - history.count(|seen| *seen == Observation::SubscriptionEnded);
    while subscribed() < 40 {
        assert!(
            history.now() <= back + RECOVERY_TIMEOUT,
            "{} of 40 fronts subscribed",
            subscribed()
        );
        std::thread::sleep(S / 100);
    }
    assert_eq!(fleet.exited(), []);
}
