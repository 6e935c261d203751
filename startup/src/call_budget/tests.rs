use super::*;

const SECOND: Timestamp = 1_000_000;
const URGENT_PERIOD: Micros = 7_500_000;

fn budget() -> Option<CallBudget> {
    Some(CallBudget {
        calls_per_s: 10.0,
        max_wait: 5_500_000,
        urgent_period: URGENT_PERIOD,
    })
}

#[test]
fn calls_of_a_fleet_with_peers_are_spread_from_the_first_call() {
    let budget = CallBudget {
        calls_per_s: 10.0,
        max_wait: 600_000_000,
        urgent_period: 0,
    };
    let mut calls_made = Vec::new();
    for n in 0..300 {
        let mut calls = CallSchedule::new(
            0,
            FleetPosition {
                number: n,
                fronts: 300,
            },
            u64::from(n),
            Some(budget),
        );
        let mut now = calls.first_call(0, true);
        while now < 60_000_000 {
            calls_made.push(now);
            calls.start_call(now);
            now = calls.end_call(now + 1_000, CallEnd::Closed);
        }
    }
    assert!(
        (550..=660).contains(&calls_made.len()),
        "{} calls in a minute",
        calls_made.len()
    );
    let calls_within_second = |from: &Timestamp| {
        calls_made
            .iter()
            .filter(|at| (*from..from + 1_000_000).contains(at))
            .count()
    };
    assert!(
        calls_made.iter().map(calls_within_second).max() <= Some(16),
        "{:?}",
        calls_made.iter().map(calls_within_second).max()
    );
}

#[test]
fn without_a_budget_every_failed_call_is_retried_within_250_ms() {
    // Without a budget, fronts must receive changes as soon as the service is reachable.
    let mut calls = CallSchedule::new(
        0,
        FleetPosition {
            number: 250,
            fronts: 300,
        },
        7,
        None,
    );
    let mut now = 0;
    for n in 0..400u64 {
        let until = calls.start_call(now);
        assert!(until <= now + 625_000);
        let ends = [
            CallEnd::Refused,
            CallEnd::Closed,
            CallEnd::Malformed,
            CallEnd::Unanswered,
            CallEnd::Silent,
        ];
        if n % 7 == 0 {
            calls.record_message(now);
        }
        let next = calls.end_call(now, ends[(n % 5) as usize]);
        assert!(
            (now..=now + 250_000).contains(&next),
            "{n}: {} us",
            next - now
        );
        now = next + n * 10_000;
    }
}

#[test]
fn calls_are_frequent_in_the_urgent_period_and_use_the_budgeted_interval_afterwards() {
    let mut calls = CallSchedule::new(
        0,
        FleetPosition {
            number: 250,
            fronts: 300,
        },
        7,
        budget(),
    );
    let mut now = calls.first_call(0, false);
    assert!(now <= RETRY_INTERVAL);
    let (mut urgent_waits, mut later_waits) = (Vec::new(), Vec::new());
    while now < 40 * SECOND {
        calls.start_call(now);
        let next = calls.end_call(now, CallEnd::Closed);
        if now < URGENT_PERIOD {
            urgent_waits.push(next - now)
        } else {
            later_waits.push(next - now)
        }
        now = next;
    }
    assert!(
        urgent_waits.iter().all(|w| *w <= 625_000) && urgent_waits.len() >= 11,
        "{urgent_waits:?}"
    );
    assert!(
        later_waits[1..]
            .iter()
            .all(|w| (5_300_000..=5_700_000).contains(w)),
        "{later_waits:?}"
    );
}

#[test]
fn only_a_connection_that_delivers_messages_makes_calls_frequent_again() {
    let mut calls = CallSchedule::new(
        0,
        FleetPosition {
            number: 250,
            fronts: 300,
        },
        7,
        budget(),
    );
    let fail_call = |calls: &mut CallSchedule, now: Timestamp| {
        calls.start_call(now);
        calls.end_call(now, CallEnd::Refused) - now
    };
    for n in 0..20 {
        fail_call(&mut calls, n * SECOND);
    }
    // A connection that was open for a minute without a message is not healthy.
    calls.start_call(20 * SECOND);
    assert!(calls.end_call(80 * SECOND, CallEnd::Closed) - 80 * SECOND > SECOND);
    // All changes up to that message are known, so the next call is not urgent.
    calls.start_call(90 * SECOND);
    calls.record_message(90 * SECOND);
    assert!(calls.end_call(90 * SECOND, CallEnd::Closed) - 90 * SECOND > 5 * SECOND);
    // Calls are frequent until the urgent period after the last message has passed.
    assert!(fail_call(&mut calls, 95 * SECOND + SECOND / 2) <= 625_000);
    assert!(fail_call(&mut calls, 98 * SECOND) > SECOND);
    calls.start_call(100 * SECOND);
    (0..30).for_each(|s| calls.record_message((100 + s) * SECOND));
    assert!(calls.end_call(130 * SECOND, CallEnd::Silent) - 130 * SECOND <= 250_000);
}

#[test]
fn a_small_fleet_waits_at_most_the_minimum_interval_after_any_failure() {
    let mut calls = CallSchedule::new(
        0,
        FleetPosition {
            number: 1,
            fronts: 3,
        },
        1,
        budget(),
    );
    for n in 0..50 {
        calls.start_call(n * SECOND);
        let end = if n % 2 == 0 {
            CallEnd::Refused
        } else {
            CallEnd::Malformed
        };
        assert!(calls.end_call(n * SECOND, end) - n * SECOND <= 1_250_000);
    }
}

#[test]
fn the_connect_timeout_grows_with_unanswered_calls_without_reducing_their_rate() {
    let mut calls = CallSchedule::new(
        0,
        FleetPosition {
            number: 250,
            fronts: 300,
        },
        3,
        budget(),
    );
    let (mut now, mut timeouts, mut calls_made) = (0, Vec::new(), Vec::new());
    while now < 60 * SECOND {
        calls_made.push(now);
        let until = calls.start_call(now);
        if now >= URGENT_PERIOD + SECOND {
            timeouts.push(until - now);
        }
        now = calls.end_call(until, CallEnd::Unanswered);
        assert!(now >= until);
    }
    assert!(
        timeouts.windows(2).take(2).all(|w| w[1] > w[0]),
        "{timeouts:?}"
    );
    assert!(
        timeouts.iter().all(|timeout| *timeout <= 3_500_000)
            && timeouts[2] >= 2 * INITIAL_CONNECT_TIMEOUT,
        "{timeouts:?}"
    );
    assert!(
        calls_made.windows(2).all(|w| w[1] - w[0] <= 5_700_000),
        "{calls_made:?}"
    );
    // Time spent on unanswered calls counts towards the wait, so longer timeouts do not reduce the call rate.
    assert!(
        calls_made.iter().filter(|at| **at > 12 * SECOND).count() >= 8,
        "{calls_made:?}"
    );
}
