//! The list from peers: which peers a front asks while it does not hear from the list service, and whose list it takes.
use crate::rng::next_u64;
use crate::{Micros, Timestamp};
use std::collections::BTreeMap;

/// Peers that are asked in one round.
const PEERS_PER_ROUND: usize = 3;
/// An offer counts for this many rounds.
const OFFER_LIFETIME_ROUNDS: u64 = 5;
/// A peer that fails backs off for two rounds, and for twice as many each time, up to this many.
const MAX_BACKOFF_ROUNDS: u64 = 32;
/// Relative jitter of the interval between rounds, to either side.
const JITTER: f64 = 0.25;

/// Identifies a list that a peer offers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListOffer {
    /// The revision of the list: the number of its last event.
    pub revision: u64,
    /// Tells lists of the same revision apart.
    pub digest: u64,
}

#[derive(Clone, Copy, Debug)]
struct TimedOffer {
    offered_at: Timestamp,
    offer: ListOffer,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Timestamp,
    failures: u32,
}

/// The peers of one front.
#[derive(Clone, Debug)]
pub struct PeerBootstrap {
    peers: usize,
    /// This many peers must offer the same list before it is taken.
    quorum: usize,
    interval: Micros,
    next_round: Timestamp,
    rng_state: u64,
    offers: BTreeMap<usize, TimedOffer>,
    backoffs: BTreeMap<usize, Backoff>,
}

impl PeerBootstrap {
    /// A list is taken once `quorum` of the `peers` offer the same. Rounds are `interval` apart; the first is due
    /// immediately, before the service is called.
    pub fn new(now: Timestamp, peers: usize, quorum: usize, interval: Micros, seed: u64) -> Self {
        PeerBootstrap {
            peers,
            quorum: quorum.max(1),
            interval,
            next_round: now,
            rng_state: seed,
            offers: BTreeMap::new(),
            backoffs: BTreeMap::new(),
        }
    }

    /// When the next round is due.
    pub fn next_round(&self) -> Timestamp {
        self.next_round
    }

    /// Starts a round, and returns the peers to ask.
    pub fn start_round(&mut self, now: Timestamp) -> Vec<usize> {
        let jitter_range = (self.interval as f64 * 2.0 * JITTER) as u64;
        let min_interval = (self.interval as f64 * (1.0 - JITTER)) as u64;
        self.next_round = now + min_interval + next_u64(&mut self.rng_state) % jitter_range.max(1);
        let is_available = |peer: &usize| {
            self.backoffs
                .get(peer)
                .is_none_or(|backoff| backoff.until <= now)
        };
        let mut available: Vec<_> = (0..self.peers).filter(is_available).collect();
        let mut selected = Vec::new();
        while selected.len() < PEERS_PER_ROUND && !available.is_empty() {
            let index = next_u64(&mut self.rng_state) as usize % available.len();
            selected.push(available.swap_remove(index));
        }
        selected
    }

    /// A peer has no newer list.
    pub fn record_no_update(&mut self, peer: usize) {
        self.backoffs.remove(&peer);
        self.offers.remove(&peer);
    }

    /// A peer could not be reached, was too slow, or sent something that cannot be decoded or used.
    pub fn record_failure(&mut self, now: Timestamp, peer: usize) {
        let failures = self
            .backoffs
            .get(&peer)
            .map_or(0, |backoff| backoff.failures)
            + 1;
        let rounds = 1u64
            .checked_shl(failures)
            .unwrap_or(MAX_BACKOFF_ROUNDS)
            .min(MAX_BACKOFF_ROUNDS);
        self.backoffs.insert(
            peer,
            Backoff {
                until: now + rounds * self.interval,
                failures,
            },
        );
        self.offers.remove(&peer);
    }

    /// A peer offers a list to a front that knows `known_revision`. Returns whether enough peers offer the same.
    pub fn record_offer(
        &mut self,
        now: Timestamp,
        peer: usize,
        known_revision: u64,
        offer: ListOffer,
    ) -> bool {
        self.backoffs.remove(&peer);
        self.offers.insert(
            peer,
            TimedOffer {
                offered_at: now,
                offer,
            },
        );
        let oldest = now.saturating_sub(OFFER_LIFETIME_ROUNDS * self.interval);
        let is_current = |timed: &TimedOffer| {
            timed.offered_at >= oldest && timed.offer.revision > known_revision
        };
        self.offers.retain(|_, timed| is_current(timed));
        let matching = self
            .offers
            .values()
            .filter(|timed| timed.offer == offer)
            .count();
        offer.revision > known_revision && matching >= self.quorum
    }
}

#[cfg(test)]
mod tests;
