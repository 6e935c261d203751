use super::purge_matcher::MAX_UNCOMPILED_PATTERNS;
use super::*;
use crate::{request_key, Purge, PurgeTarget};

fn request<'a>(
    object: u64,
    group: u32,
    tags: Option<&'a [u64]>,
    key: &'a str,
) -> RequestAttributes<'a> {
    RequestAttributes {
        object,
        group,
        tags,
        key,
    }
}

fn purge(number: PurgeNumber, at_ms: UnixMillis, target: PurgeTarget) -> Purge {
    Purge {
        number,
        at_ms,
        target,
        id: number.to_string().into(),
        who: "".into(),
        why: "".into(),
    }
}

#[test]
fn an_object_with_unknown_tags_matches_every_tag_purge() {
    let (mut index, mut matcher) = (TagIndex::new(1 << 16), PurgeMatcher::default());
    index.record(1, Some(&["vitara", "blue"]));
    index.record(2, Some(&[]));
    index.record(3, Some(&["a", "b", "c", "d", "e"]));
    matcher.add(&purge(1, 500, PurgeTarget::Tag("vitara".into())), 0);
    let floor = |index: &TagIndex, object| {
        matcher.floor(
            0,
            &request(object, 0, index.tags(object), &request_key("v", object, 0)),
        )
    };
    assert_eq!([1, 2, 3, 4].map(|o| floor(&index, o)), [500, 0, 500, 500]);
    // A new version of the object no longer carries the tag.
    index.record(1, Some(&["blue"]));
    assert_eq!(floor(&index, 1), 0);
    index.record(1, None);
    assert_eq!(
        floor(&index, 1),
        0,
        "a reply without a tag list leaves the index unchanged"
    );
    assert_eq!(
        index.count("blue"),
        TagCounts {
            known_objects: 3,
            tagged_objects: 1
        }
    );
}

#[test]
fn the_index_has_a_fixed_size_and_replaced_objects_become_unknown() {
    let mut index = TagIndex::new(1 << 16);
    let before = index.slots.len();
    (0..100_000).for_each(|o| index.record(o, Some(&["t"])));
    assert_eq!(index.slots.len(), before);
    let known = (0..100_000).filter(|o| index.tags(*o).is_some()).count();
    assert!(known <= before && known > before / 2, "{known} of {before}");
    assert!(
        (99_990..100_000).all(|o| index.tags(o).is_some()),
        "recently recorded objects are known"
    );
}

#[test]
fn the_floor_is_the_latest_unconfirmed_matching_purge() {
    let mut matcher = PurgeMatcher::default();
    matcher.add(&purge(1, 100, PurgeTarget::Object(7)), 5);
    matcher.add(&purge(2, 200, PurgeTarget::Group(3)), 5);
    matcher.add(
        &purge(
            3,
            300,
            PurgeTarget::Pattern("car-*/00000000000000*/*".into()),
        ),
        5,
    );
    let floor = |after, object, group, class: &str| {
        matcher.floor(
            after,
            &request(object, group, Some(&[]), &request_key(class, object, 0)),
        )
    };
    assert_eq!(floor(0, 7, 0, "page"), 105);
    assert_eq!(floor(0, 7, 3, "page"), 205);
    assert_eq!(floor(0, 7, 3, "car-video"), 305);
    assert_eq!(floor(3, 7, 3, "car-video"), 0);
    assert_eq!(floor(2, 7, 3, "car-video"), 305);
    assert_eq!(floor(0, 8, 0, "page"), 0);
    matcher.expire(206);
    assert_eq!(
        (matcher.live_purges(), floor_of(&matcher)),
        (
            LivePurges {
                patterns: 1,
                ..LivePurges::default()
            },
            305
        )
    );
    matcher.expire(306);
    assert!(matcher.is_empty());
}

fn floor_of(matcher: &PurgeMatcher) -> UnixMillis {
    matcher.floor(
        0,
        &request(7, 3, Some(&[]), &request_key("car-video", 7, 0)),
    )
}

#[test]
fn a_purge_without_a_number_applies_whatever_nodes_have_confirmed() {
    let mut matcher = PurgeMatcher::default();
    matcher.add(&purge(0, 400, PurgeTarget::Object(7)), 0);
    assert_eq!(matcher.floor(99, &request(7, 0, Some(&[]), "a/7/0")), 400);
    matcher.add_all(300);
    assert_eq!(
        [0, 99].map(|after| matcher.floor(after, &request(8, 0, Some(&[]), "a/8/0"))),
        [300, 300]
    );
}

