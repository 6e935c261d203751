#[test]
fn a_fleet_that_has_others_to_ask_calls_evenly_from_the_first_call_on() {
    let budget = Budget { calls_per_s: 10.0, wait_most: 600_000_000, haste: 0 };
    let mut all = Vec::new();
    for n in 0..300 {
        let mut calls = Calls::new(0, (n, 300), u64::from(n), Some(budget));
        let mut now = calls.first(0, true);
        while now < 60_000_000 {
            all.push(now);
            calls.begin(now);
            now = calls.end(now + 1_000, End::Closed);
        }
    }
    assert!((550..=660).contains(&all.len()), "{} calls in a minute", all.len());
    let second = |from: &Time| all.iter().filter(|at| (*from..from + 1_000_000).contains(at)).count();
    assert!(all.iter().map(second).max() <= Some(16), "{:?}", all.iter().map(second).max());
}

use super::*;

const S: Time = 1_000_000;
const TOLD: Span = 7_500_000;

fn budget() -> Option<Budget> {
    Some(Budget { calls_per_s: 10.0, wait_most: 5_500_000, haste: TOLD })
}

#[test]
fn without_a_budget_a_front_calls_anew_after_a_fifth_of_a_second_whatever_happens() {
    // The platform counts what came about as told as soon as it could have been learned.
    let mut calls = Calls::new(0, (250, 300), 7, None);
    let mut now = 0;
    for n in 0..400u64 {
        let until = calls.begin(now);
        assert!(until <= now + 625_000);
        let ends = [End::Refused, End::Closed, End::Garbage, End::Unanswered, End::Silent];
        if n % 7 == 0 {
            calls.heard(now);
        }
        let next = calls.end(now, ends[(n % 5) as usize]);
        assert!((now..=now + 250_000).contains(&next), "{n}: {} us", next - now);
        now = next + n * 10_000;
    }
}

#[test]
fn calls_are_quick_while_what_was_missed_is_not_taken_for_told_and_rare_afterwards() {
    let mut calls = Calls::new(0, (250, 300), 7, budget());
    let mut now = calls.first(0, false);
    assert!(now <= AGAIN);
    let (mut quick, mut rare) = (Vec::new(), Vec::new());
    while now < 40 * S {
        calls.begin(now);
        let next = calls.end(now, End::Closed);
        if now < TOLD {
            quick.push(next - now)
        } else {
            rare.push(next - now)
        }
        now = next;
    }
    assert!(quick.iter().all(|w| *w <= 625_000) && quick.len() >= 11, "{quick:?}");
    assert!(rare[1..].iter().all(|w| (5_300_000..=5_700_000).contains(w)), "{rare:?}");
}

#[test]
fn a_connection_that_was_well_makes_calls_quick_again_and_one_that_only_opened_does_not() {
    let mut calls = Calls::new(0, (250, 300), 7, budget());
    let failed = |calls: &mut Calls, now: Time| {
        calls.begin(now);
        calls.end(now, End::Refused) - now
    };
    for n in 0..20 {
        failed(&mut calls, n * S);
    }
    // Open for a minute, and not a word.
    calls.begin(20 * S);
    assert!(calls.end(80 * S, End::Closed) - 80 * S > S);
    // A word at its begin: what came about up to then is known, so there is time.
    calls.begin(90 * S);
    calls.heard(90 * S);
    assert!(calls.end(90 * S, End::Closed) - 90 * S > 5 * S);
    // Nothing was heard since: before it is too late for what came about since that word it is quick.
    assert!(failed(&mut calls, 95 * S + S / 2) <= 625_000);
    assert!(failed(&mut calls, 98 * S) > S);
    calls.begin(100 * S);
    (0..30).for_each(|s| calls.heard((100 + s) * S));
    assert!(calls.end(130 * S, End::Silent) - 130 * S <= 250_000);
}

#[test]
fn a_small_fleet_never_waits_long_and_garbage_counts_as_any_failure() {
    let mut calls = Calls::new(0, (1, 3), 1, budget());
    for n in 0..50 {
        calls.begin(n * S);
        let end = if n % 2 == 0 { End::Refused } else { End::Garbage };
        assert!(calls.end(n * S, end) - n * S <= 1_250_000);
    }
}

#[test]
fn a_slow_service_gets_longer_for_each_call_and_no_more_calls_for_it() {
    let mut calls = Calls::new(0, (250, 300), 3, budget());
    let (mut now, mut allowed, mut made) = (0, Vec::new(), Vec::new());
    while now < 60 * S {
        made.push(now);
        let until = calls.begin(now);
        if now >= TOLD + S {
            allowed.push(until - now);
        }
        now = calls.end(until, End::Unanswered);
        assert!(now >= until);
    }
    assert!(allowed.windows(2).take(2).all(|w| w[1] > w[0]), "{allowed:?}");
    assert!(allowed.iter().all(|span| *span <= 3_500_000) && allowed[2] >= 2 * DIAL, "{allowed:?}");
    assert!(made.windows(2).all(|w| w[1] - w[0] <= 5_700_000), "{made:?}");
    // Time in vain is part of the wait: the calls are no rarer for it.
    assert!(made.iter().filter(|at| **at > 12 * S).count() >= 8, "{made:?}");
}
