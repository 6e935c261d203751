//! Why something did not come about.
use crate::retry::Cause;
use crate::Micros;

/// Why an order failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// By kind.
    pub cause: Cause,
    /// Names that were refused.
    pub refused: Vec<String>,
    /// When the authority wants to be asked again, in microseconds from now.
    pub retry_after: Option<Micros>,
    /// One line.
    pub text: String,
    /// The order is still there and is taken up next time.
    pub resumable: bool,
}
