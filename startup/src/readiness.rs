//! When a front reports that it is ready.
use crate::{FleetPosition, Micros, Timestamp};
use std::fmt;

/// What a front needs before it reports that it is ready, and when it does so with less.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadinessPolicy {
    /// Percentage of the listed endpoints that must have a connection.
    pub min_percent: u32,
    /// After this long the front is ready with fewer, if it has a list at all.
    pub max_wait: Micros,
    /// The fronts of a fleet become ready spread over this time.
    pub spread: Micros,
}

/// What a front waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotReady {
    /// It knows no endpoints.
    NoEndpoints,
    /// Too few endpoints are connected.
    Connections {
        /// Connected endpoints.
        connected: usize,
        /// Connected endpoints that are needed.
        needed: usize,
    },
    /// Its turn among the fronts.
    Staggered,
}

impl fmt::Display for NotReady {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NotReady::NoEndpoints => write!(f, "a list of members"),
            NotReady::Connections { connected, needed } => {
                write!(
                    f,
                    "connections: {connected} of {needed} members are reached"
                )
            }
            NotReady::Staggered => write!(f, "its turn among the fronts"),
        }
    }
}

/// The readiness of one front.
#[derive(Clone, Debug)]
pub struct Readiness {
    policy: ReadinessPolicy,
    started_at: Timestamp,
    /// When this front's turn in the spread comes.
    turn_at: Timestamp,
    /// The front has been ready. Lost connections do not take that back: they are a matter of health checks.
    was_ready: bool,
}

impl Readiness {
    /// A front that starts now.
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

    /// Whether the front is ready with `connected` of `listed` endpoints, or what it waits for.
    pub fn check(
        &mut self,
        now: Timestamp,
        listed: usize,
        connected: usize,
    ) -> Result<(), NotReady> {
        // Without a list nothing can be served, whatever was reported before.
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
