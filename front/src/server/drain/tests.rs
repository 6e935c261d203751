use super::*;

#[test]
fn shutdown_ends_before_the_kill_for_any_class_wait() {
    for waits in [
        &[5_000_000, 2_500_000][..],
        &[1_500_000],
        &[400_000],
        &[50_000],
        &[0],
        &[],
    ] {
        for handed_over in [false, true] {
            let longest = waits
                .iter()
                .copied()
                .max()
                .filter(|w| *w > 0)
                .unwrap_or(3_000_000)
                .min(3_000_000);
            let mut drain = Drain::new(7, waits, handed_over);
            assert!(drain.end_at < 7 + longest + 700_000);
            // Clients have time to read the failures of open requests.
            assert!(drain.reject_at <= drain.close_at && drain.close_at + 200_000 <= drain.end_at);
            assert!(drain.deadlines().iter().all(|at| *at <= drain.end_at));
            let at = drain.close_at;
            assert_eq!(drain.begin_closing(at, true, true), Some(drain.end_at));
            assert_eq!(drain.stage(drain.end_at), Stage::Ended);
        }
    }
}

#[test]
fn closing_starts_once_nothing_is_pending_and_later_after_a_handover() {
    let mut alone = Drain::new(0, &[5_000_000], false);
    assert_eq!(
        (alone.stage(999_999), alone.stage(1_000_000)),
        (Stage::Serving, Stage::Rejecting)
    );
    assert_eq!(
        alone.begin_closing(999_999, false, true),
        None,
        "requests are still accepted"
    );
    assert_eq!(
        alone.begin_closing(1_000_000, true, true),
        None,
        "a request is unfinished"
    );
    assert_eq!(alone.begin_closing(1_200_000, false, true), Some(1_400_000));
    assert_eq!(
        alone.begin_closing(1_200_001, false, true),
        None,
        "closing starts only once"
    );
    assert_eq!(
        (alone.stage(1_399_999), alone.stage(1_400_000)),
        (Stage::Closing, Stage::Ended)
    );
    let mut handed_over = Drain::new(0, &[5_000_000], true);
    assert_eq!(handed_over.begin_closing(2_799_999, false, true), None);
    assert_eq!(
        handed_over.clone().begin_closing(1_000_000, false, false),
        Some(1_200_000),
        "all clients have disconnected"
    );
    assert!(handed_over.begin_closing(2_800_000, false, true).is_some());
}

// Guards against an exit while a client still receives its responses, and against one that comes after the kill.
#[test]
fn the_process_exits_once_responses_are_received_and_in_time_if_they_are_not() {
    let mut drain = Drain::new(0, &[5_000_000], false);
    assert!(
        !drain.is_over(1_200_000, || false),
        "closing has not started"
    );
    drain.begin_closing(1_200_000, false, true);
    assert!(!drain.is_over(1_399_999, || false));
    assert!(drain.is_over(1_400_000, || false));
    assert!(!drain.is_over(1_400_000, || true));
    assert!(!drain.is_over(drain.end_at - 1, || true));
    assert!(drain.is_over(drain.end_at, || true));
}
