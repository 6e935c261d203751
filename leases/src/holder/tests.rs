use super::*;

const LEASE_DURATION: Micros = 1_000;

fn holder() -> LeaseHolder {
    LeaseHolder::new(3, LEASE_DURATION, 0, [(0, 100)])
}

/// Polls the holder, and returns the sequence number and the renewed token of the proposed request.
fn request(holder: &mut LeaseHolder, now: Timestamp) -> (u64, Option<FencingToken>) {
    match holder.poll(now)[..] {
        [Action::Propose(Command::Acquire {
            front: 3,
            sequence,
            lease: 0,
            renews,
        })] => (sequence, renews),
        ref other => panic!("{other:?}"),
    }
}

fn granted(sequence: u64, token: FencingToken) -> Outcome {
    Outcome::Granted {
        front: 3,
        sequence,
        lease: 0,
        token,
        renewals: 0,
    }
}

#[test]
fn a_lease_expires_one_usable_duration_after_its_request_was_sent() {
    let mut holder = holder();
    assert!(holder.poll(99).is_empty() && holder.authorize(99, 0, 99).is_err());
    let (sequence, renews) = request(&mut holder, 100);
    assert_eq!(renews, None);
    // The outcome arrives 300 us after the request was sent.
    assert_eq!(
        holder.apply(400, granted(sequence, 5)),
        [Action::Acquired(0, 5)]
    );
    let expires_at = 100 + LEASE_DURATION - LEASE_DURATION * MAX_DRIFT_PER_MILLE / 1_000;
    assert_eq!(holder.authorize(expires_at - 1, 0, expires_at), Ok(5));
    assert!(
        holder.authorize(expires_at - 1, 0, expires_at + 1).is_err(),
        "the operation would end after the expiry"
    );
    // A resumed process must not be authorized by an expired lease, even before it polls.
    assert!(
        holder.authorize(expires_at, 0, expires_at).is_err()
            && holder
                .authorize(expires_at + 5_000, 0, expires_at + 5_001)
                .is_err()
    );
    assert!(holder
        .poll(expires_at + 5_000)
        .contains(&Action::Lost(0, 5)));
}

#[test]
fn only_the_outcome_of_the_last_request_counts_and_only_within_its_lease_duration() {
    let mut holder = holder();
    let (first, _) = request(&mut holder, 100);
    let (second, _) = request(&mut holder, 100 + LEASE_DURATION / 3);
    assert!(
        holder.apply(500, granted(first, 5)).is_empty(),
        "only the last request counts"
    );
    assert!(holder.authorize(500, 0, 501).is_err());
    assert!(holder
        .apply(100 + 2 * LEASE_DURATION, granted(second, 5))
        .is_empty());
    assert!(holder
        .authorize(100 + 2 * LEASE_DURATION, 0, 101 + 2 * LEASE_DURATION)
        .is_err());
}

#[test]
fn a_release_waits_for_operations_and_is_repeated_until_confirmed_before_any_new_request() {
    let mut holder = holder();
    let (sequence, _) = request(&mut holder, 100);
    holder.apply(110, granted(sequence, 5));
    assert_eq!(holder.authorize(150, 0, 600), Ok(5));
    assert_eq!(holder.release_all(200), [Action::Lost(0, 5)]);
    assert!(
        holder.authorize(201, 0, 202).is_err()
            && holder.poll(599).is_empty()
            && !holder.is_released()
    );
    let release = [Action::Propose(Command::Release {
        front: 3,
        lease: 0,
        token: 5,
    })];
    assert_eq!(holder.poll(600), release);
    assert!(holder.poll(700).is_empty());
    assert_eq!(
        holder.poll(600 + LEASE_DURATION / 5),
        release,
        "an unconfirmed release is repeated"
    );
    holder.apply(900, Outcome::Freed(0));
    assert!(
        holder.is_released() && holder.poll(5_000).is_empty() && holder.next_deadline().is_none()
    );
    // After a failure, the lease is not requested during the backoff and before its release is confirmed.
    let mut failing = LeaseHolder::new(3, LEASE_DURATION, 0, [(0, 100)]);
    let (sequence, _) = request(&mut failing, 100);
    failing.apply(110, granted(sequence, 6));
    assert_eq!(failing.authorize(120, 0, 1_080), Ok(6));
    assert_eq!(failing.record_failure(130, 0), [Action::Lost(0, 6)]);
    // The lease and the backoff end before the authorized operation.
    let mut actions = Vec::new();
    (131..1_080).for_each(|now| actions.extend(failing.poll(now)));
    assert_eq!(actions, []);
    assert!(matches!(
        failing.poll(1_131)[..],
        [Action::Propose(Command::Release { .. })]
    ));
    assert!(
        failing.poll(1_135).is_empty(),
        "no request before the release is confirmed"
    );
}
