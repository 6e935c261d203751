use super::*;

#[test]
fn rests_grow_up_to_a_bound_and_begin_anew_after_an_accepted_connection() {
    let mut acceptor = AcceptBackoff::default();
    let mut now = 0;
    let mut rests = Vec::new();
    for _ in 0..5 {
        acceptor.begin_turn();
        let AcceptRetry::At(until) = acceptor.failed(now, AcceptFault::Other) else {
            panic!("no rest")
        };
        rests.push(until - now);
        assert!(acceptor.is_paused());
        now = until;
        acceptor.resume();
    }
    assert_eq!(rests, [5_000, 10_000, 20_000, 20_000, 20_000]);
    acceptor.accepted(now);
    assert_eq!(
        acceptor.failed(now, AcceptFault::Other),
        AcceptRetry::At(now + MIN_REST)
    );
}

#[test]
fn a_connection_that_is_gone_is_passed_over_but_not_without_end() {
    let mut acceptor = AcceptBackoff::default();
    acceptor.begin_turn();
    for _ in 1..MAX_FAILURES_IN_TURN {
        assert_eq!(
            acceptor.failed(0, AcceptFault::Connection),
            AcceptRetry::Now
        );
    }
    assert_eq!(
        acceptor.failed(0, AcceptFault::Connection),
        AcceptRetry::At(MIN_REST)
    );
}

#[test]
fn the_wait_of_a_connection_counts_from_the_first_failure_until_the_queue_was_empty() {
    let mut acceptor = AcceptBackoff::default();
    assert_eq!(acceptor.accepted(1_000_000), 0);
    acceptor.failed(1_000_000, AcceptFault::Other);
    acceptor.failed(1_200_000, AcceptFault::Other);
    assert_eq!(acceptor.accepted(1_300_000), 300_000 - UNCHARGED);
    assert_eq!(
        acceptor.accepted(1_300_000),
        300_000 - UNCHARGED,
        "the next one may have waited as long"
    );
    assert!(!acceptor.is_lasting(1_300_000) && acceptor.is_lasting(2_000_000));
    acceptor.emptied();
    assert_eq!(acceptor.accepted(1_400_000), 0);
    assert!(!acceptor.is_lasting(9_000_000));
}
