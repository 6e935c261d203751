use super::*;

fn command(id: &str, what: What) -> Command {
    Command {
        what,
        id: id.into(),
        who: "ops".into(),
        why: "photos".into(),
        all: false,
    }
}

fn put(ledger: &mut Ledger, now: Ms, id: &str) -> Number {
    let Ok(Taken::New(purge)) = ledger.take(now, &command(id, What::Object(7))) else {
        panic!()
    };
    let number = purge.number;
    assert_eq!(ledger.append(ledger.identity, purge), Ok(true));
    number
}

#[test]
fn the_same_id_is_one_purge_and_moments_never_go_back() {
    let mut ledger = Ledger::new(9);
    assert_eq!(put(&mut ledger, 500, "a"), 1);
    assert_eq!(
        ledger.take(600, &command("a", What::Object(7))),
        Ok(Taken::Known(1))
    );
    assert!(matches!(
        ledger.take(600, &command("a", What::Object(8))),
        Err(Refused::Bad(_))
    ));
    put(&mut ledger, 100, "b");
    assert_eq!(
        ledger.get(2).unwrap().at,
        500,
        "the clock went back, the order did not"
    );
}

#[test]
fn a_follower_takes_no_gap_no_foreign_number_and_no_second_content() {
    let mut ledger = Ledger::new(9);
    (0..5).for_each(|i| assert!(put(&mut ledger, i, &i.to_string()) > 0));
    let all = ledger.batch(0).unwrap();
    let mut follower = Ledger::new(9);
    assert_eq!(follower.append(9, all[1].clone()), Err(Refused::Gap));
    assert_eq!(follower.append(8, all[0].clone()), Err(Refused::Foreign));
    all.iter()
        .for_each(|p| assert_eq!(follower.append(9, p.clone()), Ok(true)));
    assert_eq!(
        follower.append(9, all[2].clone()),
        Ok(false),
        "a repeat is harmless"
    );
    let other = Purge {
        what: What::Object(99),
        ..all[2].clone()
    };
    assert_eq!(follower.append(9, other), Err(Refused::Conflict));
    assert_eq!(follower, ledger);
}

#[test]
fn only_what_is_confirmed_and_past_the_horizon_is_forgotten() {
    let mut ledger = Ledger::new(9);
    (0..10).for_each(|i| assert!(put(&mut ledger, i * 100, &i.to_string()) > 0));
    assert_eq!(ledger.compact(0, 10_000), 0, "nobody confirmed");
    assert_eq!(ledger.compact(10, 0), 0, "the horizon has not passed");
    assert_eq!(ledger.compact(6, 401), 5);
    assert_eq!(
        (ledger.base(), ledger.last(), ledger.get(5).is_none()),
        (5, 10, true)
    );
    assert_eq!(ledger.batch(4), None, "it has to begin anew");
    assert_eq!(ledger.batch(7).unwrap().len(), 3);
    assert_eq!(ledger.batch(10).unwrap(), []);
}

#[test]
fn odd_commands_are_refused() {
    let ledger = Ledger::new(9);
    for what in [
        What::Tag("".into()),
        What::Tag("a,b".into()),
        What::Tag("x".repeat(65).into()),
        What::Pattern("*".into()),
        What::Pattern("**/*".into()),
        What::Pattern("[".into()),
        What::Pattern("a".repeat(201).into()),
    ] {
        assert!(
            matches!(
                ledger.take(1, &command("a", what.clone())),
                Err(Refused::Bad(_))
            ),
            "{what:?}"
        );
    }
    let all = Command {
        all: true,
        ..command("a", What::Pattern("*".into()))
    };
    assert!(matches!(ledger.take(1, &all), Ok(Taken::New(_))));
    assert!(ledger.take(1, &command("", What::Object(1))).is_err());
    assert!(ledger.take(1, &command("a\nb", What::Object(1))).is_err());
}
