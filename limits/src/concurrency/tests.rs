use super::*;

#[test]
fn a_full_house_displaces_the_oldest_and_no_more_are_ever_held() {
    let mut places = Places::new(3, 100);
    for who in 0..10 {
        let (due, displaced) = places.take(who as Time, who);
        assert_eq!(due, who as Time + 100);
        assert_eq!(displaced, if who < 3 { vec![] } else { vec![who - 3] });
        assert!(places.len() <= 3);
    }
    assert_eq!(places.next(), Some(107));
    assert_eq!(places.overdue(108), [7, 8]);
    assert!(!places.leave(7) && places.leave(9) && places.is_empty());
}

#[test]
fn turns_go_round_and_skip_who_has_left_even_if_the_key_is_taken_again() {
    let mut places = Places::new(8, 100);
    (1..=3).for_each(|who| drop(places.take(0, who)));
    [2, 1, 2, 3, 9].into_iter().for_each(|who| places.wants(who));
    places.leave(1);
    places.take(0, 1);
    assert_eq!(places.turn(), Some(2));
    assert_eq!(places.turn(), Some(3), "the turn of the first 1 is not the second's");
    assert_eq!(places.turn(), None);
}

#[test]
fn fewer_places_by_a_reload_are_reached_with_the_next_arrival() {
    let mut places = Places::new(8, 100);
    (1..=8).for_each(|who| drop(places.take(0, who)));
    places.set(2, 50);
    let (due, displaced) = places.take(10, 9);
    assert_eq!((due, displaced.len(), places.len()), (60, 7, 2));
    assert_eq!(places.overdue(60), [9]);
}
