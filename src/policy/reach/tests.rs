use super::*;

const IDLE: Micros = 1_000;

fn reach(at_most: usize) -> Reach {
    let mut reach = Reach::default();
    reach.set_limits(at_most, IDLE);
    reach
}

#[test]
fn it_is_full_while_as_many_are_in_use() {
    let mut reach = reach(2);
    reach.sent(0, 7);
    reach.sent(10, 7);
    assert!(!reach.is_full());
    reach.sent(20, 9);
    assert!(reach.is_full());
    assert_eq!(reach.places().collect::<Vec<_>>(), [7, 9]);
    // The connection to the first is closed for lack of use.
    reach.expire(10 + IDLE - 1);
    assert!(reach.is_full());
    reach.expire(10 + IDLE);
    assert!(!reach.is_full());
    assert_eq!(reach.places().collect::<Vec<_>>(), [9]);
}

#[test]
fn one_that_is_forgotten_makes_room() {
    let mut reach = reach(1);
    reach.sent(0, 3);
    assert!(reach.is_full());
    reach.forget(3);
    assert!(!reach.is_full());
}

#[test]
fn without_a_limit_it_is_never_full_and_keeps_nothing() {
    let mut reach = reach(0);
    (0..1_000).for_each(|place| reach.sent(0, place));
    assert!(!reach.is_full());
    assert_eq!(reach.places().count(), 0);
}

#[test]
fn its_share_of_a_cache_is_wider_once_each_router_keeps_to_some() {
    let mut reach = reach(4);
    (0..3).for_each(|place| reach.sent(0, place));
    assert_eq!(reach.widening(0, 100), 1.0);
    reach.sent(0, 3);
    assert_eq!(reach.widening(0, 100), 25.0);
    assert_eq!(reach.widening(9, 100), 1.0);
    assert_eq!(reach.widening(0, 2), 1.0);
}
