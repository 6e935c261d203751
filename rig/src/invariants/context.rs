//! The part of a history that explains a violation.
use super::Violation;
use crate::history::Observation;
use std::time::Duration;

/// Formats the observations about the request of a violation, and faults from one second before it.
pub fn context(history: &[(Duration, Observation)], violation: &Violation) -> String {
    let (from, to) = (
        violation.at.saturating_sub(Duration::from_secs(1)),
        violation.at + Duration::from_millis(100),
    );
    let front = history.iter().find_map(|(_, seen)| match *seen {
        Observation::ClientRequest { front, txn } if txn == violation.txn => Some(front),
        _ => None,
    });
    let related = |seen: &Observation| match *seen {
        Observation::EventSent(to, _) => (Some(to) != front).then_some(false),
        Observation::Attempt { txn, .. } | Observation::ClientRequest { txn, .. } => {
            Some(txn == violation.txn)
        }
        Observation::Executed(txn)
        | Observation::Aborted(_, txn)
        | Observation::ConnectionLost(_, txn)
        | Observation::Responded(_, txn, _) => Some(txn == violation.txn),
        Observation::ClientResponse(_, txn, _) | Observation::ClientUnanswered(_, txn) => {
            Some(txn == violation.txn)
        }
        Observation::Call
        | Observation::Subscribed(_)
        | Observation::SubscriptionEnded
        | Observation::Accepted(_)
        | Observation::ConnectionRejected(_) => Some(false),
        _ => None,
    };
    let shown = history
        .iter()
        .filter(|(at, seen)| related(seen).unwrap_or_else(|| (from..to).contains(at)));
    shown
        .map(|(at, seen)| format!("{at:?} {seen:?}\n"))
        .collect()
}
