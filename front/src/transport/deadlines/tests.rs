use super::*;

#[test]
fn due_entries_are_returned_once_and_in_order() {
    let mut queue = Deadlines::new();
    [(5, 'c'), (3, 'z'), (3, 'a'), (9, 'd')]
        .into_iter()
        .for_each(|(at, entry)| queue.add(at, entry));
    let due: Vec<_> = std::iter::from_fn(|| queue.take(5)).collect();
    assert_eq!((due, queue.next()), (vec!['z', 'a', 'c'], Some(9)));
}
