//! The interface of the decisions: the events that a router is notified of and the actions that it asks for.
//!
//! Timestamps and durations are microseconds on one clock that never goes back. Ids are opaque: they are compared and
//! hashed, nothing is read out of them.
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
