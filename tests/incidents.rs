//! One small case for each failure found with the bench, by the names in docs/incidents/README.md.
mod common;
use common::*;
use cranesill::api::*;

/// Asks once for each object of the range and returns the attempts that are sent at once.
fn crowd(stand: &mut Stand, ids: std::ops::Range<u64>) -> Vec<Sent> {
    ids.flat_map(|id| stand.ask(ask(id, id))).collect()
}

/// The usual members with parents that have room for few.
fn tight() -> Vec<EndpointEntry> {
    let mut members = usual();
    members[3..5]
        .iter_mut()
        .for_each(|parent| parent.weight = 6.0);
    members
}

#[test]
fn refusals_for_lack_of_room_make_no_storm() {
    // i23556e: each refusal was tried up to eight times, twenty attempts a request.
    let mut stand = Stand::new(settings(), usual());
    for id in 1..=200 {
        let mut next = stand.ask(ask(id, id));
        while let Some(attempt) = next.first().cloned() {
            next = stand.end(&attempt, Status::Rejected, FillNote::None, 0);
        }
        stand.advance(10 * MS);
    }
    stand.advance(5 * S);
    let attempts = stand.sent.len();
    assert!(
        (200..=200 + 10 + 20 + 1).contains(&attempts),
        "{attempts} attempts of 200 requests"
    );
    assert_eq!(stand.answers.len(), 200);
}

#[test]
fn a_trouble_that_hits_all_alike_takes_none_down() {
    // ia8f6a2: fills of all parents timed out behind a slow origin, and all went DOWN.
    let mut stand = Stand::new(settings(), usual());
    for id in 1..=60 {
        if let Some(attempt) = stand.ask(ask(id, id)).first().cloned() {
            stand.advance(50 * MS);
            stand.end(&attempt, Status::Rejected, FillNote::SourceRejected, 2 * S);
        }
    }
    assert_eq!(stand.log, Vec::<String>::new());
}

#[test]
fn a_parent_that_alone_is_slow_goes_down() {
    // i4761b2: a parent that answered late but inside the time-out never counted up.
    let mut stand = Stand::new(settings(), usual());
    for id in 1..=40 {
        stand.ask(ask(id, id));
    }
    for round in 1..=30 {
        stand.advance(100 * MS);
        for attempt in stand.live() {
            let late = stand.now > attempt.at + 2 * S;
            match attempt.source {
                Some(20) if !late => {}
                Some(_) => _ = stand.end(&attempt, Status::Ok, FillNote::Filled, 0),
                None => {}
            }
        }
        stand.ask(ask(100 + round, 100 + round));
    }
    assert_eq!(
        stand
            .log
            .iter()
            .filter(|l| l.contains("Parent 14 DOWN"))
            .count(),
        1,
        "{:?}",
        stand.log
    );
    assert!(!stand.log.iter().any(|l| l.contains("Parent 15 DOWN")));
}

#[test]
fn where_fills_are_many_a_cache_is_first_asked_for_what_it_holds() {
    // ia8f6a2: fills that waited took the places of hits.
    let mut stand = Stand::new(settings(), tight());
    let out = crowd(&mut stand, 1..400);
    let looks: Vec<_> = out.iter().filter(|s| s.source == Some(s.target)).collect();
    let fills = out
        .iter()
        .filter(|s| s.source == Some(20) || s.source == Some(21))
        .count();
    assert!(
        !looks.is_empty() && fills > 0 && fills < 150,
        "{} looks, {fills} fills",
        looks.len()
    );
    // A miss waits for room at its source, and is refused when an answer can no longer be in time.
    let missed = (*looks[0]).clone();
    stand.end(&missed, Status::Miss, FillNote::None, 0);
    stand.advance(2 * S);
    assert_eq!(stand.checker.broken, Vec::<String>::new());
}

