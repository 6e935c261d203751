//! A retry budget: additional attempts as a share of the requests.
//!
//! Without it an overload would turn into a retry storm.

/// Additional attempts that can be saved up.
const MAX_TOKENS: f64 = 10.0;

/// Additional attempts that may be sent now.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    tokens: f64,
    tokens_per_request: f64,
}

impl RetryBudget {
    /// A full budget that earns so much with each request.
    pub fn new(tokens_per_request: f64) -> Self {
        RetryBudget {
            tokens: MAX_TOKENS,
            tokens_per_request,
        }
    }

    /// A request arrived.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.tokens_per_request).min(MAX_TOKENS);
    }

    /// Whether one more attempt is allowed.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// An additional attempt is sent.
    pub fn withdraw(&mut self) {
        self.tokens -= 1.0;
    }
}
