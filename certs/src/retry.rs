//! How long to wait after a failure: by its cause, and by how often it came before.
use crate::{hash_below, Micros, SECOND};

const MINUTE: Micros = 60 * SECOND;
const HOUR: Micros = 60 * MINUTE;

/// Why something did not come about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// The authority can't be reached, is too slow, or says that it is in trouble.
    Unreachable,
    /// It said something that can't be used, or something went wrong with this order alone.
    BadResponse,
    /// It said that this was too much (`rateLimited`, 429).
    RateLimited,
    /// It won't issue for a name, or could not see that it is ours.
    Refused,
    /// The account is not good enough: terms, external account, or it is barred.
    AccountRejected,
    /// The authority does not know the account any more.
    AccountUnknown,
    /// The order takes its time; it is looked at again and not made anew.
    Processing,
}

impl Cause {
    /// The field's word for it, as in logs and `cranesill certs`.
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

    /// Whether it holds for all certificates and not for one alone.
    pub fn affects_all(self) -> bool {
        matches!(
            self,
            Cause::Unreachable | Cause::AccountRejected | Cause::AccountUnknown
        )
    }

    /// The first wait and the longest. A name that is refused stays so until somebody mends it; an authority that
    /// is away is back of itself.
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

/// A time to come back that the authority named is heeded up to this.
pub const MAX_RETRY_AFTER: Micros = 7 * 24 * HOUR;

/// How long to wait after the `failures`th failure in a row (1 up), with up to a quarter more that depends on
/// `salt` alone, so that those that failed together do not come back together. What the authority named
/// (`retry_after`, microseconds) is the least.
pub fn retry_delay(cause: Cause, failures: u32, retry_after: Option<Micros>, salt: &str) -> Micros {
    let (first, max) = cause.bounds();
    let delay = first
        .saturating_mul(1 << failures.saturating_sub(1).min(20))
        .min(max);
    let delay = delay + hash_below(delay / 4, &[salt, &failures.to_string()]);
    match (retry_after.map(|t| t.min(MAX_RETRY_AFTER)), cause) {
        // Its word is all there is to a limit.
        (Some(retry_after), Cause::RateLimited) => {
            retry_after + hash_below(retry_after / 20 + SECOND, &[salt])
        }
        (Some(retry_after), _) => retry_after.max(delay),
        (None, _) => delay,
    }
}

#[cfg(test)]
mod tests;