#[test]
fn two_fills_of_one_part_do_not_run_at_once_under_pressure() {
    for joins in [false, true] {
        let mut with = settings();
        with.coalescing = joins;
        let mut stand = Stand::new(with, tight());
        // As many as make the sources tight and leave room at the caches.
        let mut id = 0;
        let mut look = None;
        while look.is_none() && id < 400 {
            id += 1;
            look = stand
                .ask(ask(id, id))
                .into_iter()
                .find(|s| s.source == Some(s.target));
        }
        let first = look.expect("the sources grow tight");
        let second = stand.ask(ask(1000, id)).remove(0);
        assert_eq!(
            second.source,
            Some(second.target),
            "the twin looks first too"
        );
        // The sources have room again.
        stand
            .live()
            .iter()
            .filter(|s| s.source != Some(s.target))
            .skip(4)
            .for_each(|s| stand.served(s));
        let fill = stand.end(&first, Status::Miss, FillNote::None, 0);
        assert!(
            fill[0].source.is_some_and(|from| from >= 20),
            "the first miss is filled: {fill:?}"
        );
        let twin = stand.end(&second, Status::Miss, FillNote::None, 0);
        // Where caches can join a fill the twin does, else it waits for the copy and is sent then.
        assert_eq!(
            twin.iter().filter(|s| s.request.0 == 1000).count(),
            usize::from(joins),
            "{twin:?}"
        );
        if !joins {
            let then = stand.end(&fill[0], Status::Ok, FillNote::Filled, 0);
            assert!(then.iter().any(|s| s.request.0 == 1000), "{then:?}");
        }
    }
}

#[test]
fn a_cache_without_room_is_passed_over() {
    // i80753b: more videos than one cache could send, while its neighbours had room.
    let mut stand = Stand::new(settings(), usual());
    let home = stand.ask(ask(1, 5)).remove(0);
    stand.served(&home);
    let held = |stand: &Stand| {
        stand
            .live()
            .iter()
            .filter(|s| s.target == home.target)
            .count()
    };
    // A refusal cuts the limit of the cache to what it holds, less a little.
    for id in 2..10 {
        let more = stand.ask(ask(id, 5)).remove(0);
        assert_eq!(more.target, home.target);
    }
    let last = stand.live().pop().expect("they are out");
    stand.end(&last, Status::Rejected, FillNote::None, 0);
    assert!(held(&stand) > 6);
    let over = stand.ask(ask(20, 5)).remove(0);
    assert_ne!(over.target, home.target);
}

#[test]
fn a_refused_write_waits_and_keeps_its_deadline() {
    // i219619: writes burnt their attempts in milliseconds; snapshot 6ee6ecee lost one whose timer came late.
    let mut stand = Stand::new(settings(), usual());
    let write = Request {
        class: 1,
        time_left: S,
        ..ask(1, 5)
    };
    let mut next = stand.ask(write);
    let mut tries = 0;
    while let Some(attempt) = next.first().cloned() {
        tries += 1;
        assert!(
            stand
                .end(&attempt, Status::Rejected, FillNote::SourceRejected, 0)
                .is_empty(),
            "no retry at once"
        );
        next = stand.advance(60 * MS);
    }
    stand.advance(2 * S);
    assert!((4..=8).contains(&tries), "{tries} tries");
    assert!(stand.answers.contains_key(&RequestId(1)));
    let now = stand.now;
    stand.checker.overdue(now);
    assert_eq!(stand.checker.broken, Vec::<String>::new());
}

#[test]
fn stale_copies_are_asked_for_before_waiting() {
    let mut with_grace = settings();
    with_grace.classes[0] = Class {
        freshness_lifetime: 20 * S,
        grace: 30 * S,
        ..class(Idempotency::Idempotent, false)
    };
    let mut stand = Stand::new(with_grace, tight());
    // Misses take the places at the sources until one finds none.
    for id in 1..400 {
        for look in stand
            .ask(ask(id, id))
            .into_iter()
            .filter(|s| s.source == Some(s.target))
        {
            assert_eq!(look.fill.unwrap().max_age, 20 * S);
            for second in stand.end(&look, Status::Miss, FillNote::None, 0) {
                if second.request == look.request && second.source == Some(second.target) {
                    assert_eq!(second.fill.unwrap().max_age, 50 * S);
                    return;
                }
            }
        }
    }
    panic!("no request asked for a copy past its fresh time");
}

#[test]
fn a_stalled_attempt_moves_where_no_second_copy_is_allowed() {
    // id98574: a cache lost some requests and served the others, so it was neither silent nor failing.
    let mut single = settings();
    single.hedging = false;
    single.parent_kind = None;
    let mut stand = Stand::new(single, vec![entry(10, CACHE), entry(11, CACHE)]);
    let stalled = stand.ask(ask(1, 5)).remove(0);
    stand.advance(900 * MS);
    assert!(
        stand.trace.contains(&Action::Cancel(RequestId(1), 0)),
        "{:?}",
        stand.trace
    );
    let next = stand
        .end(&stalled, Status::Cancelled, FillNote::None, 0)
        .remove(0);
    assert_ne!(next.target, stalled.target);
    assert_eq!(stand.checker.broken, Vec::<String>::new());
}

