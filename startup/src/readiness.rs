//! Readiness of a front: when it reports that it can serve clients.
use crate::{FleetPosition, Micros, Timestamp};
use std::fmt;

/// The conditions under which a front becomes ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadinessPolicy {
    /// Percentage of the listed endpoints that must be connected.
    pub min_percent: u32,
    /// Time after the start when the front becomes ready with fewer connections, provided that it has an endpoint list.
    pub max_wait: Micros,
    /// Period after the start over which the fronts of a fleet become ready one after another.
    pub spread: Micros,
}

/// The reason why a front is not ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotReady {
    /// The endpoint list is empty or was not received yet.
    NoEndpoints,
    /// Too few endpoints are connected.
    Connections {
        /// Number of connected endpoints.
        connected: usize,
        /// Number of connected endpoints required by [`ReadinessPolicy::min_percent`].
        needed: usize,
    },
    /// The front's time within [`ReadinessPolicy::spread`] has not come yet.
    Staggered,
}

impl fmt::Display for NotReady {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NotReady::NoEndpoints => write!(f, "a non-empty endpoint list"),
            NotReady::Connections { connected, needed } => {
                write!(
                    f,
                    "connections to endpoints: {connected} of {needed} required"
                )
            }
            NotReady::Staggered => write!(f, "its turn in the staggered start of the fleet"),
        }
    }
}

/// The readiness of one front.
#[derive(Clone, Debug)]
pub struct Readiness {
    policy: ReadinessPolicy,
    started_at: Timestamp,
    /// Earliest time at which this front becomes ready within the spread.
    turn_at: Timestamp,
    /// Whether the front was ready before. Connections lost later do not revoke readiness; health checks handle them.
    was_ready: bool,
}

impl Readiness {
    /// Creates the readiness of a front that starts at `now`.
    pub fn new(now: Timestamp, position: FleetPosition, policy: ReadinessPolicy) -> Self {
        let FleetPosition { number, fronts } = position.normalized();
        let turn_at = now + policy.spread / u64::from(fronts) * u64::from(number);
        Readiness {
            policy,
            started_at: now,
            turn_at,
            was_ready: false,
        }
    }

    /// Checks whether the front is ready with `connected` of `listed` endpoints, and returns the reason if it is not.
    pub fn check(
        &mut self,
        now: Timestamp,
        listed: usize,
        connected: usize,
    ) -> Result<(), NotReady> {
        // A front that has been ready also becomes unready if its list becomes empty, since it cannot serve any request.
        if listed == 0 {
            return Err(NotReady::NoEndpoints);
        }
        let timed_out = now >= self.started_at + self.policy.max_wait;
        if !self.was_ready && !timed_out {
            let needed = (listed * self.policy.min_percent as usize).div_ceil(100);
            if connected < needed {
                return Err(NotReady::Connections { connected, needed });
            }
            if now < self.turn_at {
                return Err(NotReady::Staggered);
            }
        }
        self.was_ready = true;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
