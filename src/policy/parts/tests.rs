use super::*;

#[test]
fn a_bucket_fills_to_its_most_and_may_be_overdrawn() {
    let mut bucket = Bucket::new(100);
    bucket.refill(110, 2.0, 15.0);
    assert_eq!(bucket.level, 15.0);
    bucket.level -= 40.0;
    bucket.refill(115, 2.0, 15.0);
    assert_eq!(bucket.level, -15.0);
}

#[test]
fn a_count_forgets_a_key_with_its_last() {
    let mut count = Count::default();
    count.add(7);
    count.add(7);
    count.remove(&7);
    assert!(count.contains(&7));
    count.remove(&7);
    count.remove(&7);
    assert!(!count.contains(&7));
}

#[test]
fn queues_keep_their_order_and_leave_nothing_behind() {
    let mut queues = Queues::default();
    [3, 1, 2].iter().for_each(|n| queues.add('a', *n));
    queues.remove('a', &2);
    let mut queue = queues.take(&'a');
    assert_eq!(queue.pop_first(), Some(1));
    queues.add('a', 5);
    queues.put_back('a', queue);
    assert_eq!(queues.take(&'a').into_iter().collect::<Vec<_>>(), [3, 5]);
    assert!(queues.0.is_empty());
}

#[test]
fn a_timer_is_due_once() {
    let mut timers = Timers::default();
    let (a, b) = (timers.set("a"), timers.set("b"));
    assert_ne!(a, b);
    assert_eq!(
        (timers.take(b), timers.take(b), timers.take(a)),
        (Some("b"), None, Some("a"))
    );
}

#[test]
fn keys_are_remembered_for_one_to_two_spans() {
    let mut seen = Seen::default();
    // Guards against a restart that makes light of all that was kept for good reason before.
    assert!(
        seen.again(0, 50, 50) && seen.again(7, 99, 50),
        "it can't tell what is new yet"
    );
    assert!(!seen.again(1, 100, 50));
    assert!(seen.again(1, 140, 50));
    assert!(seen.again(1, 160, 50));
    assert!(!seen.again(2, 160, 50));
    assert!(!seen.again(1, 300, 50) && seen.old.is_empty());
}