#[test]
fn a_silent_cache_goes_down_when_others_answer_and_its_requests_move() {
    let mut stand = Stand::new(settings(), usual());
    for id in 1..=200 {
        for attempt in stand.live().into_iter().filter(|s| s.target != 10) {
            if stand.now > attempt.at + 200 * MS {
                stand.served(&attempt);
            }
        }
        stand.ask(ask(id, id));
        stand.advance(20 * MS);
        if stand.log.iter().any(|l| l.contains("Cache a DOWN")) {
            break;
        }
    }
    assert!(
        stand.log.iter().any(|l| l.contains("Cache a DOWN")),
        "{:?}",
        stand.log
    );
    assert!(stand.trace.iter().any(|a| matches!(a, Action::Cancel(..))));
    assert!(!stand.ask(ask(999, 5)).iter().any(|s| s.target == 10));
}

#[test]
fn a_silent_cache_goes_down_also_where_one_request_at_a_time_is_asked() {
    // Seen with processes: half of a front's caches were behind links that passed nothing, and 16 requests in a minute
    // were served. Nobody else is heard while the one request is out.
    let mut single = settings();
    single.hedging = false;
    let mut members = usual();
    members.extend((13..16).map(|id| entry(id, CACHE)));
    let mut stand = Stand::new(single, members);
    let mut silences = 0;
    for id in 1..=600 {
        let mut next = stand.ask(ask(id, id % 50));
        while let Some(attempt) = next.first().cloned() {
            let silent = (10..13).contains(&attempt.target) && id > 60;
            stand.advance(if silent { 1_500 * MS } else { 10 * MS });
            let off = Action::Cancel(attempt.request, attempt.number);
            next.clear();
            if !silent {
                stand.served(&attempt);
            } else if stand.trace.contains(&off) {
                next = stand.end(&attempt, Status::Cancelled, FillNote::None, 0);
            } else {
                silences += 1;
                stand.advance(2_600 * MS);
            }
        }
    }
    let down = stand.log.iter().filter(|l| l.contains("DOWN")).count();
    assert!(
        down >= 3,
        "{down} DOWN, {silences} waited in vain: {:?}",
        stand.log
    );
    assert!(silences < 60, "{silences} of 540 requests waited in vain");
    // Where all fall silent at once that says nothing of any.
    let mut stand = Stand::new(settings(), usual());
    for id in 1..=20 {
        let sent = stand.ask(ask(id, id));
        stand.advance(10 * MS);
        sent.iter().for_each(|attempt| stand.served(attempt));
    }
    for id in 21..=60 {
        stand.ask(ask(id, id));
        stand.advance(4_100 * MS);
    }
    assert!(
        !stand.log.iter().any(|l| l.contains("DOWN")),
        "{:?}",
        stand.log
    );
}

#[test]
fn the_origin_takes_what_a_down_parent_leaves_without_room() {
    // iee772e: the other parent had no room for two shares of fills, and the origin was calm.
    let mut stand = Stand::new(settings(), usual());
    for id in 1..200 {
        let mut next = stand.ask(ask(id, id));
        while let Some(attempt) = next.first().cloned() {
            next = match attempt.source {
                Some(20) => stand.end(&attempt, Status::Rejected, FillNote::SourceLost, 0),
                Some(from) if from == attempt.target => {
                    stand.end(&attempt, Status::Miss, FillNote::None, 0)
                }
                _ => stand.end(&attempt, Status::Ok, FillNote::Filled, 0),
            };
        }
        if stand.log.iter().any(|l| l.contains("Parent 14 DOWN")) {
            break;
        }
    }
    assert!(stand.log.iter().any(|l| l.contains("Parent 14 DOWN")));
    for id in 1000..1600 {
        for look in stand.ask(ask(id, id)) {
            if look.source == Some(look.target) {
                stand.end(&look, Status::Miss, FillNote::None, 0);
            }
        }
    }
    let to = |source: u64| {
        stand
            .sent
            .iter()
            .filter(|s| s.source == Some(source))
            .count()
    };
    assert!(
        to(30) > 0 && to(21) > to(30),
        "{} to the origin, {} to the parent",
        to(30),
        to(21)
    );
}

