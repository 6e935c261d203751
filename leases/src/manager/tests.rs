use super::*;

#[test]
fn a_lease_expires_one_duration_after_its_last_renewal_or_a_leader_change() {
    let mut table = LeaseTable::new(1);
    let mut manager = LeaseManager::new(100);
    table.apply(Command::Acquire {
        front: 7,
        sequence: 1,
        lease: 0,
        renews: None,
    });
    assert!(
        manager.poll(0, &table).is_empty() && manager.next_deadline().is_none(),
        "the replica is not the leader"
    );

    manager.set_leader(true);
    assert!(manager.poll(10, &table).is_empty());
    table.apply(Command::Acquire {
        front: 7,
        sequence: 2,
        lease: 0,
        renews: Some(1),
    });
    assert!(manager.poll(90, &table).is_empty());
    assert!(manager.poll(189, &table).is_empty());
    let expire = vec![Command::Expire {
        lease: 0,
        token: 1,
        renewals: 1,
    }];
    assert_eq!(
        (manager.next_deadline(), manager.poll(190, &table)),
        (Some(190), expire.clone())
    );
    assert!(manager.poll(191, &table).is_empty());
    assert_eq!(manager.poll(203, &table), expire, "the proposal is retried");

    manager.set_leader(false);
    assert!(manager.poll(400, &table).is_empty());
    manager.set_leader(true);
    assert!(manager.poll(400, &table).is_empty());
    assert!(manager.poll(499, &table).is_empty());
    assert_eq!(manager.poll(500, &table), expire);
}
