//! Tasks of the client: each has one request out at a time.
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
    /// Reads the folder before an order.
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
    /// Asks whether the account has the key that was to follow: whoever asked for that was not told.
    CheckNextKey,
}

#[derive(Clone)]
pub(super) struct Post {
    pub(super) url: Url,
    pub(super) text: String,
    pub(super) payload: Payload,
    pub(super) signer: Signer,
    pub(super) tries: u8,
}

/// What a request is signed with.
#[derive(Clone)]
pub(super) enum Signer {
    /// The account, by its URL.
    Account,
    /// A key that stands in the request.
    Key(Arc<AccountKey>),
}

pub(super) struct Task {
    pub(super) kind: TaskKind,
    pub(super) post: Option<Post>,
    /// The request out is for a nonce.
    pub(super) awaits_nonce: bool,
    pub(super) wake: Option<Timestamp>,
    pub(super) published: Vec<Challenge>,
}
