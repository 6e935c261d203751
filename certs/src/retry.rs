//! How long to wait after a failure: by its cause, and by how often it came before.
use crate::{share, Micros, SECOND};

const MINUTE: Micros = 60 * SECOND;
const HOUR: Micros = 60 * MINUTE;

/// Why something did not come about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// The authority can't be reached, is too slow, or says that it is in trouble.
    Unreachable,
    /// It said something that can't be used, or something went wrong with this order alone.
    Broken,
    /// It said that this was too much (`rateLimited`, 429).
    Limited,
    /// It won't issue for a name, or could not see that it is ours.
    Refused,
    /// The account is not good enough: terms, external account, or it is barred.
    Account,
    /// The authority does not know the account any more.
    Unknown,
    /// The order takes its time; it is looked at again and not made anew.
    Slow,
}

impl Cause {
    /// The field's word for it, as in logs and `cranesill certs`.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::Unreachable => "authority-unreachable",
            Cause::Broken => "bad-answer",
            Cause::Limited => "rate-limited",
            Cause::Refused => "refused",
            Cause::Account => "account",
            Cause::Unknown => "account-unknown",
            Cause::Slow => "processing",
        }
    }

    /// Whether it holds for all certificates and not for one alone.
    pub fn common(self) -> bool {
        matches!(self, Cause::Unreachable | Cause::Account | Cause::Unknown)
    }

    /// The first wait and the longest. A name that is refused stays so until somebody mends it; an authority that
    /// is away is back of itself.
    fn bounds(self) -> (Micros, Micros) {
        match self {
            Cause::Unreachable => (10 * SECOND, 30 * MINUTE),
            Cause::Broken => (2 * MINUTE, 6 * HOUR),
            Cause::Limited => (HOUR, 24 * HOUR),
            Cause::Refused => (HOUR, 24 * HOUR),
            Cause::Account => (10 * MINUTE, 12 * HOUR),
            Cause::Unknown => (SECOND, HOUR),
            Cause::Slow => (MINUTE, HOUR),
        }
    }
}

/// A time to come back that the authority named is heeded up to this.
pub const TOLD_MOST: Micros = 7 * 24 * HOUR;

/// How long to wait after the `failures`th failure in a row (1 up), with up to a quarter more that depends on
/// `salt` alone, so that those that failed together do not come back together. What the authority named
/// (`told`, microseconds) is the least.
pub fn wait(cause: Cause, failures: u32, told: Option<Micros>, salt: &str) -> Micros {
    let (first, most) = cause.bounds();
    let grown = first
        .saturating_mul(1 << failures.saturating_sub(1).min(20))
        .min(most);
    let grown = grown + share(grown / 4, &[salt, &failures.to_string()]);
    match (told.map(|t| t.min(TOLD_MOST)), cause) {
        // Its word is all there is to a limit.
        (Some(told), Cause::Limited) => told + share(told / 20 + SECOND, &[salt]),
        (Some(told), _) => told.max(grown),
        (None, _) => grown,
    }
}

#[cfg(test)]
mod tests;
