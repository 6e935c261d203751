use super::*;

#[test]
fn pauses_double_up_to_a_maximum_and_reset_after_an_accepted_connection() {
    let mut backoff = AcceptBackoff::default();
    let mut now = 0;
    let mut pauses = Vec::new();
    for _ in 0..5 {
        backoff.begin_turn();
        let AcceptRetry::At(until) = backoff.failed(now, AcceptFault::Other) else {
            panic!("no pause")
        };
        pauses.push(until - now);
        assert!(backoff.is_paused());
        now = until;
        backoff.resume();
    }
    assert_eq!(pauses, [5_000, 10_000, 20_000, 20_000, 20_000]);
    backoff.accepted(now);
    assert_eq!(
        backoff.failed(now, AcceptFault::Other),
        AcceptRetry::At(now + MIN_PAUSE)
    );
}

#[test]
fn aborted_connections_are_retried_at_once_up_to_a_limit() {
    let mut backoff = AcceptBackoff::default();
    backoff.begin_turn();
    for _ in 1..MAX_FAILURES_IN_TURN {
        assert_eq!(backoff.failed(0, AcceptFault::Connection), AcceptRetry::Now);
    }
    assert_eq!(
        backoff.failed(0, AcceptFault::Connection),
        AcceptRetry::At(MIN_PAUSE)
    );
}

#[test]
fn accept_delay_counts_from_the_first_failure_until_the_queue_is_empty() {
    let mut backoff = AcceptBackoff::default();
    assert_eq!(backoff.accepted(1_000_000), 0);
    backoff.failed(1_000_000, AcceptFault::Other);
    backoff.failed(1_200_000, AcceptFault::Other);
    assert_eq!(backoff.accepted(1_300_000), 300_000 - UNCHARGED_DELAY);
    assert_eq!(
        backoff.accepted(1_300_000),
        300_000 - UNCHARGED_DELAY,
        "a second connection may have waited as long"
    );
    assert!(!backoff.is_lasting(1_300_000) && backoff.is_lasting(2_000_000));
    backoff.emptied();
    assert_eq!(backoff.accepted(1_400_000), 0);
    assert!(!backoff.is_lasting(9_000_000));
}
