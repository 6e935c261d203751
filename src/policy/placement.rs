//! Placement: the usable members of a role in the rendezvous order of an object.
//!
//! Almost every decision ends among the first few places of an order. Those are found in one pass that hashes each
//! member and compares numbers; nothing is sorted but the few that are found, and what was found for an object is
//! remembered until the list changes. Further places are worked out when they are asked for.
use super::rendezvous_hash::{hashed_bits, rendezvous, HASH_RANGE};
use crate::api::EndpointId;
use std::collections::BTreeMap;

/// Places of an order that are worked out at once, and by how much more each time that these are not enough.
const FIRST_PLACES: usize = 16;
const MORE_PLACES: usize = 4;
/// Orders that are remembered, in each of two generations.
const REMEMBERED: usize = 512;
/// Relative error of a logarithm and an exponential, generously: what comes this close to a bound is scored in full.
const ROUNDING: f64 = 1e-9;

/// A member that can be chosen: its id, and its place in the roster.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    member: EndpointId,
    place: usize,
}

/// Members that have the same weight.
#[derive(Debug)]
struct WeightClass {
    weight: f64,
    /// In the order of their ids.
    members: Vec<Candidate>,
}

/// A candidate with its score for one object.
#[derive(Clone, Copy, Debug)]
struct Scored {
    score: f64,
    candidate: Candidate,
}

impl Scored {
    fn new(key: u64, weight: f64, candidate: Candidate) -> Self {
        Scored {
            score: rendezvous(key, candidate.member.0, weight),
            candidate,
        }
    }

    /// Whether this one comes before another in the order: by score, then by id.
    fn is_before(&self, other: &Scored) -> bool {
        let by_score = other.score.total_cmp(&self.score);
        by_score
            .then_with(|| self.candidate.member.cmp(&other.candidate.member))
            .is_lt()
    }
}

/// The usable members of one role.
#[derive(Debug, Default)]
pub(crate) struct Ranking {
    classes: Vec<WeightClass>,
    recent: Recent,
}

/// The first places of the objects that were asked for lately, in two generations.
#[derive(Debug, Default)]
struct Recent {
    new: BTreeMap<u64, Vec<usize>>,
    old: BTreeMap<u64, Vec<usize>>,
}

/// The order of one object, as far as it is worked out.
#[derive(Clone, Debug)]
pub(crate) struct Order {
    key: u64,
    places: Vec<usize>,
    /// No member comes after those.
    complete: bool,
}

impl Ranking {
    /// Adds a member.
    pub fn insert(&mut self, member: EndpointId, weight: f64, place: usize) {
        self.recent = Recent::default();
        let candidate = Candidate { member, place };
        match self.classes.iter_mut().find(|class| class.weight == weight) {
            Some(class) => {
                let at = class.members.partition_point(|other| other.member < member);
                class.members.insert(at, candidate);
            }
            None => self.classes.push(WeightClass {
                weight,
                members: vec![candidate],
            }),
        }
    }

    /// Takes a member out again, under the weight that it was added with.
    pub fn remove(&mut self, member: EndpointId, weight: f64) {
        self.recent = Recent::default();
        let Some(class) = self.classes.iter_mut().find(|class| class.weight == weight) else {
            return;
        };
        if let Ok(at) = class
            .members
            .binary_search_by_key(&member, |candidate| candidate.member)
        {
            class.members.remove(at);
        }
        self.classes.retain(|class| !class.members.is_empty());
    }

    /// The weight of all members together.
    pub fn weight(&self) -> f64 {
        self.classes
            .iter()
            .map(|class| class.weight * class.members.len() as f64)
            .sum()
    }

    /// The order for an object.
    pub fn order(&mut self, key: u64) -> Order {
        let places = match self.recent.get(key) {
            Some(places) => places,
            None => {
                let places = self.best(key, FIRST_PLACES);
                self.recent.add(key, places.clone());
                places
            }
        };
        Order {
            key,
            complete: places.len() < FIRST_PLACES,
            places,
        }
    }

    /// So many first places of the order for an object, or all if there are no more.
    fn best(&self, key: u64, count: usize) -> Vec<usize> {
        let mut best: Vec<Scored> = Vec::with_capacity(count + 1);
        for class in &self.classes {
            let mut least = least_bits(class.weight, &best, count);
            for candidate in &class.members {
                if hashed_bits(key, candidate.member.0) < least {
                    continue;
                }
                let scored = Scored::new(key, class.weight, *candidate);
                let at = best.partition_point(|other| other.is_before(&scored));
                if at < count {
                    best.insert(at, scored);
                    best.truncate(count);
                    least = least_bits(class.weight, &best, count);
                }
            }
        }
        best.into_iter()
            .map(|scored| scored.candidate.place)
            .collect()
    }
}

/// The least hash that a member of this weight can have if it belongs to the best ones.
fn least_bits(weight: f64, best: &[Scored], count: usize) -> u64 {
    let Some(last) = best.get(count - 1) else {
        return 0;
    };
    // The score is `-weight / ln(unit)`, solved for the unit.
    let unit = (-weight / last.score).exp() * (1.0 - ROUNDING);
    ((unit * HASH_RANGE) as u64).saturating_sub(1)
}

impl Recent {
    fn get(&mut self, key: u64) -> Option<Vec<usize>> {
        if let Some(places) = self.new.get(&key) {
            return Some(places.clone());
        }
        let places = self.old.remove(&key)?;
        self.add(key, places.clone());
        Some(places)
    }

    fn add(&mut self, key: u64, places: Vec<usize>) {
        if self.new.len() >= REMEMBERED {
            self.old = std::mem::take(&mut self.new);
        }
        self.new.insert(key, places);
    }
}

impl Order {
    /// An order of few members, worked out in full: those of `places`, each with its id and weight.
    pub fn among(key: u64, places: impl Iterator<Item = (EndpointId, f64, usize)>) -> Self {
        let scored =
            |(member, weight, place)| Scored::new(key, weight, Candidate { member, place });
        let mut all: Vec<Scored> = places.map(scored).collect();
        all.sort_by(|a, b| {
            b.score
                .total_cmp(&a.score)
                .then_with(|| a.candidate.member.cmp(&b.candidate.member))
        });
        Order {
            key,
            places: all
                .into_iter()
                .map(|scored| scored.candidate.place)
                .collect(),
            complete: true,
        }
    }

    /// The member at a position, from 0.
    pub fn get(&mut self, ranking: &Ranking, position: usize) -> Option<usize> {
        while position >= self.places.len() && !self.complete {
            let count = self.places.len() * MORE_PLACES;
            self.places = ranking.best(self.key, count);
            self.complete = self.places.len() < count;
        }
        self.places.get(position).copied()
    }
}

#[cfg(test)]
mod tests;
