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
    dice: u64,
    offers: BTreeMap<usize, Offer>,
    /// Until when each rests that has failed, and how often in a row it has.
    rests: BTreeMap<usize, (Time, u32)>,
}

impl Peers {
    /// So many others can be asked. A list is taken once `agree` of them offer the same.
    pub fn new(now: Time, count: usize, agree: usize, every: Span, seed: u64) -> Self {
        let agree = agree.max(1);
        // It is asked before the service is called.
        Peers { count, agree, every, next: now, dice: seed, offers: BTreeMap::new(), rests: BTreeMap::new() }
    }

    fn roll(&mut self) -> u64 {
        crate::dice::next(&mut self.dice)
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
mod tests {
    use super::*;

    const S: Span = 1_000_000;

    #[test]
    fn one_that_lies_is_not_taken_and_two_that_agree_are() {
        let mut peers = Peers::new(0, 5, 2, 2 * S, 1);
        assert!(!peers.offered(0, 0, 7, 999, 0xbad), "one alone");
        assert!(!peers.offered(1, 0, 7, 999, 0xbad), "the same one again");
        assert!(!peers.offered(2, 1, 7, 9, 0xa));
        assert!(!peers.offered(3, 2, 7, 9, 0xb), "the same number of another list");
        assert!(peers.offered(4, 3, 7, 9, 0xa));
        assert!(!peers.offered(5, 4, 9, 9, 0xa), "it is held already");
        // What was offered long ago is nobody's word any more.
        let mut peers = Peers::new(0, 5, 2, 2 * S, 1);
        peers.offered(0, 1, 7, 9, 0xa);
        assert!(!peers.offered(11 * S, 2, 7, 9, 0xa));
        // Nor what a peer has taken back, or one that failed since.
        peers.nothing(2);
        assert!(!peers.offered(11 * S, 3, 7, 9, 0xa));
        peers.failed(11 * S, 3);
        assert!(!peers.offered(11 * S, 4, 7, 9, 0xa));
    }

    #[test]
    fn rounds_ask_a_few_of_those_that_do_not_rest_and_all_in_time() {
        let mut peers = Peers::new(0, 40, 2, 2 * S, 3);
        let (mut now, mut seen) = (0, std::collections::BTreeSet::new());
        for _ in 0..200 {
            assert!(peers.next() >= now && peers.next() <= now + 5 * S / 2);
            now = peers.next();
            let asked = peers.ask(now);
            assert_eq!(asked.len(), ASKED);
            seen.extend(asked);
        }
        assert_eq!(seen.len(), 40);
        for peer in 1..40 {
            (0..9).for_each(|_| peers.failed(now, peer));
        }
        assert_eq!(peers.ask(now), [0], "the others rest");
        assert_eq!(peers.ask(now + 2 * S * REST_ROUNDS_MOST).len(), ASKED, "none for ever");
        assert_eq!(Peers::new(0, 0, 2, S, 1).ask(0), [] as [usize; 0]);
    }
}
