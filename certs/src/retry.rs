//! Delays before the next attempt, by the cause of a failure and the number of failures in a row.
use crate::{hash_below, Micros, SECOND};

const MINUTE: Micros = 60 * SECOND;
const HOUR: Micros = 60 * MINUTE;

/// The cause of a failure, which determines the retry delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// The authority cannot be reached, did not respond in time, or reported an internal error.
    Unreachable,
    /// The response cannot be used, or another error affects this order alone.
    BadResponse,
    /// The authority limits requests (`rateLimited`, status 429).
    RateLimited,
    /// The authority does not issue for a name, or its validation of the name failed.
    Refused,
    /// The account is rejected: terms of service, missing external account, or deactivation.
    AccountRejected,
    /// The account no longer exists at the authority.
    AccountUnknown,
    /// The authority has not finished the order in time. The next attempt polls the same order.
    Processing,
}

impl Cause {
    /// The name of the cause in logs and in the output of `cranesill certs`.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::Unreachable => "authority-unreachable",
            Cause::BadResponse => "bad-answer",
            Cause::RateLimited => "rate-limited",
            Cause::Refused => "refused",
            Cause::AccountRejected => "account",
            Cause::AccountUnknown => "account-unknown",
            Cause::Processing => "processing",
        }
    }

    /// Whether the cause affects all certificates.
    pub fn affects_all(self) -> bool {
        matches!(
            self,
            Cause::Unreachable | Cause::AccountRejected | Cause::AccountUnknown
        )
    }

    /// Minimum and maximum delay. They are longer for a refused name, which an operator has to fix, than for an
    /// unreachable authority, which usually recovers without intervention.
    fn bounds(self) -> (Micros, Micros) {
        match self {
            Cause::Unreachable => (10 * SECOND, 30 * MINUTE),
            Cause::BadResponse => (2 * MINUTE, 6 * HOUR),
            Cause::RateLimited => (HOUR, 24 * HOUR),
            Cause::Refused => (HOUR, 24 * HOUR),
            Cause::AccountRejected => (10 * MINUTE, 12 * HOUR),
            Cause::AccountUnknown => (SECOND, HOUR),
            Cause::Processing => (MINUTE, HOUR),
        }
    }
}

/// Upper limit for a delay that the authority requests.
pub const MAX_RETRY_AFTER: Micros = 7 * 24 * HOUR;

/// Returns the delay after the given number of failures in a row (at least 1): exponential backoff plus up to a quarter
/// of jitter derived from `salt`, which spreads the retries of orders that failed together. The delay requested by the
/// authority (`retry_after`, microseconds) is a lower bound.
pub fn retry_delay(cause: Cause, failures: u32, retry_after: Option<Micros>, salt: &str) -> Micros {
    let (min, max) = cause.bounds();
    let delay = min
        .saturating_mul(1 << failures.saturating_sub(1).min(20))
        .min(max);
    let delay = delay + hash_below(delay / 4, &[salt, &failures.to_string()]);
    match (retry_after.map(|t| t.min(MAX_RETRY_AFTER)), cause) {
        // The authority knows its own limit: its delay replaces the backoff.
        (Some(retry_after), Cause::RateLimited) => {
            retry_after + hash_below(retry_after / 20 + SECOND, &[salt])
        }
        (Some(retry_after), _) => retry_after.max(delay),
        (None, _) => delay,
    }
}

#[cfg(test)]
mod tests;
