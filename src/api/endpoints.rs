//! The endpoint list, and what is learned about the endpoints on it.
use super::{EndpointId, Timestamp};

/// State of a list entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Runs.
    Ready,
    /// Completes its work; nothing new may go to it.
    Draining,
    /// Removed.
    Removed,
}

/// An entry of the member list.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// Which member.
    pub endpoint: EndpointId,
    /// Its kind.
    pub kind: u8,
    /// Its zone.
    pub zone: u16,
    /// Its cell.
    pub cell: u16,
    /// Transfers to clients that its link carries at full pace, give or take.
    pub weight: f64,
    /// When it started; 0: long ago.
    pub started: Timestamp,
    /// What the list says of it.
    pub state: EndpointState,
}

/// How complete a member list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only what changed.
    Delta,
    /// Everything; members that it lacks are gone.
    Full,
    /// A call for the list failed, or the subscription broke.
    Failed,
}

/// What one process of a router has learned of a member, for the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LearnedHealth {
    /// Which member.
    pub endpoint: EndpointId,
    /// When it started, as the list says: another process of it is another matter.
    pub started: Timestamp,
    /// Since when it is cold; 0: it started long ago.
    pub cold_since: Timestamp,
    /// It is DOWN, or was and has not proven itself since.
    pub down: bool,
    /// It went DOWN because no connection was made.
    pub lost: bool,
}
