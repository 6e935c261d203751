//! When a certificate is due, and which front's turn it is.
use crate::wire::Window;
use crate::{hash, hash_below, Micros, UnixTime, SECOND};

/// Share of a lifetime, in percent, that is never waited past, whatever window the authority names.
const LATEST_PERCENT: u64 = 95;
/// A front that has nothing to serve waits this long for each that stands before it.
const FIRST_ORDER_DELAY: Micros = 30 * SECOND;

/// What is known of a certificate that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Validity {
    /// First second at which it holds.
    pub not_before: UnixTime,
    /// Last second at which it holds.
    pub not_after: UnixTime,
}

impl Validity {
    /// The second at which a share of its lifetime, in percent, has passed.
    pub fn at(&self, percent: u64) -> UnixTime {
        let life = self.not_after.saturating_sub(self.not_before);
        self.not_before + (u128::from(life) * u128::from(percent) / 100) as u64
    }
}

/// How renewals are spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Share of the lifetime, in percent, after which one is due without a window.
    pub renew_percent: u32,
    /// Up to this share of the lifetime earlier, in percent.
    pub jitter_percent: u32,
}

/// The second from which a certificate should be renewed: a moment within the authority's window (RFC 9773, section
/// 4.2), else by the rule. It depends on nothing but its arguments, so a restart changes nothing.
pub fn due(held: &Validity, window: Option<Window>, rule: Rule, id: &str) -> UnixTime {
    let due = match window {
        Some(window) => window.start + hash_below(window.end - window.start, &[id, "window"]),
        None => {
            let life = held.not_after.saturating_sub(held.not_before);
            let jitter = (u128::from(life) * u128::from(rule.jitter_percent) / 100) as u64;
            held.at(rule.renew_percent.into())
                .saturating_sub(hash_below(jitter + 1, &[id, "jitter"]))
        }
    };
    due.min(held.at(LATEST_PERCENT))
}

/// Whose turn it is to renew, where several fronts serve the same names.
pub trait Ranking {
    /// How long this front waits once a certificate is due. `left`: seconds from then until it ends; 0: there is
    /// none, or it has ended.
    fn delay(&self, id: &str, left: u64) -> Micros;
}

/// Turns by rank, without any talk: each front has a rank for each certificate by hash, and waits a span for each
/// front before it. Who is first is another one for another certificate.
#[derive(Clone, Debug)]
pub struct HashRanking {
    /// This front.
    pub front_name: String,
    /// All of them.
    pub fronts: Vec<String>,
    /// How long one waits for the one before it.
    pub takeover_delay: Micros,
}

impl HashRanking {
    /// Fronts that come before this one.
    pub fn rank(&self, id: &str) -> u64 {
        let mine = (hash(&[id, &self.front_name]), &self.front_name);
        let before = self
            .fronts
            .iter()
            .filter(|f| **f != self.front_name && (hash(&[id, f]), *f) < mine);
        before.count() as u64
    }
}

impl Ranking for HashRanking {
    fn delay(&self, id: &str, left: u64) -> Micros {
        let each = match left {
            0 => self.takeover_delay.min(FIRST_ORDER_DELAY),
            // All turns are over at half of what is left.
            _ => self
                .takeover_delay
                .min(left.saturating_mul(SECOND / 2) / self.fronts.len().max(1) as u64),
        };
        each * self.rank(id)
    }
}

#[cfg(test)]
mod tests;
