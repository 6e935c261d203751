//! When a front starts to use endpoints that are new to it. All fronts learn of an endpoint at the same time; a budget of
//! connections over the whole fleet spreads their use of it, and each front takes the endpoints in its own order.
use crate::rng::mix;
use crate::{FleetPosition, Micros, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Endpoints of each group that a front uses immediately, whatever the budget, so that it can serve at all.
const MIN_IN_USE_PER_GROUP: usize = 2;

/// Endpoints that can stand in for each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Group {
    /// Their kind.
    pub kind: u8,
    /// Whether they are in the zone of this front.
    pub same_zone: bool,
}

/// How a listed endpoint is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Immediately: it is not to be used any more, or there is no other of its kind.
    Immediate,
    /// Immediately, and it counts as new if it comes back.
    Removed,
    /// In its turn among those of its group.
    Staggered(Group),
}

/// An endpoint as the list tells of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedEndpoint<T> {
    /// Its id.
    pub id: u64,
    /// How it is admitted.
    pub admission: Admission,
    /// What the caller wants back once it is admitted.
    pub entry: T,
}

#[derive(Clone, Debug)]
struct WaitingEndpoint<T> {
    due: Timestamp,
    group: Group,
    entry: T,
}

/// The endpoints that wait for their turn.
#[derive(Clone, Debug)]
pub struct SlowStart<T> {
    position: FleetPosition,
    /// Within this time all fronts use an endpoint that they learned of at the same time.
    ramp_duration: Micros,
    in_use: BTreeMap<u64, Group>,
    waiting: BTreeMap<u64, WaitingEndpoint<T>>,
}

fn greatest_common_divisor(a: u64, b: u64) -> u64 {
    if b == 0 {
        a
    } else {
        greatest_common_divisor(b, a % b)
    }
}

impl<T> SlowStart<T> {
    /// `fleet_rate` fronts per second start to use an endpoint, unless that took all of them longer than
    /// `max_duration`.
    pub fn new(position: FleetPosition, fleet_rate: f64, max_duration: Micros) -> Self {
        let position = position.normalized();
        let seconds = f64::from(position.fronts) / fleet_rate.max(f64::MIN_POSITIVE);
        let ramp_duration = (seconds * 1e6) as Micros;
        SlowStart {
            position,
            ramp_duration: ramp_duration.min(max_duration),
            in_use: BTreeMap::new(),
            waiting: BTreeMap::new(),
        }
    }

    /// How long this front waits after an endpoint became known. No two fronts wait equally long for one endpoint, and
    /// each front takes the endpoints in its own order.
    fn delay(&self, id: u64) -> Micros {
        let number = u64::from(self.position.number);
        let fronts = u64::from(self.position.fronts);
        let hash = mix(id);
        // A step that is coprime to the number of fronts reaches each place once.
        let strides = (0..fronts).map(|offset| 1 + (hash % fronts + offset) % fronts);
        let coprime = |stride: &u64| greatest_common_divisor(*stride, fronts) == 1;
        let stride = { strides }.find(coprime).unwrap_or(1);
        let slot = (number * stride + (hash >> 32)) % fronts;
        slot * (self.ramp_duration / fronts)
    }

    /// Takes in a list, which is `complete` or holds changes only. Returns the entries to admit now.
    pub fn update(
        &mut self,
        now: Timestamp,
        complete: bool,
        list: Vec<ListedEndpoint<T>>,
    ) -> Vec<T> {
        if complete {
            let listed: BTreeSet<u64> = list.iter().map(|endpoint| endpoint.id).collect();
            self.in_use.retain(|id, _| listed.contains(id));
            self.waiting.retain(|id, _| listed.contains(id));
        }
        let mut admitted = Vec::new();
        let mut groups = BTreeSet::new();
        for ListedEndpoint {
            id,
            admission,
            entry,
        } in list
        {
            match admission {
                Admission::Staggered(group) if !self.in_use.contains_key(&id) => {
                    let due = self
                        .waiting
                        .get(&id)
                        .map_or(now + self.delay(id), |waiting| waiting.due);
                    self.waiting
                        .insert(id, WaitingEndpoint { due, group, entry });
                    groups.insert(group);
                }
                // An endpoint in use stays so: the front knows best what to do with it.
                Admission::Staggered(_) => admitted.push(entry),
                Admission::Immediate => {
                    self.waiting.remove(&id);
                    admitted.push(entry);
                }
                Admission::Removed => {
                    self.in_use.remove(&id);
                    self.waiting.remove(&id);
                    admitted.push(entry);
                }
            }
        }
        for group in groups {
            admitted.extend(self.admit_immediately(group));
        }
        admitted
    }

    /// Admits the first endpoints of a group of which too few are in use.
    fn admit_immediately(&mut self, group: Group) -> Vec<T> {
        let in_use = self
            .in_use
            .values()
            .filter(|other| **other == group)
            .count();
        let of_group = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.group == group);
        let mut by_due: Vec<_> = of_group.map(|(id, waiting)| (waiting.due, *id)).collect();
        by_due.sort_unstable();
        by_due.truncate(MIN_IN_USE_PER_GROUP.saturating_sub(in_use));
        by_due
            .into_iter()
            .filter_map(|(_, id)| self.admit(id))
            .collect()
    }

    fn admit(&mut self, id: u64) -> Option<T> {
        let waiting = self.waiting.remove(&id)?;
        self.in_use.insert(id, waiting.group);
        Some(waiting.entry)
    }

    /// Admits the endpoints whose turn has come.
    pub fn poll(&mut self, now: Timestamp) -> Vec<T> {
        let due = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.due <= now);
        let ids: Vec<_> = due.map(|(id, _)| *id).collect();
        ids.into_iter().filter_map(|id| self.admit(id)).collect()
    }

    /// When the next endpoint's turn comes.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.waiting.values().map(|waiting| waiting.due).min()
    }

    /// Whether this endpoint waits for its turn.
    pub fn is_waiting(&self, id: u64) -> bool {
        self.waiting.contains_key(&id)
    }

    /// How many endpoints wait for their turn.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}

#[cfg(test)]
mod tests;
