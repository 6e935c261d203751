//! Interface of the decision module: the events that a router handles and the actions that it returns.
//!
//! Timestamps and durations are in microseconds on one monotonic clock. Ids are opaque: they are only compared and
//! hashed.
mod action;
mod endpoints;
mod event;
mod ids;
mod outcome;
mod settings;
mod time;

pub use action::{Action, Fill};
pub use endpoints::{EndpointEntry, EndpointState, LearnedHealth, ListKind};
pub use event::{Event, Request};
pub use ids::{EndpointId, ObjectId, RequestId};
pub use outcome::{FillNote, LoadReport, Outcome, Status};
pub use settings::{Class, Idempotency, KeyScope, Settings, SlowStartLimits};
pub use time::{Micros, Timestamp};
