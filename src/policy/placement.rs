//! Placement: the ready endpoints of a role in the rendezvous order of an object.
//!
//! Most decisions need only the first few ranks of an order. They are found in one pass that hashes each endpoint and
//! compares integers; only the endpoints found are sorted, and the result is cached until the list changes. Further
//! ranks are computed on demand.
use super::endpoint::EndpointIndex;
use super::rendezvous_hash::{hash_bits, rendezvous, HASH_RANGE};
use crate::api::EndpointId;
use std::collections::BTreeMap;

/// Ranks of an order that are computed initially.
const INITIAL_RANKS: usize = 16;
/// Factor by which the number of computed ranks grows when more are needed.
const GROWTH_FACTOR: usize = 4;
/// Maximum number of cached orders in each of the two generations.
const MAX_CACHED_ORDERS: usize = 512;
/// Upper bound of the relative rounding error of a logarithm and an exponential. Hashes this close to the threshold
/// are scored exactly.
const MAX_SCORE_RELATIVE_ERROR: f64 = 1e-9;

/// An endpoint to be ranked.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    id: EndpointId,
    index: EndpointIndex,
}

/// Endpoints of the same weight.
#[derive(Debug)]
struct WeightClass {
    weight: f64,
    /// Sorted by id.
    candidates: Vec<Candidate>,
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
            score: rendezvous(key, candidate.id.0, weight),
            candidate,
        }
    }

    /// Whether this candidate precedes another in the order: by score, then by id.
    fn is_before(&self, other: &Scored) -> bool {
        let by_score = other.score.total_cmp(&self.score);
        by_score
            .then_with(|| self.candidate.id.cmp(&other.candidate.id))
            .is_lt()
    }
}

/// The ready endpoints of one role.
#[derive(Debug, Default)]
pub(crate) struct Ranking {
    classes: Vec<WeightClass>,
    cache: OrderCache,
}

/// First ranks of the orders of recently requested objects, in two generations.
#[derive(Debug, Default)]
struct OrderCache {
    current: BTreeMap<u64, Vec<EndpointIndex>>,
    previous: BTreeMap<u64, Vec<EndpointIndex>>,
}

/// The order of one object, as far as it has been computed.
#[derive(Clone, Debug)]
pub(crate) struct Order {
    key: u64,
    indexes: Vec<EndpointIndex>,
    /// Whether `indexes` contains all endpoints.
    complete: bool,
}

impl Ranking {
    pub fn insert(&mut self, id: EndpointId, weight: f64, index: EndpointIndex) {
        self.cache = OrderCache::default();
        let candidate = Candidate { id, index };
        match self.classes.iter_mut().find(|class| class.weight == weight) {
            Some(class) => {
                let at = class.candidates.partition_point(|other| other.id < id);
                class.candidates.insert(at, candidate);
            }
            None => self.classes.push(WeightClass {
                weight,
                candidates: vec![candidate],
            }),
        }
    }

    /// Removes an endpoint; `weight` is the one that it was added with.
    pub fn remove(&mut self, id: EndpointId, weight: f64) {
        self.cache = OrderCache::default();
        let Some(class) = self.classes.iter_mut().find(|class| class.weight == weight) else {
            return;
        };
        if let Ok(at) = class
            .candidates
            .binary_search_by_key(&id, |candidate| candidate.id)
        {
            class.candidates.remove(at);
        }
        self.classes.retain(|class| !class.candidates.is_empty());
    }

    /// Total weight of all endpoints.
    pub fn weight(&self) -> f64 {
        self.classes
            .iter()
            .map(|class| class.weight * class.candidates.len() as f64)
            .sum()
    }

    /// The order for the object with this placement key.
    pub fn order(&mut self, key: u64) -> Order {
        let indexes = match self.cache.get(key) {
            Some(indexes) => indexes,
            None => {
                let indexes = self.top_ranks(key, INITIAL_RANKS);
                self.cache.add(key, indexes.clone());
                indexes
            }
        };
        Order {
            key,
            complete: indexes.len() < INITIAL_RANKS,
            indexes,
        }
    }

    /// The first `count` ranks of the order for a placement key, or all if there are fewer.
    fn top_ranks(&self, key: u64, count: usize) -> Vec<EndpointIndex> {
        let mut best: Vec<Scored> = Vec::with_capacity(count + 1);
        for class in &self.classes {
            let mut min_bits = min_bits_for(class.weight, &best, count);
            for candidate in &class.candidates {
                if hash_bits(key, candidate.id.0) < min_bits {
                    continue;
                }
                let scored = Scored::new(key, class.weight, *candidate);
                let at = best.partition_point(|other| other.is_before(&scored));
                if at < count {
                    best.insert(at, scored);
                    best.truncate(count);
                    min_bits = min_bits_for(class.weight, &best, count);
                }
            }
        }
        best.into_iter()
            .map(|scored| scored.candidate.index)
            .collect()
    }
}

/// The smallest hash with which an endpoint of this weight can be among the best `count`.
fn min_bits_for(weight: f64, best: &[Scored], count: usize) -> u64 {
    let Some(last) = best.get(count - 1) else {
        return 0;
    };
    // Solves `score = -weight / ln(unit)` for `unit`.
    let unit = (-weight / last.score).exp() * (1.0 - MAX_SCORE_RELATIVE_ERROR);
    ((unit * HASH_RANGE) as u64).saturating_sub(1)
}

impl OrderCache {
    fn get(&mut self, key: u64) -> Option<Vec<EndpointIndex>> {
        if let Some(indexes) = self.current.get(&key) {
            return Some(indexes.clone());
        }
        let indexes = self.previous.remove(&key)?;
        self.add(key, indexes.clone());
        Some(indexes)
    }

    fn add(&mut self, key: u64, indexes: Vec<EndpointIndex>) {
        if self.current.len() >= MAX_CACHED_ORDERS {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(key, indexes);
    }
}

impl Order {
    /// Creates a complete order of a few endpoints, given as id, weight and index.
    pub fn from_endpoints(
        key: u64,
        indexes: impl Iterator<Item = (EndpointId, f64, EndpointIndex)>,
    ) -> Self {
        let scored = |(id, weight, index)| Scored::new(key, weight, Candidate { id, index });
        let mut all: Vec<Scored> = indexes.map(scored).collect();
        all.sort_by(|a, b| {
            b.score
                .total_cmp(&a.score)
                .then_with(|| a.candidate.id.cmp(&b.candidate.id))
        });
        Order {
            key,
            indexes: all
                .into_iter()
                .map(|scored| scored.candidate.index)
                .collect(),
            complete: true,
        }
    }

    /// The endpoint at a position, from 0.
    pub fn get(&mut self, ranking: &Ranking, position: usize) -> Option<EndpointIndex> {
        while position >= self.indexes.len() && !self.complete {
            let count = self.indexes.len() * GROWTH_FACTOR;
            self.indexes = ranking.top_ranks(self.key, count);
            self.complete = self.indexes.len() < count;
        }
        self.indexes.get(position).copied()
    }
}

#[cfg(test)]
mod tests;
