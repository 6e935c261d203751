use super::*;
use crate::routing::{FillInstructions, TransactionId};
use cranesill::api::RequestId;

const ENDPOINT: EndpointId = EndpointId(1);

fn fetch(source: Option<EndpointId>) -> Fetch {
    let fill = source.map(|source| FillInstructions {
        source: Some(source),
        rank: 0,
        max_age: 0,
        coalesce: false,
        cached_only: false,
        revalidate: false,
    });
    Fetch {
        transaction: TransactionId::new("0000000000000001").unwrap(),
        class: "page-bits".into(),
        object: None,
        part: 0,
        deadline: 60_000_000,
        write_by: Timestamp::MAX,
        fill,
        cached_tag: None,
        idempotency_key: None,
        write: false,
        execution: None,
        body: b"".as_slice().into(),
    }
}

fn attempt(n: u64) -> AttemptId {
    AttemptId {
        request: RequestId(n),
        number: 0,
    }
}

#[test]
fn waiting_attempts_are_retried_together_and_keep_their_deadlines() {
    let mut redials = Redials::default();
    redials.wait(
        0,
        Target {
            attempt: attempt(1),
            endpoint: ENDPOINT,
            write_deadline: 400_000,
        },
        &fetch(None),
    );
    redials.wait(
        1_000,
        Target {
            attempt: attempt(2),
            endpoint: ENDPOINT,
            write_deadline: 500_000,
        },
        &fetch(None),
    );
    assert_eq!(redials.due(), Some(RETRY_INTERVAL));
    assert!(redials.take(RETRY_INTERVAL - 1).is_empty());
    let targets: Vec<_> = redials
        .take(RETRY_INTERVAL)
        .into_iter()
        .map(|(target, _)| target)
        .collect();
    assert_eq!(
        targets,
        [
            Target {
                attempt: attempt(1),
                endpoint: ENDPOINT,
                write_deadline: 400_000
            },
            Target {
                attempt: attempt(2),
                endpoint: ENDPOINT,
                write_deadline: 500_000
            }
        ]
    );
    assert_eq!(redials.due(), None);
}

#[test]
fn cancelled_and_excluded_attempts_are_not_retried() {
    let mut redials = Redials::default();
    redials.wait(
        0,
        Target {
            attempt: attempt(1),
            endpoint: ENDPOINT,
            write_deadline: 400_000,
        },
        &fetch(None),
    );
    redials.wait(
        0,
        Target {
            attempt: attempt(2),
            endpoint: ENDPOINT,
            write_deadline: 400_000,
        },
        &fetch(Some(EndpointId(2))),
    );
    redials.wait(
        0,
        Target {
            attempt: attempt(3),
            endpoint: ENDPOINT,
            write_deadline: 400_000,
        },
        &fetch(None),
    );
    assert!(redials.remove(attempt(1)) && !redials.remove(attempt(1)));
    assert_eq!(redials.exclude(EndpointId(2)), [attempt(2)]);
    assert_eq!(redials.take(RETRY_INTERVAL).len(), 1);
}

#[test]
fn attempts_do_not_wait_for_an_endpoint_that_failed_too_long_until_its_failures_are_forgotten() {
    let mut redials = Redials::default();
    let tries = (0..MAX_FAILING_TIME / 50_000).map(|n| n * 50_000);
    assert!(tries
        .into_iter()
        .all(|now| redials.record_failure(now, ENDPOINT)));
    assert!(!redials.record_failure(MAX_FAILING_TIME, ENDPOINT));
    assert!(
        redials.record_failure(MAX_FAILING_TIME + FAILURE_RESET_INTERVAL + 1, ENDPOINT),
        "a later failure starts a new period"
    );
    redials.record_success(ENDPOINT);
    assert!(redials.record_failure(MAX_FAILING_TIME + FAILURE_RESET_INTERVAL + 2, ENDPOINT));
}