#[test]
fn a_cold_parent_gets_no_more_than_its_budget_and_a_hit_gives_it_back() {
    let mut members = usual();
    members[3].started = 100 * S;
    members[4].started = 100 * S;
    let mut stand = Stand::new(settings(), members);
    let out = crowd(&mut stand, 1..60);
    let to_parents = |sent: &[Sent]| sent.iter().filter(|s| s.source == Some(20)).count();
    assert!(to_parents(&out) <= 2, "{}", to_parents(&out));
    let (mut kept, mut given) = (0, 0);
    for (hit, sum, base) in [(false, &mut kept, 100), (true, &mut given, 1000)] {
        let mut members = usual();
        members[3].started = 100 * S;
        members[4].started = 100 * S;
        let mut stand = Stand::new(settings(), members);
        stand.advance(500 * MS);
        for id in base..base + 60 {
            for attempt in stand.ask(ask(id, id - base)) {
                *sum += usize::from(attempt.source == Some(20));
                if hit {
                    stand.served(&attempt);
                }
            }
        }
        assert_eq!(stand.checker.broken, Vec::<String>::new());
    }
    assert!(
        kept > 0 && given > kept,
        "{given} with hits, {kept} without"
    );
}

#[test]
fn one_member_that_does_well_among_many_that_do_not_condemns_none() {
    // i702365, i04dc8e: with many parents one that was not late was always found, and the rest went DOWN.
    let mut members = usual();
    members.extend((22..28).map(|id| entry(id, PARENT)));
    let mut stand = Stand::new(settings(), members);
    for id in 1..=300 {
        for attempt in stand.ask(ask(id, id)) {
            stand.advance(30 * MS);
            match attempt.source {
                Some(20) => _ = stand.end(&attempt, Status::Ok, FillNote::Filled, 0),
                Some(_) => {
                    _ = stand.end(&attempt, Status::Rejected, FillNote::SourceRejected, 2 * S)
                }
                None => {}
            }
        }
    }
    assert_eq!(stand.log, Vec::<String>::new());
}

/// Ends an attempt with a report of how full the link into the zone is.
fn end_with_link(
    stand: &mut Stand,
    sent: &Sent,
    status: Status,
    note: FillNote,
    link: f64,
) -> Vec<Sent> {
    let report = Some(LoadReport {
        link: Some(link),
        ..LoadReport::default()
    });
    stand.end_with(sent, status, note, 0, report)
}

#[test]
fn fills_wait_when_the_link_into_the_zone_is_full_and_no_source_is_blamed() {
    // valle-central big-1: after a flush every cache filled at a sixth of the pace, and all was late.
    for (link, many) in [(0.5, true), (6.0, false)] {
        let mut stand = Stand::new(settings(), usual());
        for id in 1..=1000 {
            let mut next = stand.ask(ask(id, id));
            while let Some(attempt) = next.first().cloned().filter(|a| a.source == Some(a.target)) {
                next = end_with_link(&mut stand, &attempt, Status::Miss, FillNote::None, link);
            }
            stand.advance(10 * MS);
            let due = stand.now - if many { 300 * MS } else { 1900 * MS };
            for attempt in stand.live().into_iter().filter(|a| a.at < due) {
                end_with_link(&mut stand, &attempt, Status::Ok, FillNote::Filled, link);
            }
        }
        let fills = stand
            .sent
            .iter()
            .filter(|a| a.source != Some(a.target))
            .count();
        assert_eq!(
            fills > 900,
            many,
            "link {link}: {fills} fills of 1000 requests"
        );
        assert!(many || stand.log.is_empty(), "{:?}", stand.log);
        assert_eq!(stand.checker.broken, Vec::<String>::new());
    }
}

#[test]
fn hundreds_of_routers_keep_within_the_budget_of_a_cold_parent() {
    // reservas-cr big-1 (5d6f453f and before): each router might overdraw the budget by one request.
    for routers in [3u64, 30, 300] {
        let mut with = settings();
        with.fronts = routers as u32;
        let start = 100 * S;
        let list = || {
            let mut members = usual();
            members[3].started = start;
            members.remove(4);
            members
        };
        let one = |number| {
            Stand::new(
                Settings {
                    front_index: number as u32,
                    ..with.clone()
                },
                list(),
            )
        };
        let mut fleet: Vec<_> = (0..routers).map(one).collect();
        let mut sent: Vec<Timestamp> = Vec::new();
        for step in 0..200 {
            for (n, stand) in fleet.iter_mut().enumerate() {
                // All want the parent at once, again and again; fills take half a second each.
                stand.advance(20 * MS);
                for done in stand
                    .live()
                    .into_iter()
                    .filter(|a| a.at + 500 * MS < start + step * 20 * MS)
                {
                    stand.end(&done, Status::Ok, FillNote::Filled, 0);
                }
                let id = step * 1000 + n as u64 + 1;
                let now = stand.now;
                let asked = stand.ask(Request {
                    time_left: S,
                    ..ask(id, id)
                });
                sent.extend(asked.iter().filter(|a| a.source == Some(20)).map(|_| now));
            }
        }
        // Weight 20, a fifth of it at the start, falls over at 2 times: counted in any two seconds.
        let most = sent.iter().map(|t| {
            let within = sent
                .iter()
                .filter(|u| (*t..*t + 2 * S).contains(*u))
                .count() as f64;
            let age = (*t - start) as f64 / (20 * S) as f64;
            within * 300_000.0 / (2.0 * 20.0 * (0.2 + 0.8 * age) * (2 * S) as f64)
        });
        let most = most.fold(0.0, f64::max);
        assert!(
            most > 0.1 && most < 1.0,
            "{routers} routers: {most} of what pushes it over"
        );
    }
}

