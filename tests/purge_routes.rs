//! Age limits after a purge: every route of an attempt to a cache or a parent excludes copies from before it.
mod common;
use common::*;
use cranesill::api::*;
use std::collections::BTreeSet;

const PURGED_GROUP: u32 = 7;
const ORIGIN_ID: u64 = 30;
const CACHE_IDS: [u64; 3] = [10, 11, 12];
/// Ages of a purge when the front is notified of it.
const PURGE_AGES: [Micros; 3] = [0, 370 * MS, 4 * S];

/// Kind of route of an attempt: its target, and where a miss is filled from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RouteKind {
    CacheFilledByParent,
    CacheFilledByOrigin,
    CacheWithoutFill,
    ParentFilledByOrigin,
    ParentWithoutFill,
    Origin,
}

fn route_kind(sent: &SentAttempt) -> RouteKind {
    let source = sent.source.filter(|source| *source != sent.target);
    match (sent.target, source) {
        (10..=19, None) => RouteKind::CacheWithoutFill,
        (10..=19, Some(20..=29)) => RouteKind::CacheFilledByParent,
        (10..=19, Some(_)) => RouteKind::CacheFilledByOrigin,
        (20..=29, None) => RouteKind::ParentWithoutFill,
        (20..=29, Some(_)) => RouteKind::ParentFilledByOrigin,
        _ => RouteKind::Origin,
    }
}

/// How an endpoint becomes unavailable to the front.
#[derive(Clone, Copy, Debug)]
enum Outage {
    Cordoned,
    Draining,
    Removed,
}

const OUTAGES: [Outage; 3] = [Outage::Cordoned, Outage::Draining, Outage::Removed];

fn exclude(harness: &mut RouterHarness, outage: Outage, id: u64, kind: u8) {
    let with_state = |state| {
        let changed = EndpointEntry {
            state,
            ..entry(id, kind)
        };
        Event::Endpoints(ListKind::Delta, vec![changed])
    };
    harness.notify(match outage {
        Outage::Cordoned => Event::Cordon {
            endpoint: EndpointId(id),
            cordoned: true,
        },
        Outage::Draining => with_state(EndpointState::Draining),
        Outage::Removed => with_state(EndpointState::Removed),
    });
}

fn exclude_caches(harness: &mut RouterHarness, outage: Outage) {
    for id in CACHE_IDS {
        exclude(harness, outage, id, CACHE);
    }
}

/// The default endpoints, with little capacity at those of one kind.
fn endpoints_with_few_slots(kind: u8) -> Vec<EndpointEntry> {
    let mut endpoints = default_endpoints();
    for endpoint in endpoints.iter_mut().filter(|one| one.kind == kind) {
        endpoint.weight = 2.0;
    }
    endpoints
}

/// A front that may bypass caches; `small` is the kind of the endpoints that are soon full.
fn harness(small: u8, grace: Micros) -> RouterHarness {
    let mut settings = Settings {
        pass_through: true,
        hedging: false,
        ..settings()
    };
    settings.classes[0].freshness_lifetime = grace;
    settings.classes[0].grace = grace;
    RouterHarness::new(settings, endpoints_with_few_slots(small))
}

fn purge_group(harness: &mut RouterHarness, age: Micros) {
    harness.notify(Event::Purged {
        object: None,
        group: PURGED_GROUP,
        age,
    });
}

/// Sends requests for purged objects, answers none of them, and returns the attempts.
fn request_purged(harness: &mut RouterHarness, ids: std::ops::Range<u64>) -> Vec<SentAttempt> {
    let purged = |id| Request {
        group: PURGED_GROUP,
        ..new_request(id, id)
    };
    ids.flat_map(|id| harness.send_request(purged(id)))
        .collect()
}

fn kinds(sent: &[SentAttempt]) -> BTreeSet<RouteKind> {
    sent.iter().map(route_kind).collect()
}

