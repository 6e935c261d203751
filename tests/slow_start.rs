//! Slow-start budgets: each charge is returned exactly once if the attempt did not reach the endpoint.
mod common;
use common::*;
use cranesill::api::*;

const CACHE_ID: u64 = 1;
const PARENT_ID: u64 = 2;
const ORIGIN_ID: u64 = 3;
/// Time in which an empty budget fills up to a burst of a few requests.
const REFILL_TIME: Micros = 200 * MS;

fn started(id: u64, kind: u8, started: Timestamp) -> EndpointEntry {
    EndpointEntry {
        started,
        ..entry(id, kind)
    }
}

/// A router whose cache and parent started at these times, with full budgets.
fn harness(cache_started: Timestamp, parent_started: Timestamp) -> RouterHarness {
    let endpoints = vec![
        started(CACHE_ID, CACHE, cache_started),
        started(PARENT_ID, PARENT, parent_started),
        entry(ORIGIN_ID, ORIGIN),
    ];
    let mut harness = RouterHarness::new(settings(), endpoints);
    harness.advance(REFILL_TIME);
    harness
}

/// Sends requests whose attempts all end with `status` at the same time. Returns how many requests were sent to the cache at once.
fn send_and_end(harness: &mut RouterHarness, requests: u64, status: Status) -> usize {
    harness.shared_failure = true;
    let mut sent_at_once = 0;
    for id in 1..=requests {
        let mut open = harness.send_request(new_request(id, id));
        sent_at_once += usize::from(open.first().is_some_and(|sent| sent.target == CACHE_ID));
        while let Some(attempt) = open.pop() {
            open.extend(harness.end_attempt(&attempt, status, FillNote::None, 0));
        }
    }
    sent_at_once
}

const START: Timestamp = 100 * S;
const REQUESTS: u64 = 40;

#[test]
fn attempts_that_did_not_reach_a_starting_cache_use_none_of_its_budget() {
    for status in [Status::NotSent, Status::ConnectFailed] {
        let sent = send_and_end(&mut harness(START, 0), REQUESTS, status);
        assert_eq!(sent, REQUESTS as usize, "{status:?}");
    }
}

#[test]
fn attempts_that_reached_a_starting_cache_use_its_budget() {
    for status in [Status::Reset, Status::Rejected] {
        let sent = send_and_end(&mut harness(START, 0), REQUESTS, status);
        assert!(0 < sent && sent < 20, "{status:?}: {sent}");
    }
}

#[test]
fn attempts_that_did_not_reach_the_cache_use_no_budget_of_a_starting_source() {
    let mut harness = harness(0, START);
    let sent = send_and_end(&mut harness, REQUESTS, Status::NotSent);
    assert_eq!(sent, REQUESTS as usize);
    let first = |sent: &&SentAttempt| sent.number == 0 && sent.source == Some(PARENT_ID);
    assert_eq!(harness.sent.iter().filter(first).count(), REQUESTS as usize);
}

#[test]
fn a_charge_is_not_returned_to_the_budget_of_a_later_start() {
    let mut harness = harness(START, 0);
    harness.shared_failure = true;
    let sent = harness.send_request(new_request(1, 1));
    let restarted = started(CACHE_ID, CACHE, harness.now);
    harness.notify(Event::Endpoints(ListKind::Delta, vec![restarted]));
    let retries = harness.end_attempt(&sent[0], Status::NotSent, FillNote::None, 0);
    assert!(retries.is_empty(), "{retries:?}");
    // The budget of the new start is usable once it is refilled.
    harness.advance(REFILL_TIME);
    assert!(!harness.send_request(new_request(2, 2)).is_empty());
}
