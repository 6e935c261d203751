use super::*;

#[test]
fn the_oldest_slot_is_displaced_when_all_are_taken() {
    let mut slots = Slots::new(3, 100);
    for key in 0..10 {
        let admission = slots.acquire(key as Timestamp, key);
        let displaced = if key < 3 { vec![] } else { vec![key - 3] };
        assert_eq!(
            admission,
            Admission {
                deadline: key as Timestamp + 100,
                displaced
            }
        );
        assert!(slots.len() <= 3);
    }
    assert_eq!(slots.next_deadline(), Some(107));
    assert_eq!(slots.take_expired(108), [7, 8]);
    assert!(!slots.release(7) && slots.release(9) && slots.is_empty());
}

#[test]
fn the_ready_queue_is_fair_and_skips_keys_whose_slot_was_replaced() {
    let mut slots = Slots::new(8, 100);
    (1..=3).for_each(|key| drop(slots.acquire(0, key)));
    [2, 1, 2, 3, 9]
        .into_iter()
        .for_each(|key| slots.mark_ready(key));
    slots.release(1);
    slots.acquire(0, 1);
    assert_eq!(slots.next_ready(), Some(2));
    assert_eq!(
        slots.next_ready(),
        Some(3),
        "the queued entry of key 1 belongs to its released slot"
    );
    assert_eq!(slots.next_ready(), None);
}

#[test]
fn a_reduced_capacity_applies_when_the_next_slot_is_acquired() {
    let mut slots = Slots::new(8, 100);
    (1..=8).for_each(|key| drop(slots.acquire(0, key)));
    slots.set_limits(2, 50);
    let admission = slots.acquire(10, 9);
    assert_eq!(
        (admission.deadline, admission.displaced.len(), slots.len()),
        (60, 7, 2)
    );
    assert_eq!(slots.take_expired(60), [9]);
}
