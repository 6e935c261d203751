//! Entries of the endpoint list, and the health state that is handed over between processes.
use super::{EndpointId, Timestamp};

/// State of an entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts requests.
    Ready,
    /// Completes its requests in flight and accepts no new ones.
    Draining,
    /// No longer on the list.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// Id under which attempts are sent to it.
    pub endpoint: EndpointId,
    /// Index into the deployment's kinds.
    pub kind: u8,
    /// Index into the deployment's zones.
    pub zone: u16,
    /// Cell within the zone.
    pub cell: u16,
    /// Approximate number of transfers to clients that its link carries at full rate.
    pub weight: f64,
    /// Start time of its process; 0: unknown or long ago.
    pub started: Timestamp,
    /// Whether it accepts requests.
    pub state: EndpointState,
}

/// How an endpoint list relates to the previous one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Contains only the entries that changed.
    Delta,
    /// Contains all entries; endpoints missing from it are removed.
    Full,
    /// A call for the list failed, or the subscription broke.
    Failed,
}

/// Health state of an endpoint that a front process hands over to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LearnedHealth {
    /// Endpoint that the state belongs to.
    pub endpoint: EndpointId,
    /// Start time from the endpoint list. The state does not apply to a process with another start time.
    pub started: Timestamp,
    /// Start of its slow start; 0: long ago.
    pub slow_start_at: Timestamp,
    /// Whether it is DOWN or SUSPECT.
    pub down: bool,
    /// Whether it went DOWN because of a failed or broken connection.
    pub connection_lost: bool,
}
