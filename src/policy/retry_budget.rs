//! Retry budget: limits additional attempts to a fraction of the requests, so that an overload does not become a retry
//! storm.

/// Maximum balance, in attempts.
const MAX_TOKENS: f64 = 10.0;

/// Token bucket that is filled by requests and drained by additional attempts.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    tokens: f64,
    tokens_per_request: f64,
}

impl RetryBudget {
    /// Creates a full budget that gains `tokens_per_request` with each request.
    pub fn new(tokens_per_request: f64) -> Self {
        RetryBudget {
            tokens: MAX_TOKENS,
            tokens_per_request,
        }
    }

    /// Adds the tokens of one request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.tokens_per_request).min(MAX_TOKENS);
    }

    /// Whether the balance allows an additional attempt.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Removes the token of an additional attempt.
    pub fn withdraw(&mut self) {
        self.tokens -= 1.0;
    }
}
