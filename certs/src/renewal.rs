//! The time at which a certificate is renewed, and which of several fronts renews it.
use crate::wire::Window;
use crate::{hash, hash_below, Micros, UnixTime, SECOND};

/// Percentage of the lifetime at which a certificate is renewed at the latest, even if the suggested window is later.
const LATEST_PERCENT: u64 = 95;
/// Upper limit for the delay per rank while no valid certificate exists.
const FIRST_ORDER_DELAY: Micros = 30 * SECOND;

/// The validity period of a certificate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Validity {
    /// First second of the period.
    pub not_before: UnixTime,
    /// Last second of the period.
    pub not_after: UnixTime,
}

impl Validity {
    /// Returns the time at which `percent` of the period has passed.
    pub fn at(&self, percent: u64) -> UnixTime {
        let lifetime = self.not_after.saturating_sub(self.not_before);
        self.not_before + (u128::from(lifetime) * u128::from(percent) / 100) as u64
    }
}

/// When a certificate is renewed without a suggested window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Percentage of the lifetime after which a renewal is due.
    pub renew_percent: u32,
    /// Renewals are spread over this percentage of the lifetime before `renew_percent`.
    pub jitter_percent: u32,
}

/// Returns the time from which a certificate should be renewed: within the window suggested by the authority (RFC 9773,
/// section 4.2), otherwise by the rule. The result is derived from the arguments alone and stays the same after a restart.
pub fn due(validity: &Validity, window: Option<Window>, rule: Rule, id: &str) -> UnixTime {
    let due = match window {
        Some(window) => window.start + hash_below(window.end - window.start, &[id, "window"]),
        None => {
            let lifetime = validity.not_after.saturating_sub(validity.not_before);
            let jitter = (u128::from(lifetime) * u128::from(rule.jitter_percent) / 100) as u64;
            validity
                .at(rule.renew_percent.into())
                .saturating_sub(hash_below(jitter + 1, &[id, "jitter"]))
        }
    };
    due.min(validity.at(LATEST_PERCENT))
}

/// Decides which of several fronts with the same names renews a certificate first.
pub trait Ranking {
    /// Returns how long this front waits after a certificate has become due. `remaining_s` is the number of seconds until it
    /// expires, or 0 if there is no valid certificate.
    fn delay(&self, id: &str, remaining_s: u64) -> Micros;
}

/// Ranks fronts by a hash of certificate and front, without communication between them. A front waits for each front that
/// precedes it. The first rank is distributed evenly over the fronts.
#[derive(Clone, Debug)]
pub struct HashRanking {
    /// Name of this front.
    pub front_name: String,
    /// Names of all fronts.
    pub fronts: Vec<String>,
    /// Delay per rank.
    pub takeover_delay: Micros,
}

impl HashRanking {
    /// Returns the number of fronts that precede this one.
    pub fn rank(&self, id: &str) -> u64 {
        let own = (hash(&[id, &self.front_name]), &self.front_name);
        let before = self
            .fronts
            .iter()
            .filter(|f| **f != self.front_name && (hash(&[id, f]), *f) < own);
        before.count() as u64
    }
}

impl Ranking for HashRanking {
    fn delay(&self, id: &str, remaining_s: u64) -> Micros {
        let delay = match remaining_s {
            0 => self.takeover_delay.min(FIRST_ORDER_DELAY),
            // The last front starts when half of the remaining lifetime has passed.
            _ => self
                .takeover_delay
                .min(remaining_s.saturating_mul(SECOND / 2) / self.fronts.len().max(1) as u64),
        };
        delay * self.rank(id)
    }
}

#[cfg(test)]
mod tests;