#[test]
fn while_the_origin_is_slow_parents_are_asked_for_what_they_hold_and_stay_up() {
    // valle-central rough-2: what waited for a slow origin took all places at the parents.
    let mut stand = Stand::new(settings(), tight());
    let mut held_only = 0;
    for id in 1..=400 {
        let mut next = stand.ask(ask(id, id));
        stand.advance(10 * MS);
        while let Some(attempt) = next.first().cloned() {
            let only_held = attempt.fill.is_some_and(|f| f.only_cached);
            next = match attempt.source {
                Some(20 | 21) if only_held => {
                    held_only += 1;
                    stand.end(&attempt, Status::Miss, FillNote::SourceMiss, 0)
                }
                Some(from) if from == attempt.target => {
                    stand.end(&attempt, Status::Miss, FillNote::None, 0)
                }
                _ => break,
            };
        }
        let due = stand.now - 2 * S;
        for late in stand.live().into_iter().filter(|a| a.at < due) {
            stand.end(&late, Status::Ok, FillNote::FilledByOrigin, 0);
        }
    }
    let through =
        |s: &&Sent| s.number > 0 && s.source < Some(30) && s.fill.is_some_and(|f| !f.only_cached);
    let through = stand
        .sent
        .iter()
        .filter(through)
        .filter(|s| s.source != Some(s.target))
        .count();
    assert!(
        held_only > 50 && through > 0,
        "{held_only} asked for what they hold, {through} through"
    );
    assert!(
        !stand.log.iter().any(|l| l.contains("Parent")),
        "{:?}",
        stand.log
    );
    assert_eq!(stand.checker.broken, Vec::<String>::new());
}

#[test]
fn any_id_of_a_request_works_with_timers() {
    // Tokens once held the id shifted by eight bits, and lost its top.
    let mut stand = Stand::new(settings(), usual());
    let id = u64::MAX - 5;
    let write = Request {
        class: 1,
        time_left: S,
        ..ask(id, 5)
    };
    let first = stand.ask(write).remove(0);
    assert!(stand
        .end(&first, Status::Rejected, FillNote::SourceRejected, 0)
        .is_empty());
    let again = stand.advance(200 * MS);
    assert_eq!(again[0].request, RequestId(id));
}

#[test]
fn a_request_waits_for_room_at_any_cache() {
    // costa-pacifico rough-1: requests waited for the cache that hung, while others had room.
    // Whichever cache gets room, its own or the other, the one that waits goes there.
    for freed in [10, 11] {
        let mut stand = Stand::new(
            settings(),
            vec![entry(10, CACHE), entry(11, CACHE), entry(20, PARENT)],
        );
        let mut id = 0;
        while stand.sent.len() as u64 == id {
            id += 1;
            stand.ask(Request {
                part: id as u32,
                ..ask(id, 5)
            });
        }
        let done = stand
            .live()
            .into_iter()
            .find(|a| a.target == freed)
            .expect("both are in use");
        let then = stand.end(&done, Status::Ok, FillNote::Hit, 0);
        assert!(
            then.len() == 1 && then[0].request.0 == id && then[0].target == freed,
            "{then:?}"
        );
    }
}

#[test]
fn what_is_asked_for_again_is_kept_at_a_higher_rank_than_one_offs() {
    let mut stand = Stand::new(settings(), usual());
    let rank = |sent: &[Sent]| sent[0].fill.unwrap().rank;
    // At first it can't tell one from the other, and must not make light of what is kept already.
    assert_eq!(rank(&stand.ask(ask(9, 9))), 2);
    stand.advance(11 * S);
    assert_eq!(rank(&stand.ask(ask(1, 5))), 1);
    stand.advance(3 * S);
    assert_eq!(
        (rank(&stand.ask(ask(2, 5))), rank(&stand.ask(ask(3, 6)))),
        (2, 1)
    );
    // Another part is another copy, and what was long ago does not count.
    assert_eq!(
        rank(&stand.ask(Request {
            part: 1,
            ..ask(4, 5)
        })),
        1
    );
    stand.advance(60 * S);
    assert_eq!(rank(&stand.ask(ask(5, 5))), 1);
}

