//! Members that operators take out: whatever the list says meanwhile, and whatever was planned before.
mod common;
use common::*;
use cranesill::api::*;

/// Members that a hundred requests for different objects name.
fn named(stand: &mut Stand, from: u64) -> std::collections::BTreeSet<u64> {
    let mut named = std::collections::BTreeSet::new();
    for id in from..from + 100 {
        for sent in stand.ask(ask(id, id)) {
            named.extend([sent.target].into_iter().chain(sent.source));
            stand.served(&sent);
        }
        stand.advance(20 * MS);
    }
    named
}

#[test]
fn a_member_that_is_out_is_neither_asked_nor_a_source_whatever_the_list_says() {
    let mut stand = Stand::new(settings(), usual());
    stand.tell(Event::Cordon {
        endpoint: EndpointId(10),
        cordoned: true,
    });
    stand.tell(Event::Cordon {
        endpoint: EndpointId(20),
        cordoned: true,
    });
    assert_eq!(named(&mut stand, 1), [11, 12, 21].into());
    // It leaves the list and returns, alone and with the whole list.
    let gone = EndpointEntry {
        state: EndpointState::Removed,
        ..entry(10, CACHE)
    };
    stand.tell(Event::Endpoints(ListKind::Delta, vec![gone]));
    stand.tell(Event::Endpoints(ListKind::Delta, vec![entry(10, CACHE)]));
    assert_eq!(named(&mut stand, 1_001), [11, 12, 21].into());
    stand.tell(Event::Endpoints(ListKind::Full, usual()));
    assert_eq!(named(&mut stand, 2_001), [11, 12, 21].into());
    assert!(
        stand.router.is_unavailable(EndpointId(10)) && !stand.router.is_unavailable(EndpointId(11))
    );
    assert_eq!(stand.checker.broken, Vec::<String>::new());
}

#[test]
fn one_call_back_undoes_two_calls_out_and_what_comes_back_is_cold() {
    let mut stand = Stand::new(settings(), usual());
    stand.tell(Event::Cordon {
        endpoint: EndpointId(10),
        cordoned: true,
    });
    stand.tell(Event::Cordon {
        endpoint: EndpointId(10),
        cordoned: true,
    });
    stand.advance(3 * S);
    stand.tell(Event::Cordon {
        endpoint: EndpointId(10),
        cordoned: false,
    });
    assert!(!stand.router.is_unavailable(EndpointId(10)));
    // The checker holds it to the limits of one that started now.
    assert!(
        named(&mut stand, 1).contains(&10),
        "it is used again within two seconds"
    );
    assert_eq!(stand.checker.broken, Vec::<String>::new());
}

#[test]
fn a_member_that_is_back_is_judged_by_what_it_does_from_then_on() {
    let mut stand = Stand::new(
        settings(),
        vec![entry(10, CACHE), entry(20, PARENT), entry(30, ORIGIN)],
    );
    for id in 1..=4 {
        let mut next = stand.ask(ask(id, id));
        while let Some(sent) = next.first().cloned() {
            next = stand.end(&sent, Status::ConnectFailed, FillNote::None, 0);
        }
    }
    assert!(stand.router.is_unavailable(EndpointId(10)), "it is DOWN");
    let sent = stand.live();
    stand.tell(Event::Cordon {
        endpoint: EndpointId(10),
        cordoned: true,
    });
    stand.tell(Event::Cordon {
        endpoint: EndpointId(10),
        cordoned: false,
    });
    assert!(
        !stand.router.is_unavailable(EndpointId(10)),
        "not DOWN by what its old process did"
    );
    // What was sent to the old one fails now: that says nothing of the new one either.
    for sent in sent {
        stand.end(&sent, Status::Reset, FillNote::None, 0);
    }
    assert!(!stand.router.is_unavailable(EndpointId(10)));
}

