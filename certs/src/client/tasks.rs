//! Tasks of the client. Each has at most one request in flight.
use crate::jose::AccountKey;
use crate::messages::{Challenge, Payload};
use crate::order::Order;
use crate::planner::PlannedOrder;
use crate::url::Url;
use crate::Timestamp;
use std::sync::Arc;

pub(super) enum TaskKind {
    Setup(Setup),
    Order {
        id: String,
        order: Box<Order>,
    },
    /// Reads the shared folder before an order.
    Reread(PlannedOrder),
    RenewalInfo(String),
    Revoke {
        operator: u64,
        id: String,
    },
    KeyRollover {
        operator: u64,
        new: Option<Arc<AccountKey>>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Setup {
    Directory,
    GenerateKey,
    SaveKey,
    Register,
    /// Checks whether the authority uses the new account key, after a rollover without a response.
    CheckNextKey,
}

#[derive(Clone)]
pub(super) struct Post {
    pub(super) url: Url,
    /// The URL as received, for the signed header.
    pub(super) text: String,
    pub(super) payload: Payload,
    pub(super) signer: Signer,
    pub(super) tries: u8,
}

/// The key that signs a request.
#[derive(Clone)]
pub(super) enum Signer {
    /// The account key, identified by the account URL.
    Account,
    /// A key whose public part is included in the request.
    Key(Arc<AccountKey>),
}

pub(super) struct Task {
    pub(super) kind: TaskKind,
    pub(super) post: Option<Post>,
    /// The request in flight is for a nonce; `post` is sent after it.
    pub(super) awaits_nonce: bool,
    /// Time of the next [`Input::Timer`](crate::order::Input::Timer).
    pub(super) wake: Option<Timestamp>,
    /// Challenge responses to withdraw when the task ends.
    pub(super) published: Vec<Challenge>,
}