#[test]
fn waves_of_draining_caches_and_a_restart_of_all_leave_cold_ones_standing() {
    // preempt and mass_restart: nothing goes to what drains, and what is new gets its budget and no more.
    let mut stand = Stand::new(settings(), usual());
    let mut id = 0;
    let mut work = |stand: &mut Stand, span: Micros| {
        let end = stand.now + span;
        while stand.now < end {
            id += 1;
            stand.ask(ask(id, id));
            stand.advance(10 * MS);
            let due = stand.now - 300 * MS;
            for done in stand.live().into_iter().filter(|a| a.at < due) {
                let looks = done.source == Some(done.target);
                let (status, note) = if looks {
                    (Status::Miss, FillNote::None)
                } else {
                    (Status::Ok, FillNote::Filled)
                };
                stand.end(&done, status, note, 0);
            }
        }
    };
    for (old, new) in [(10, 13), (11, 14)] {
        let drains = EndpointEntry {
            state: EndpointState::Draining,
            ..entry(old, CACHE)
        };
        stand.tell(Event::Endpoints(ListKind::Delta, vec![drains]));
        work(&mut stand, S);
        let gone = EndpointEntry {
            state: EndpointState::Removed,
            ..entry(old, CACHE)
        };
        let fresh = EndpointEntry {
            started: stand.now,
            ..entry(new, CACHE)
        };
        stand.tell(Event::Endpoints(ListKind::Delta, vec![gone, fresh]));
        work(&mut stand, S);
    }
    assert!(
        stand.sent.iter().any(|a| a.target == 13),
        "the first replacement is used"
    );
    let now = stand.now;
    let all = [12, 13, 14].map(|id| EndpointEntry {
        started: now,
        ..entry(id, CACHE)
    });
    stand.tell(Event::Endpoints(ListKind::Delta, all.to_vec()));
    work(&mut stand, 3 * S);
    assert!(stand.sent.iter().any(|a| a.at > now && a.source.is_some()));
    assert_eq!(stand.checker.broken, Vec::<String>::new());
}

#[test]
fn a_few_late_answers_among_many_cut_no_limit() {
    // A calm day on sockets: sizes vary widely and are not told, so some answers are always late; with
    // hundreds of answers a second each pause had one, and every limit shrank to a tenth of the full pace.
    let mut stand = Stand::new(settings(), usual());
    for round in 1..=20 {
        let sent = crowd(&mut stand, round * 100..round * 100 + 30);
        stand.advance(50 * MS);
        for attempt in &sent[1..] {
            stand.end(attempt, Status::Ok, FillNote::Hit, 0);
        }
        stand.advance(2 * S);
        stand.end(&sent[0], Status::Ok, FillNote::Hit, 0);
    }
    assert_eq!(crowd(&mut stand, 5_000..5_120).len(), 120);
}

#[test]
fn a_source_that_is_lost_now_and_then_keeps_the_room_of_its_parent() {
    // A calm day on sockets: one fill in a thousand broke off, each cut the parent's limit to what it held,
    // and requests waited for room at parents that had all of it.
    let mut stand = Stand::new(settings(), usual());
    for round in 1..=20 {
        let sent = crowd(&mut stand, round * 100..round * 100 + 30);
        stand.advance(50 * MS);
        for attempt in &sent[1..] {
            stand.end(attempt, Status::Ok, FillNote::Filled, 10 * MS);
        }
        for again in stand.end(&sent[0], Status::Error, FillNote::SourceLost, 10 * MS) {
            stand.end(&again, Status::Ok, FillNote::Filled, 10 * MS);
        }
        stand.advance(S);
    }
    let fills = crowd(&mut stand, 5_000..5_100)
        .iter()
        .filter(|s| s.source != Some(s.target))
        .count();
    assert!(fills >= 40, "{fills} fills at once");
    assert_eq!(stand.log, Vec::<String>::new());
}

#[test]
fn late_answers_alone_leave_a_cache_its_full_pace() {
    // A day with pauses: a good part of the answers was late, caches were held to a third of what goes there
    // at full pace, and requests were given up while they waited for room.
    let mut stand = Stand::new(settings(), usual());
    for round in 1..=30 {
        let sent = crowd(&mut stand, round * 100..round * 100 + 10);
        stand.advance(2 * S);
        for attempt in &sent {
            stand.end(attempt, Status::Ok, FillNote::Hit, 0);
        }
    }
    let sent = crowd(&mut stand, 5_000..5_060).len();
    assert!(sent >= 36, "{sent} of three times twenty at once");
}

