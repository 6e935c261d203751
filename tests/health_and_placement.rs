//! Health states, failure charging, placement by object and part, and unusual settings and events.
mod common;
use common::*;
use cranesill::api::*;

/// An object that has `parent` first in the rendezvous order of its parents.
fn object_with_first_parent(parent: u64) -> u64 {
    (1..)
        .find(|object| {
            let mut harness = RouterHarness::new(settings(), default_endpoints());
            harness.send_request(new_request(1, *object))[0].source == Some(parent)
        })
        .expect("an object with this parent first")
}

/// A router with one cache, one parent and the origin.
fn single_cache() -> RouterHarness {
    RouterHarness::new(
        settings(),
        vec![entry(10, CACHE), entry(20, PARENT), entry(30, ORIGIN)],
    )
}

/// Sends a request whose attempts all fail to connect, and returns their number.
fn attempts_until_answered(harness: &mut RouterHarness, id: u64) -> usize {
    let mut attempts = 0;
    let mut next = harness.send_request(new_request(id, 5));
    while let Some(attempt) = next.first().cloned() {
        attempts += 1;
        next = harness.end_attempt(&attempt, Status::ConnectFailed, FillNote::None, 0);
    }
    attempts
}

#[test]
fn four_failed_attempts_take_the_only_cache_down() {
    let mut harness = single_cache();
    assert_eq!(attempts_until_answered(&mut harness, 1), 4);
    assert!(
        harness.log.iter().any(|l| l.contains("DOWN after 4")),
        "{:?}",
        harness.log
    );
    // Within the fail window, requests are answered without an attempt.
    harness.advance(4 * S);
    assert_eq!(attempts_until_answered(&mut harness, 2), 0);
    assert!(harness.answers.contains_key(&RequestId(2)));
    // One probe follows, and its failure starts another fail window.
    harness.advance(2 * S);
    assert_eq!(attempts_until_answered(&mut harness, 3), 1);
    harness.advance(4 * S);
    assert_eq!(attempts_until_answered(&mut harness, 4), 0);
    harness.advance(2 * S);
    let probe = harness.send_request(new_request(5, 5)).remove(0);
    harness.serve(&probe);
    assert!(harness.log.last().unwrap().contains("UP again"));
    assert_eq!(harness.checker.violations, Vec::<String>::new());
}

#[test]
fn a_request_moves_to_the_next_parent_and_the_failed_one_is_charged() {
    let mut harness = RouterHarness::new(settings(), default_endpoints());
    let object = object_with_first_parent(20);
    let mut sources = Vec::new();
    let mut next = harness.send_request(new_request(1, object));
    while let Some(attempt) = next.first().cloned() {
        sources.push(attempt.source.unwrap());
        if sources.len() == 4 {
            harness.end_attempt(&attempt, Status::Ok, FillNote::Filled, 10 * MS);
            break;
        }
        next = harness.end_attempt(&attempt, Status::Rejected, FillNote::SourceLost, 0);
    }
    assert_eq!(sources, [20, 20, 20, 21]);
    assert!(
        harness.log.is_empty(),
        "three failures must not take the parent DOWN: {:?}",
        harness.log
    );
    let attempt = harness.send_request(new_request(2, object)).remove(0);
    assert_eq!(attempt.source, Some(20));
    harness.end_attempt(&attempt, Status::Rejected, FillNote::SourceLost, 0);
    assert_eq!(harness.log.len(), 1);
    assert!(
        harness.log[0].contains("Parent 14 DOWN after 4"),
        "{:?}",
        harness.log
    );
    assert_eq!(
        harness.send_request(new_request(3, object))[0].source,
        Some(21)
    );
}

#[test]
fn a_suspect_endpoint_gets_two_probes_and_an_older_attempt_is_not_a_probe() {
    let mut harness = single_cache();
    let older = harness.send_request(new_request(90, 6)).remove(0);
    let mut first = harness.send_request(new_request(1, 5));
    for _ in 0..4 {
        first = harness.end_attempt(&first[0].clone(), Status::Reset, FillNote::None, 0);
    }
    assert!(harness.log.last().unwrap().contains("DOWN"));
    // A success of an attempt that was sent before the endpoint went DOWN is not a probe.
    harness.end_attempt(&older, Status::Ok, FillNote::Hit, 0);
    assert_eq!(harness.send_request(new_request(2, 5)).len(), 0);
    harness.advance(6 * S);
    let probes = [3, 4, 5].map(|id| harness.send_request(new_request(id, 5)).len());
    assert_eq!(probes, [1, 1, 0]);
}

