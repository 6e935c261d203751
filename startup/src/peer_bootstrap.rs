//! Bootstrap of the endpoint list from peers while the list service is unreachable: which peers are polled, and which
//! offered list is accepted.
use crate::rng::next_u64;
use crate::{Micros, Timestamp};
use std::collections::BTreeMap;

/// Number of peers polled per round.
const PEERS_PER_ROUND: usize = 3;
/// Number of rounds after which an offer expires.
const OFFER_LIFETIME_ROUNDS: u64 = 5;
/// Upper bound of the backoff of a failing peer, which starts at two rounds and doubles with each failure.
const MAX_BACKOFF_ROUNDS: u64 = 32;
/// Relative jitter of the interval between rounds, in both directions.
const JITTER: f64 = 0.25;

/// Identifies an endpoint list offered by a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListOffer {
    /// The revision of the list: the number of its last event.
    pub revision: u64,
    /// A digest of the contents, which distinguishes different lists with the same revision.
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

/// The bootstrap state of one front. Peers are identified by their index, from 0.
#[derive(Clone, Debug)]
pub struct PeerBootstrap {
    peers: usize,
    /// Number of peers that must offer the same list before it is accepted.
    quorum: usize,
    interval: Micros,
    next_round: Timestamp,
    rng_state: u64,
    offers: BTreeMap<usize, TimedOffer>,
    backoffs: BTreeMap<usize, Backoff>,
}

impl PeerBootstrap {
    /// Creates the state for `peers` peers, of which `quorum` (at least 1) must offer the same list. Rounds are `interval`
    /// apart on average; the first is due immediately, before the first call to the list service.
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

    /// Returns when the next round is due.
    pub fn next_round(&self) -> Timestamp {
        self.next_round
    }

    /// Starts a round, and returns the peers to poll: randomly selected ones that are not in backoff.
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

    /// Records that a peer has no newer list. This withdraws its offer.
    pub fn record_no_update(&mut self, peer: usize) {
        self.backoffs.remove(&peer);
        self.offers.remove(&peer);
    }

    /// Records that a peer was unreachable, timed out or sent an invalid response. This withdraws its offer and starts or
    /// extends its backoff.
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

    /// Records a list offered by a peer, and returns whether a quorum offers it and it is newer than `known_revision`, the
    /// revision that this front has.
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
