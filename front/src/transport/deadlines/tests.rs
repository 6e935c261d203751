use super::*;

#[test]
fn what_is_due_comes_in_order_and_once() {
    let mut queue = Deadlines::new();
    [(5, 'c'), (3, 'z'), (3, 'a'), (9, 'd')]
        .into_iter()
        .for_each(|(at, entry)| queue.add(at, entry));
    let due: Vec<_> = std::iter::from_fn(|| queue.take(5)).collect();
    assert_eq!((due, queue.next()), (vec!['z', 'a', 'c'], Some(9)));
}
