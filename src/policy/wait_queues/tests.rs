use super::*;

#[test]
fn queues_keep_their_order_and_empty_queues_are_removed() {
    let mut queues = WaitQueues::default();
    [3, 1, 2].iter().for_each(|n| queues.add('a', *n));
    queues.remove('a', &2);
    let mut queue = queues.take(&'a');
    assert_eq!(queue.pop_first(), Some(1));
    queues.add('a', 5);
    queues.put_back('a', queue);
    assert_eq!(queues.take(&'a').into_iter().collect::<Vec<_>>(), [3, 5]);
    assert!(queues.0.is_empty());
}
