use super::*;

#[test]
fn results_wake_the_poller_and_ordered_work_keeps_its_order() {
    let mut reactor = Reactor::new().unwrap();
    let mut workers = Workers::new(&reactor, 9).unwrap();
    (0..50).for_each(|i| workers.in_order(move || i).unwrap());
    workers.run(|| 1_000).unwrap();
    let mut all = Vec::new();
    while all.len() < 51 {
        assert_eq!(reactor.wait(0, Some(20_000_000)).unwrap()[0].key, 9);
        all.extend(workers.results());
    }
    let ordered: Vec<_> = all.iter().copied().filter(|i| *i < 1_000).collect();
    assert_eq!(ordered, (0..50).collect::<Vec<_>>());
    assert!(all.contains(&1_000));
}