// Guards against purged copies from a parent that is asked directly while no origin is ready: such an attempt carried no
// age limit.
#[test]
fn a_parent_without_an_origin_is_asked_for_no_copy_from_before_a_purge() {
    for outage in OUTAGES {
        for age in PURGE_AGES {
            // The caches are full, or none of them is usable.
            for caches_usable in [true, false] {
                let mut harness = harness(CACHE, 0);
                exclude(&mut harness, outage, ORIGIN_ID, ORIGIN);
                if !caches_usable {
                    exclude_caches(&mut harness, outage);
                }
                purge_group(&mut harness, age);
                let sent = request_purged(&mut harness, 1..60);
                let case = format!("{outage:?}, purge {age} us ago, caches {caches_usable}");
                assert!(
                    kinds(&sent).contains(&RouteKind::ParentWithoutFill),
                    "{case}: {:?}",
                    kinds(&sent)
                );
                assert_eq!(harness.checker.violations, Vec::<String>::new(), "{case}");
            }
        }
    }
}

// Guards against an age limit that some route drops: it belongs to the request.
#[test]
fn every_route_excludes_copies_from_before_a_purge_at_first_and_after_a_failed_attempt() {
    let absent: [&[u64]; 5] = [
        &[],
        &[ORIGIN_ID],
        &[20, 21],
        &CACHE_IDS,
        &[10, 11, 12, ORIGIN_ID],
    ];
    let mut routes = BTreeSet::new();
    for (small, grace) in [(CACHE, 0), (CACHE, 8 * S), (PARENT, 0), (PARENT, 8 * S)] {
        for absent in absent {
            let mut harness = harness(small, grace);
            for id in absent {
                let kind = [CACHE, PARENT, ORIGIN][*id as usize / 10 - 1];
                exclude(&mut harness, Outage::Cordoned, *id, kind);
            }
            purge_group(&mut harness, 370 * MS);
            let mut sent = Vec::new();
            for id in 1..100 {
                sent.extend(request_purged(&mut harness, id..id + 1));
                // With many purged requests the caches would not be checked without a fill.
                for other in 1..=4 {
                    harness.send_request(new_request(1_000 * other + id, 1_000 * other + id));
                }
            }
            for (n, attempt) in sent.clone().iter().enumerate() {
                let status = [Status::Miss, Status::Rejected, Status::Reset][n % 3];
                sent.extend(harness.end_attempt(attempt, status, FillNote::None, 0));
            }
            sent.retain(|attempt| attempt.request.0 < 1_000);
            routes.extend(kinds(&sent));
            assert_eq!(
                harness.checker.violations,
                Vec::<String>::new(),
                "without {absent:?}"
            );
        }
    }
    assert_eq!(routes.len(), 6, "{routes:?}");
}

// Guards against a request that uses up its attempts, and is rejected, at a parent that cannot fill its miss.
#[test]
fn a_parent_that_cannot_fill_its_miss_gets_one_attempt_of_a_request() {
    for caches_usable in [true, false] {
        let mut harness = harness(CACHE, 0);
        exclude(&mut harness, Outage::Cordoned, ORIGIN_ID, ORIGIN);
        if !caches_usable {
            exclude_caches(&mut harness, Outage::Cordoned);
        }
        let sent = request_purged(&mut harness, 1..60);
        let direct = sent
            .iter()
            .find(|sent| route_kind(sent) == RouteKind::ParentWithoutFill);
        let direct = direct.expect("an attempt directly at a parent").clone();
        let next = harness.end_attempt(&direct, Status::Miss, FillNote::SourceMiss, 0);
        assert!(next.iter().all(|sent| sent.request != direct.request));
        let answered = harness.answers.contains_key(&direct.request);
        assert_eq!(
            answered, !caches_usable,
            "waits for a cache if there is one"
        );
        if !caches_usable {
            continue;
        }
        let at_cache = sent.iter().find(|sent| sent.target < 20).unwrap();
        harness.serve(at_cache);
        let filled = harness
            .attempts_in_flight()
            .into_iter()
            .find(|sent| sent.request == direct.request);
        let filled = filled.map(|sent| route_kind(&sent));
        assert_eq!(filled, Some(RouteKind::CacheFilledByParent));
    }
}
