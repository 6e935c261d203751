use super::*;

fn acquire(front: FrontId, sequence: u64) -> Command {
    renew(front, sequence, None)
}

fn renew(front: FrontId, sequence: u64, renews: Option<FencingToken>) -> Command {
    Command::Acquire {
        front,
        sequence,
        lease: 0,
        renews,
    }
}

fn granted(front: FrontId, sequence: u64, token: FencingToken, renewals: u64) -> Option<Outcome> {
    Some(Outcome::Granted {
        front,
        sequence,
        lease: 0,
        token,
        renewals,
    })
}

fn denied(front: FrontId, sequence: u64, reason: Denial) -> Option<Outcome> {
    Some(Outcome::Denied {
        front,
        sequence,
        lease: 0,
        reason,
    })
}

#[test]
fn one_front_holds_a_lease_under_an_increasing_token_and_repeated_requests_change_nothing() {
    let mut table = LeaseTable::new(1);
    assert_eq!(table.apply(acquire(7, 1)), granted(7, 1, 1, 0));
    assert_eq!(table.apply(acquire(8, 1)), denied(8, 1, Denial::HeldBy(7)));
    assert_eq!(table.apply(renew(7, 2, Some(1))), granted(7, 2, 1, 1));
    assert_eq!(
        table.apply(renew(7, 2, Some(1))),
        denied(7, 2, Denial::StaleRequest)
    );
    // A front that has released the lease or was restarted cannot renew it, since a release may be in flight.
    assert_eq!(table.apply(acquire(7, 3)), denied(7, 3, Denial::HeldBy(7)));
    // An expiry proposed before the last renewal has no effect.
    assert_eq!(
        table.apply(Command::Expire {
            lease: 0,
            token: 1,
            renewals: 0
        }),
        None
    );
    assert_eq!(
        table.apply(Command::Expire {
            lease: 0,
            token: 1,
            renewals: 1
        }),
        Some(Outcome::Freed(0))
    );
    assert_eq!(table.apply(acquire(8, 2)), granted(8, 2, 2, 0));
    // A delayed release of an earlier grant has no effect.
    assert_eq!(
        table.apply(Command::Release {
            front: 7,
            lease: 0,
            token: 1
        }),
        None
    );
    assert_eq!(
        table.grant_of(0),
        Some(Grant {
            holder: 8,
            token: 2,
            renewals: 0
        })
    );
    assert_eq!(
        table.apply(Command::Acquire {
            front: 7,
            sequence: 9,
            lease: 5,
            renews: None
        }),
        Some(Outcome::Denied {
            front: 7,
            sequence: 9,
            lease: 5,
            reason: Denial::Unknown
        })
    );
}

#[test]
fn operators_can_transfer_and_suspend_a_lease() {
    let mut table = LeaseTable::new(1);
    table.apply(acquire(7, 1));
    table.apply(Command::Transfer { lease: 0, to: 9 });
    assert_eq!(
        table.apply(renew(7, 2, Some(1))),
        denied(7, 2, Denial::ReservedFor(9))
    );
    table.apply(Command::Release {
        front: 7,
        lease: 0,
        token: 1,
    });
    assert_eq!(
        table.apply(acquire(8, 1)),
        denied(8, 1, Denial::ReservedFor(9))
    );
    assert_eq!(table.apply(acquire(9, 1)), granted(9, 1, 2, 0));
    table.apply(Command::Suspend {
        lease: 0,
        suspended: true,
    });
    assert_eq!(
        table.apply(renew(9, 2, Some(2))),
        denied(9, 2, Denial::Suspended)
    );
    table.apply(Command::Expire {
        lease: 0,
        token: 2,
        renewals: 0,
    });
    assert_eq!(table.apply(acquire(7, 3)), denied(7, 3, Denial::Suspended));
    table.apply(Command::Suspend {
        lease: 0,
        suspended: false,
    });
    assert_eq!(table.apply(acquire(7, 4)), granted(7, 4, 3, 0));
}
