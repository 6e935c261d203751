//! The failure of an order or of the account setup.
use crate::retry::Cause;
use crate::Micros;

/// Why an order or the account setup failed, and how it may be retried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Determines the delay before the next attempt.
    pub cause: Cause,
    /// Names for which the authority refused to issue.
    pub refused: Vec<String>,
    /// The delay requested by the authority (`Retry-After`), in microseconds.
    pub retry_after: Option<Micros>,
    /// Description in one line, for logs and operators.
    pub text: String,
    /// The order still exists at the authority, and the next attempt continues it.
    pub resumable: bool,
}
