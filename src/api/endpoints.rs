//! The endpoint list, and what is learned about the endpoints on it.
use super::{EndpointId, Timestamp};

/// State of an entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It accepts requests.
    Ready,
    /// It completes its requests; nothing new may go to it.
    Draining,
    /// It was removed from the list.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// Which endpoint.
    pub endpoint: EndpointId,
    /// Its kind, as an index into the deployment's kinds.
    pub kind: u8,
    /// Its zone, as an index into the deployment's zones.
    pub zone: u16,
    /// Its cell within the zone.
    pub cell: u16,
    /// Transfers to clients that its link carries at full rate, approximately.
    pub weight: f64,
    /// When its process started; 0: long ago.
    pub started: Timestamp,
    /// Whether it accepts requests.
    pub state: EndpointState,
}

/// How complete an endpoint list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only what changed.
    Delta,
    /// Everything; endpoints that it lacks are removed.
    Full,
    /// A call for the list failed, or the subscription broke.
    Failed,
}

/// What one process of a front has learned of an endpoint, for the next process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LearnedHealth {
    /// Which endpoint.
    pub endpoint: EndpointId,
    /// When it started, as the list says: this says nothing of another process of it.
    pub started: Timestamp,
    /// When its slow start began; 0: it started long ago.
    pub slow_start_at: Timestamp,
    /// It is DOWN or SUSPECT.
    pub down: bool,
    /// It went DOWN because no connection was made.
    pub connection_lost: bool,
}