#[test]
fn fills_skip_down_parents_and_use_the_origin_when_none_is_left() {
    let mut harness = RouterHarness::new(settings(), default_endpoints());
    let object = object_with_first_parent(20);
    for id in 1..=8 {
        if let Some(attempt) = harness
            .send_request(new_request(id, object))
            .first()
            .cloned()
        {
            let mut next = vec![attempt];
            while let Some(attempt) = next.first().cloned().filter(|a| a.source != Some(30)) {
                next = harness.end_attempt(&attempt, Status::Rejected, FillNote::SourceLost, 0);
            }
        }
    }
    assert_eq!(
        harness.log.len(),
        2,
        "both parents must be DOWN: {:?}",
        harness.log
    );
    assert_eq!(
        harness.send_request(new_request(20, object))[0].source,
        Some(30)
    );
}

#[test]
fn a_new_start_time_resets_the_health_of_an_endpoint() {
    let mut harness = single_cache();
    attempts_until_answered(&mut harness, 1);
    assert_eq!(harness.send_request(new_request(2, 5)).len(), 0);
    let restarted = EndpointEntry {
        started: harness.now,
        ..entry(10, CACHE)
    };
    harness.notify(Event::Endpoints(ListKind::Delta, vec![restarted]));
    harness.advance(500 * MS);
    assert_eq!(harness.send_request(new_request(3, 5)).len(), 1);
}

#[test]
fn caches_are_chosen_by_part_and_parents_by_object() {
    let mut harness = RouterHarness::new(settings(), default_endpoints());
    let mut targets = std::collections::BTreeSet::new();
    let mut sources = std::collections::BTreeSet::new();
    for part in 0..12 {
        let attempt = harness
            .send_request(Request {
                part,
                ..new_request(u64::from(part) + 1, 5)
            })
            .remove(0);
        targets.insert(attempt.target);
        sources.insert(attempt.source);
        harness.serve(&attempt);
    }
    assert_eq!((targets.len(), sources.len()), (3, 1));
}

#[test]
fn missing_endpoint_kinds_and_invalid_events_are_handled() {
    // Endpoint lists that are empty, contain only the origin, or contain no parents.
    let mut empty = RouterHarness::new(settings(), Vec::new());
    assert!(empty.send_request(new_request(1, 5)).is_empty() && empty.answers.len() == 1);
    let mut with_pass_through = settings();
    with_pass_through.pass_through = true;
    let mut origin = RouterHarness::new(with_pass_through, vec![entry(30, ORIGIN)]);
    assert_eq!(origin.send_request(new_request(1, 5))[0].target, 30);
    let mut without_parents = settings();
    without_parents.parent_kind = None;
    let mut no_parents =
        RouterHarness::new(without_parents, vec![entry(10, CACHE), entry(30, ORIGIN)]);
    let attempt = no_parents
        .send_request(Request {
            size_kb: 0.0,
            ..new_request(1, 5)
        })
        .remove(0);
    assert_eq!((attempt.target, attempt.source), (10, Some(30)));
    // Requests of an unknown class are answered immediately, and unknown timers ignored. A failed list causes a new
    // subscription.
    let mut harness = RouterHarness::new(settings(), default_endpoints());
    harness.send_request(Request {
        class: 9,
        ..new_request(1, 5)
    });
    assert!(harness.answers.contains_key(&RequestId(1)));
    assert!(harness.notify(Event::Timer(77 << 8)).is_empty());
    assert!(harness
        .notify(Event::Endpoints(ListKind::Failed, Vec::new()))
        .is_empty());
    assert_eq!(harness.actions.last(), Some(&Action::Subscribe));
    // Where a subscription is required, it is made once, with the first list.
    let mut subscribing = settings();
    subscribing.must_subscribe = true;
    let mut subscribed = RouterHarness::new(subscribing, default_endpoints());
    subscribed.notify(Event::Endpoints(ListKind::Delta, default_endpoints()));
    assert_eq!(subscribed.actions, [Action::Subscribe]);
}

#[test]
fn state_stays_bounded_with_removed_endpoints_and_other_zones() {
    // Replaced endpoints have new ids, with hundreds in one delta.
    let mut harness = RouterHarness::new(settings(), default_endpoints());
    let initial_size = format!("{:?}", harness.router).len();
    for round in 0..50u64 {
        let other_zone = (0..300).map(|n| EndpointEntry {
            zone: 1,
            ..entry(10_000 + round * 1000 + n, CACHE)
        });
        let same_zone = (0..20).map(|n| entry(1_000_000 + round * 100 + n, CACHE));
        let all: Vec<_> = other_zone.chain(same_zone).collect();
        harness.notify(Event::Endpoints(ListKind::Delta, all.clone()));
        let removed = all
            .into_iter()
            .map(|e| EndpointEntry {
                state: EndpointState::Removed,
                ..e
            })
            .collect();
        harness.notify(Event::Endpoints(ListKind::Delta, removed));
    }
    let final_size = format!("{:?}", harness.router).len();
    assert!(
        final_size < initial_size * 6,
        "state grew from {initial_size} to {final_size} bytes of debug output"
    );
    assert!([10, 11, 12].contains(&harness.send_request(new_request(1, 5))[0].target));
}