#[test]
fn compiled_patterns_match_the_same_requests_as_single_patterns() {
    let mut compiled = PurgeMatcher::default();
    let mut uncompiled = PurgeMatcher::default();
    let mut rng = 3u64;
    for n in 1..=200 {
        rng = rng
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        let text = match rng >> 62 {
            0 => format!("class-{}/*", (rng >> 40) % 9),
            1 => format!("*/{:x}*/*", (rng >> 40) % 256),
            2 => format!("*/*/{}", (rng >> 40) % 30),
            _ => format!("class-[{}-9]/*{:x}/?", (rng >> 40) % 9, (rng >> 44) % 16),
        };
        let purge = purge(n, n * 10, PurgeTarget::Pattern(text.into()));
        compiled.add(&purge, 0);
        uncompiled.add(&purge, 0);
        if let Some(job) = compiled.take_compile_job() {
            let set = compile_patterns(job);
            compiled.install(set);
        }
    }
    assert!(compiled.uncompiled.len() < MAX_UNCOMPILED_PATTERNS && compiled.compiled.is_some());
    for object in 0..2_000u64 {
        let object = object.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let key = request_key(
            &format!("class-{}", object % 11),
            object,
            (object % 40) as u32,
        );
        let floor = |m: &PurgeMatcher| m.floor(0, &request(object, 0, Some(&[]), &key));
        assert_eq!(floor(&compiled), floor(&uncompiled), "{key}");
    }
}

#[test]
fn patterns_beyond_the_limit_match_everything() {
    let mut matcher = PurgeMatcher::default();
    for n in 1..=MAX_PATTERNS as u64 + 1 {
        matcher.add(
            &purge(n, n, PurgeTarget::Pattern(format!("x{n}/*").into())),
            0,
        );
    }
    assert_eq!(
        matcher.floor(0, &request(1, 0, Some(&[]), "other/1/1")),
        MAX_PATTERNS as u64 + 1
    );
}

fn pattern_purge(number: PurgeNumber, at_ms: UnixMillis, text: &str) -> Purge {
    purge(number, at_ms, PurgeTarget::Pattern(text.into()))
}

/// Adds patterns until a compilation is due.
fn matcher_with_compile_job(first_number: PurgeNumber) -> (PurgeMatcher, CompileJob) {
    let mut matcher = PurgeMatcher::default();
    for n in 0..MAX_UNCOMPILED_PATTERNS as u64 {
        let number = first_number * (n + 1);
        matcher.add(&pattern_purge(number, 100, &format!("old-{n}/*")), 0);
    }
    let job = matcher.take_compile_job().unwrap();
    (matcher, job)
}

#[test]
fn patterns_added_during_a_compilation_stay_in_effect() {
    // Purges that are not in the log have no number.
    for first_number in [0, 1] {
        for added_number in [0, 1, 1_000] {
            let (mut matcher, job) = matcher_with_compile_job(first_number);
            matcher.add(&pattern_purge(added_number, 200, "new/*"), 0);
            matcher.add(&pattern_purge(added_number, 300, "old-3/*"), 0);
            matcher.install(compile_patterns(job));
            let floor = |key| matcher.floor(0, &request(1, 0, Some(&[]), key));
            let floors = ["new/1/0", "old-3/1/0", "old-4/1/0"].map(floor);
            assert_eq!(floors, [200, 300, 100], "{first_number} {added_number}");
            assert_eq!(matcher.uncompiled.len(), 2);
        }
    }
}

#[test]
fn a_repeated_pattern_counts_once() {
    let (mut matcher, job) = matcher_with_compile_job(1);
    let patterns = matcher.live_purges().patterns;
    matcher.install(compile_patterns(job));
    matcher.add(&pattern_purge(1_000, 200, "old-3/*"), 0);
    assert_eq!(matcher.live_purges().patterns, patterns);
    // Of the compiled patterns none is live any more.
    matcher.expire(150);
    assert_eq!(matcher.live_purges().patterns, 1);
    matcher.expire(250);
    assert_eq!(matcher.live_purges().patterns, 0);
}
