//! Checker of the load on nodes that are warming up.
use super::Violation;
use crate::history::Observation;
use crate::list_event::{Event, State};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// Load limits of a node that is warming up, as in the settings.
#[derive(Clone, Copy, Debug)]
pub struct WarmUpLimits {
    /// Fraction of the capacity that a node has at its start.
    pub initial_fraction: f64,
    /// Time until a node has its full capacity.
    pub warm_up: Duration,
    /// Factor of its capacity above which a node is overloaded.
    pub overload_factor: f64,
    /// Window for which that load has to last.
    pub overload_window: Duration,
    /// Time for which one request occupies a slot.
    pub request_cost: Duration,
}

impl WarmUpLimits {
    /// Maximum number of requests within the window that ends at `age`, including three standard deviations.
    fn max_requests(&self, weight: u32, age: Duration) -> f64 {
        let warm = (age.as_secs_f64() / self.warm_up.as_secs_f64()).min(1.0);
        let slots =
            f64::from(weight) * (self.initial_fraction + (1.0 - self.initial_fraction) * warm);
        let n = self.overload_factor * slots * self.overload_window.as_secs_f64()
            / self.request_cost.as_secs_f64();
        n + 3.0 * n.sqrt() + 3.0
    }
}

/// Finds nodes that were overloaded while warming up, counting attempts of fronts that had received their start event.
pub fn warm_up_violations<'a>(
    history: &[(Duration, Observation)],
    event: impl Fn(u64) -> Option<&'a Event>,
    limits: &WarmUpLimits,
) -> Vec<Violation> {
    let mut found = Vec::new();
    // By node: weight, listed start time, time of the first event with it, informed fronts, and times of their attempts.
    type Started = (u32, u64, Duration, BTreeSet<usize>, VecDeque<Duration>);
    let mut started: HashMap<u32, Started> = HashMap::new();
    for (now, seen) in history {
        match *seen {
            Observation::EventSent(front, number) => {
                let Some(Event::Nodes(_, listed)) = event(number) else {
                    continue;
                };
                for one in listed
                    .iter()
                    .filter(|one| one.started_ms > 0 && one.state == State::Ready)
                {
                    let node = started
                        .entry(one.id)
                        .or_insert_with(|| (one.weight, 0, *now, BTreeSet::new(), VecDeque::new()));
                    if node.1 != one.started_ms {
                        *node = (
                            one.weight,
                            one.started_ms,
                            *now,
                            BTreeSet::new(),
                            VecDeque::new(),
                        );
                    }
                    node.3.insert(front);
                }
            }
            Observation::Attempt { node: id, txn, .. } => {
                let front = (txn >> 40) as usize;
                let Some((weight, _, since, informed, sent)) = started.get_mut(&id) else {
                    continue;
                };
                if !front
                    .checked_sub(1)
                    .is_some_and(|front| informed.contains(&front))
                {
                    continue;
                }
                sent.push_back(*now);
                while sent
                    .front()
                    .is_some_and(|at| *at + limits.overload_window < *now)
                {
                    sent.pop_front();
                }
                let (age, count) = (*now - *since, sent.len());
                if age < limits.warm_up && count as f64 > limits.max_requests(*weight, age) {
                    let text = format!(
                        "node {id:x} received {count} requests within {:?}, {age:?} after its start",
                        limits.overload_window
                    );
                    found.push(Violation {
                        at: *now,
                        rule: "warm-up",
                        txn,
                        text,
                    });
                    sent.clear();
                }
            }
            _ => {}
        }
    }
    found
}
