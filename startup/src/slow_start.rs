//! Slow start: when a front starts to use newly listed endpoints. All fronts are notified of an endpoint at the same time,
//! so each one delays its first use; a fleet-wide rate limits how many fronts start to use one endpoint per second.
use crate::rng::mix;
use crate::{FleetPosition, Micros, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Number of endpoints in each group that a front uses without delay, so that it can serve requests from the start.
const MIN_IN_USE_PER_GROUP: usize = 2;

/// A group of interchangeable endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Group {
    /// The kind of the endpoints, as a number from the settings.
    pub kind: u8,
    /// Whether the endpoints are in the zone of this front.
    pub same_zone: bool,
}

/// When a listed endpoint is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Immediately: for endpoints without an alternative, and for updates that take an endpoint out of use.
    Immediate,
    /// Immediately, as the endpoint was removed from the list. If it is listed again, it is new.
    Removed,
    /// After the delay of slow start, unless the group has too few endpoints in use.
    Staggered(Group),
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedEndpoint<T> {
    /// The identifier of the endpoint, which is unique within the list.
    pub id: u64,
    /// When the endpoint is admitted.
    pub admission: Admission,
    /// The caller's data, which is returned when the endpoint is admitted.
    pub entry: T,
}

#[derive(Clone, Debug)]
struct WaitingEndpoint<T> {
    due: Timestamp,
    group: Group,
    entry: T,
}

/// The slow-start state of one front.
#[derive(Clone, Debug)]
pub struct SlowStart<T> {
    position: FleetPosition,
    /// Time within which all fronts start to use an endpoint that was listed for all of them at the same time.
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
    /// Creates the state for a fleet in which `fleet_rate` fronts per second start to use an endpoint. The rate is exceeded
    /// if the ramp of the whole fleet would take longer than `max_duration`.
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

    /// Delay before this front starts to use an endpoint. For one endpoint, the delays of all fronts are distinct and
    /// evenly spaced; the order of the endpoints differs between fronts.
    fn delay(&self, id: u64) -> Micros {
        let number = u64::from(self.position.number);
        let fronts = u64::from(self.position.fronts);
        let hash = mix(id);
        // A stride that is coprime to the number of fronts maps each front to a slot of its own.
        let strides = (0..fronts).map(|offset| 1 + (hash % fronts + offset) % fronts);
        let coprime = |stride: &u64| greatest_common_divisor(*stride, fronts) == 1;
        let stride = { strides }.find(coprime).unwrap_or(1);
        let slot = (number * stride + (hash >> 32)) % fronts;
        slot * (self.ramp_duration / fronts)
    }

    /// Applies an endpoint list, which is `complete` or contains only changes. Returns the entries to admit now.
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
                // Updates of endpoints in use are passed on without delay.
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

    /// Admits the endpoints of a group that are due first until [`MIN_IN_USE_PER_GROUP`] of them are in use.
    fn admit_immediately(&mut self, group: Group) -> Vec<T> {
        let in_use = self
            .in_use
            .values()
            .filter(|other| **other == group)
            .count();
        let in_group = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.group == group);
        let mut by_due: Vec<_> = in_group.map(|(id, waiting)| (waiting.due, *id)).collect();
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

    /// Admits the endpoints whose delay has passed, and returns their entries.
    pub fn poll(&mut self, now: Timestamp) -> Vec<T> {
        let due = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.due <= now);
        let ids: Vec<_> = due.map(|(id, _)| *id).collect();
        ids.into_iter().filter_map(|id| self.admit(id)).collect()
    }

    /// Returns when the next endpoint is due; `None` if none is waiting.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.waiting.values().map(|waiting| waiting.due).min()
    }

    /// Whether an endpoint is listed and not admitted yet.
    pub fn is_waiting(&self, id: u64) -> bool {
        self.waiting.contains_key(&id)
    }

    /// Returns the number of endpoints that are listed and not admitted yet.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}

#[cfg(test)]
mod tests;