#[test]
fn with_all_of_a_kind_out_requests_go_on_by_what_is_left_or_are_answered_at_once() {
    let direct = Settings {
        pass_through: true,
        ..settings()
    };
    let mut stand = Stand::new(direct, usual());
    [20, 21].into_iter().for_each(|id| {
        drop(stand.tell(Event::Cordon {
            endpoint: EndpointId(id),
            cordoned: true,
        }))
    });
    assert!(
        named(&mut stand, 1).contains(&30),
        "without parents the origin fills"
    );
    [10, 11, 12].into_iter().for_each(|id| {
        drop(stand.tell(Event::Cordon {
            endpoint: EndpointId(id),
            cordoned: true,
        }))
    });
    assert_eq!(
        named(&mut stand, 1_001),
        [30].into(),
        "without caches requests go straight to the origin"
    );
    stand.tell(Event::Cordon {
        endpoint: EndpointId(30),
        cordoned: true,
    });
    assert!(named(&mut stand, 2_001).is_empty());
    assert!(
        stand.answers.contains_key(&RequestId(2_001)),
        "with nothing left they are refused at once"
    );
    // Requests that wait for a member that is taken out are not left waiting.
    let mut stand = Stand::new(settings(), usual());
    let waiting: Vec<u64> = (1..=400).collect();
    waiting.iter().for_each(|id| drop(stand.ask(ask(*id, 5))));
    [10, 11, 12, 20, 21, 30].into_iter().for_each(|id| {
        drop(stand.tell(Event::Cordon {
            endpoint: EndpointId(id),
            cordoned: true,
        }))
    });
    let sent: std::collections::BTreeSet<_> = stand.sent.iter().map(|s| s.request.0).collect();
    let left = waiting.iter().filter(|id| !sent.contains(id));
    assert!(left.clone().count() > 0, "some wait");
    assert!(
        left.clone()
            .all(|id| stand.answers.contains_key(&RequestId(*id))),
        "and are answered"
    );
}

#[test]
fn the_next_process_holds_for_suspect_what_this_one_held_for_down_and_for_cold_what_it_took_back() {
    let members = || {
        vec![
            entry(10, CACHE),
            entry(11, CACHE),
            entry(20, PARENT),
            entry(30, ORIGIN),
        ]
    };
    let mut old = Stand::new(settings(), members());
    old.tell(Event::Cordon {
        endpoint: EndpointId(11),
        cordoned: true,
    });
    for id in 1..=4 {
        let mut next = old.ask(ask(id, id));
        while let Some(sent) = next.first().cloned() {
            next = old.end(&sent, Status::ConnectFailed, FillNote::None, 0);
        }
    }
    old.tell(Event::Cordon {
        endpoint: EndpointId(11),
        cordoned: false,
    });
    let learned = old.router.learned_health();
    let of = |id| {
        *learned
            .iter()
            .find(|one| one.endpoint.0 == id)
            .expect("learned")
    };
    assert!(of(10).down && of(10).lost && !of(11).down && of(11).cold_since == old.now);
    let mut new = Stand::new(settings(), members());
    new.now = old.now;
    new.tell(Event::LearnedHealth(learned.clone()));
    // SUSPECT: it is probed by one request and its further try, not by all.
    let to_10: Vec<_> = (1..=40)
        .flat_map(|id| new.ask(ask(id, id)))
        .filter(|sent| sent.target == 10)
        .collect();
    assert!((1..=2).contains(&to_10.len()), "{} probes", to_10.len());
    new.end(&to_10[0], Status::ConnectFailed, FillNote::None, 0);
    assert!(
        new.router.is_unavailable(EndpointId(10)),
        "one failure is enough"
    );
    // Of a member that has started anew since, it says nothing.
    let mut new = Stand::new(settings(), members());
    let anew = EndpointEntry {
        started: new.now - S,
        ..entry(10, CACHE)
    };
    new.tell(Event::Endpoints(ListKind::Delta, vec![anew]));
    new.tell(Event::LearnedHealth(learned));
    assert_eq!(
        new.router
            .learned_health()
            .iter()
            .filter(|one| one.endpoint.0 == 10)
            .count(),
        0
    );
}

#[test]
fn a_burst_just_after_it_is_back_goes_past_a_member_that_is_cold() {
    let mut stand = Stand::new(settings(), usual());
    stand.tell(Event::Cordon {
        endpoint: EndpointId(10),
        cordoned: true,
    });
    stand.tell(Event::Cordon {
        endpoint: EndpointId(10),
        cordoned: false,
    });
    // Answered at once, so that nothing but its coldness holds them back.
    for id in 1..=400 {
        for sent in stand.ask(ask(id, id)) {
            stand.served(&sent);
        }
        stand.advance(MS);
    }
    assert!(
        stand.sent.iter().any(|sent| sent.target == 10),
        "it gets its share of what it can do"
    );
    assert_eq!(stand.checker.broken, Vec::<String>::new());
}