#[test]
fn requests_that_no_member_can_use_condemn_none() {
    // Bad clients' requests, answered with an error by whoever got them, took all caches DOWN.
    let mut stand = Stand::new(settings(), usual());
    for id in 1..=40 {
        let mut next = stand.ask(ask(id, id));
        while let Some(attempt) = next.first().cloned() {
            next = stand.end(&attempt, Status::Error, FillNote::None, 0);
        }
    }
    assert_eq!(
        (stand.log.len(), stand.sent.len(), stand.answers.len()),
        (0, 80, 40),
        "{:?}",
        stand.log
    );
    // One that answers with an error what another serves is at fault.
    for id in 101..=120 {
        let first = stand.ask(ask(id, id)).remove(0);
        let bad = |attempt: &Sent| attempt.target == 10;
        let next = stand.end(
            &first,
            if bad(&first) {
                Status::Error
            } else {
                Status::Ok
            },
            FillNote::Hit,
            0,
        );
        next.iter().for_each(|attempt| stand.served(attempt));
    }
    assert!(
        stand.log.iter().any(|l| l.contains("Cache a DOWN")),
        "{:?}",
        stand.log
    );
}

#[test]
fn what_one_broken_connection_carried_is_one_failure() {
    // One spoilt answer broke a connection with four attempts on it, and its parent went DOWN.
    for (along, down) in [(true, 0), (false, 1)] {
        let mut stand = Stand::new(settings(), usual());
        let home = stand.ask(ask(1, 5)).remove(0);
        let more: Vec<_> = (2..=4).flat_map(|id| stand.ask(ask(id, 5))).collect();
        assert!(more.iter().all(|s| s.target == home.target));
        stand.end(&home, Status::Reset, FillNote::None, 0);
        stand.along = along;
        more.iter()
            .for_each(|attempt| drop(stand.end(attempt, Status::Reset, FillNote::None, 0)));
        let lost = stand.log.iter().filter(|l| l.contains("DOWN")).count();
        assert_eq!(lost, down, "{:?}", stand.log);
    }
}

#[test]
fn an_attempt_without_a_connection_goes_elsewhere_and_condemns_none() {
    // Descriptors were used up: each attempt counted as a lost one, six of a request in a row.
    let mut stand = Stand::new(settings(), usual());
    for id in 1..=20 {
        let first = stand.ask(ask(id, id)).remove(0);
        let next = stand
            .end(&first, Status::NotSent, FillNote::None, 0)
            .remove(0);
        assert_ne!(next.target, first.target);
        stand.served(&next);
    }
    assert_eq!(stand.log, Vec::<String>::new());
}

#[test]
fn a_request_of_which_nothing_was_sent_is_refused_at_half_its_time() {
    // Requests waited for room till an answer could no longer be in time, which was past half of their time.
    let mut stand = Stand::new(settings(), usual());
    let mut held = crowd(&mut stand, 1..2000);
    let short = Request {
        time_left: 600 * MS,
        size_kb: 100.0,
        ..ask(5000, 5000)
    };
    held.extend(stand.ask(short));
    assert!(
        held.iter().all(|s| s.request.0 != 5000),
        "there is no room left"
    );
    let begun = stand.now;
    while !stand.answers.contains_key(&RequestId(5000)) {
        stand.advance(5 * MS);
    }
    assert!(
        stand.now <= begun + 310 * MS,
        "after {} us",
        stand.now - begun
    );
}

#[test]
fn the_link_is_full_where_a_fill_is_slower_than_a_client_and_a_look_is_for_want_of_room() {
    // A report of twice what fits, while fills still outran the clients, cut the link's limit again and again: two
    // thirds of requests looked first and then waited for a link that was half empty.
    for (told, calm) in [(2.0, true), (4.0, false)] {
        let mut stand = Stand::new(settings(), usual());
        let mut looks = 0;
        for id in 1..=400 {
            let sent = stand.ask(ask(id, id));
            looks += sent.iter().filter(|s| s.source == Some(s.target)).count();
            stand.advance(20 * MS);
            let due: Vec<_> = stand
                .live()
                .into_iter()
                .filter(|s| s.at + 500 * MS < stand.now)
                .collect();
            for late in due {
                let report = Some(LoadReport {
                    link: Some(told),
                    ..LoadReport::default()
                });
                stand.end_with(&late, Status::Ok, FillNote::Filled, 0, report);
            }
        }
        assert_eq!(
            looks == 0 && stand.answers.is_empty(),
            calm,
            "{looks} looks at {told}"
        );
    }
}

