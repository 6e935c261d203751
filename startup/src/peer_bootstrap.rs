//! The list from one another: whom a front asks while the list service is not heard, and whose word it takes.
use crate::{Span, Time};
use std::collections::BTreeMap;

/// Peers asked in one round.
const ASKED: usize = 3;
/// What a peer offered counts for this many rounds.
const ROUNDS: u64 = 5;
/// A peer that fails rests for a round, and each time for twice as many, up to this.
const REST_ROUNDS_MOST: u64 = 32;
/// Rounds are spread by so much to either side.
const SPREAD: f64 = 0.25;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Offer {
    at: Time,
    number: u64,
    digest: u64,
}

/// The peers of one front.
#[derive(Clone, Debug)]
pub struct Peers {
    count: usize,
    /// So many must offer the same before it is taken.
    agree: usize,
    every: Span,
    next: Time,
    rng: u64,
    offers: BTreeMap<usize, Offer>,
    /// Until when each rests that has failed, and how often in a row it has.
    rests: BTreeMap<usize, (Time, u32)>,
}

impl Peers {
    /// So many others can be asked. A list is taken once `agree` of them offer the same.
    pub fn new(now: Time, count: usize, agree: usize, every: Span, seed: u64) -> Self {
        let agree = agree.max(1);
        // It is asked before the service is called.
        Peers { count, agree, every, next: now, rng: seed, offers: BTreeMap::new(), rests: BTreeMap::new() }
    }

    fn roll(&mut self) -> u64 {
        crate::rng::next(&mut self.rng)
    }

    /// When the next round is due.
    pub fn next(&self) -> Time {
        self.next
    }

    /// A round: whom to ask.
    pub fn ask(&mut self, now: Time) -> Vec<usize> {
        let spread = (self.every as f64 * 2.0 * SPREAD) as u64;
        self.next = now + (self.every as f64 * (1.0 - SPREAD)) as u64 + self.roll() % spread.max(1);
        let mut awake: Vec<_> =
            (0..self.count).filter(|peer| self.rests.get(peer).is_none_or(|rest| rest.0 <= now)).collect();
        let mut asked = Vec::new();
        while asked.len() < ASKED && !awake.is_empty() {
            let place = self.roll() as usize % awake.len();
            asked.push(awake.swap_remove(place));
        }
        asked
    }

    /// A peer has nothing newer.
    pub fn nothing(&mut self, peer: usize) {
        self.rests.remove(&peer);
        self.offers.remove(&peer);
    }

    /// A peer could not be reached, was too slow, or said what can't be read or is not to be served from.
    pub fn failed(&mut self, now: Time, peer: usize) {
        let failures = self.rests.get(&peer).map_or(0, |rest| rest.1) + 1;
        let rounds = 1u64.checked_shl(failures).unwrap_or(REST_ROUNDS_MOST).min(REST_ROUNDS_MOST);
        self.rests.insert(peer, (now + rounds * self.every, failures));
        self.offers.remove(&peer);
    }

    /// A peer offers a list that ends with this event and is told apart by this digest. Whether so many offer the same
    /// now that it is to be taken by a front that holds events up to `held`.
    pub fn offered(&mut self, now: Time, peer: usize, held: u64, number: u64, digest: u64) -> bool {
        self.rests.remove(&peer);
        self.offers.insert(peer, Offer { at: now, number, digest });
        let since = now.saturating_sub(ROUNDS * self.every);
        self.offers.retain(|_, offer| offer.at >= since && offer.number > held);
        let same = |offer: &&Offer| (offer.number, offer.digest) == (number, digest);
        number > held && self.offers.values().filter(same).count() >= self.agree
    }
}

#[cfg(test)]
mod tests;
