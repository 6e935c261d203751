use super::*;

const NEEDS: Needs = Needs { percent: 50, most: 3_000_000, spread: 1_000_000 };

#[test]
fn never_without_a_list_and_never_silent_for_ever() {
    let mut ready = Ready::new(0, (0, 10), NEEDS);
    assert_eq!(ready.look(0, 0, 0), Some(Waits::List));
    assert_eq!(ready.look(9_000_000, 0, 0), Some(Waits::List), "no time makes up for a list");
    assert_eq!(ready.look(2_999_999, 9, 4), Some(Waits::Members(4, 5)));
    assert_eq!(ready.look(3_000_000, 9, 0), None, "by then it serves with what there is");
    assert_eq!(ready.look(3_000_001, 9, 0), None);
    assert_eq!(ready.look(3_000_002, 0, 0), Some(Waits::List), "the list was emptied");
    let mut ready = Ready::new(0, (0, 10), NEEDS);
    assert_eq!(
        (ready.look(5, 9, 5), ready.look(6, 9, 0)),
        (None, None),
        "what is lost later is not its own business"
    );
}

#[test]
fn a_fleets_yes_is_spread() {
    let yes = |number| {
        let mut ready = Ready::new(0, (number, 10), NEEDS);
        (0..).step_by(1_000).find(|now| ready.look(*now, 4, 4).is_none()).unwrap()
    };
    assert_eq!((0..10).map(yes).collect::<Vec<_>>(), (0..10).map(|n| n * 100_000).collect::<Vec<_>>());
}