#[test]
fn what_missed_does_not_wait_behind_attempts_that_only_name_a_source() {
    // A front that served its zone alone held misses back while the link was half empty: hits had its places.
    let mut stand = Stand::new(
        Settings {
            link_kb_per_s: 4_000.0,
            ..settings()
        },
        usual(),
    );
    let told = Some(LoadReport {
        link: Some(0.5),
        ..LoadReport::default()
    });
    let first = stand.ask(ask(1, 1)).remove(0);
    stand.end_with(&first, Status::Ok, FillNote::Hit, 0, told);
    // Twelve transfers of the link are this router's; more attempts than that name a source.
    let out = crowd(&mut stand, 2..20);
    assert!(
        out.iter().all(|s| s.source != Some(s.target)),
        "none had to look"
    );
    let next = stand.end(&out[0], Status::Rejected, FillNote::SourceMiss, 0);
    assert!(
        next.iter().any(|s| s.request == out[0].request),
        "it goes on at once: {next:?}"
    );
}

#[test]
fn where_no_cache_has_room_a_parent_that_has_some_is_asked_straight() {
    // Two of a zone's three caches were gone: requests waited for the third to half their time, parents idle.
    for direct in [true, false] {
        let mut small = usual();
        small[..3].iter_mut().for_each(|cache| cache.weight = 2.0);
        let mut stand = Stand::new(
            Settings {
                pass_through: direct,
                ..settings()
            },
            small,
        );
        let out = crowd(&mut stand, 1..60);
        let parents = out
            .iter()
            .filter(|s| s.target == 20 || s.target == 21)
            .count();
        assert_eq!(
            (parents > 0, out.len() == 59),
            (direct, direct),
            "{parents} of {}",
            out.len()
        );
        assert_eq!(stand.checker.broken, Vec::<String>::new());
    }
}

#[test]
fn a_clock_that_is_ahead_takes_no_cold_member_for_a_warm_one() {
    // Starts are dated by the list service's clock; a front half a minute ahead held no cold cache back.
    let admitted = |ahead: Micros, started: Option<Micros>| {
        let mut stand = Stand::new(settings(), Vec::new());
        stand.tell(Event::ClockAhead(ahead));
        let started = started.map_or(0, |ago| stand.now - ago);
        let fresh = [entry(10, CACHE), entry(30, ORIGIN)].map(|e| EndpointEntry { started, ..e });
        stand.tell(Event::Endpoints(ListKind::Full, fresh.to_vec()));
        stand.advance(S);
        let sent = crowd(&mut stand, 1..200);
        assert_eq!(
            stand.checker.broken.iter().filter(|_| ahead == 0).count(),
            0
        );
        sent.len()
    };
    let (cold, warm) = (admitted(0, Some(MS)), admitted(0, None));
    assert!(
        cold > 0 && cold * 2 < warm,
        "{cold} at a cold cache, {warm} at a warm one"
    );
    assert_eq!(admitted(30 * S, Some(30 * S + MS)), cold);
    // A restart that operators make dates itself by this clock.
    let mut stand = Stand::new(settings(), vec![entry(10, CACHE), entry(30, ORIGIN)]);
    stand.tell(Event::ClockAhead(60 * S));
    stand.tell(Event::Cordon {
        endpoint: EndpointId(10),
        cordoned: true,
    });
    stand.tell(Event::Cordon {
        endpoint: EndpointId(10),
        cordoned: false,
    });
    stand.advance(S);
    assert_eq!(crowd(&mut stand, 1..200).len(), cold);
    stand.advance(30 * S);
    assert!(
        crowd(&mut stand, 300..500).len() > cold,
        "it is warm in time"
    );
}

#[test]
fn a_clock_that_is_behind_takes_a_cold_member_for_warm_once_it_is() {
    // By a clock an hour behind a cold cache had an hour of slow start before it, at its least.
    let admitted = |ahead_of_us: Micros, waits: Micros| {
        let mut stand = Stand::new(settings(), Vec::new());
        let started = stand.now + ahead_of_us;
        let fresh = [entry(10, CACHE), entry(30, ORIGIN)].map(|e| EndpointEntry { started, ..e });
        stand.tell(Event::Endpoints(ListKind::Full, fresh.to_vec()));
        stand.advance(waits);
        crowd(&mut stand, 1..200).len()
    };
    for behind in [5 * S, 3_600 * S] {
        assert_eq!(admitted(behind, S), admitted(0, S), "it is as cold");
        assert_eq!(
            admitted(behind, 30 * S),
            admitted(0, 30 * S),
            "it is as warm"
        );
    }
    assert!(admitted(0, 30 * S) > 2 * admitted(0, S));
}
