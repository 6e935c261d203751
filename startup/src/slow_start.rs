//! When a front begins to use members that are new to it. Connections to a member are begun by all fronts that learn of it at one
//! moment; a budget of them over the whole fleet makes that a ramp, and each front goes its own way through the members.
use crate::rng::mixed;
use crate::{Span, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Members of each kind that a front uses at once, whatever the budget: it has something to serve by.
const AT_ONCE: usize = 2;

/// How a member is to be taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Take {
    /// At once: it is no longer to be used, or there is no other of its kind.
    Now,
    /// At once, and it is new once it comes back.
    Gone,
    /// In its turn among those of this kind, near ones by themselves.
    Turn(u8, bool),
}

/// The members that wait for their turn, each with what is known of it.
#[derive(Clone, Debug)]
pub struct Ramp<T> {
    /// Which of the fronts it is, and how many there are.
    place: (u32, u32),
    /// By then a member that all learned of at one moment is used by all.
    span: Span,
    /// Members that are used, with their kind.
    used: BTreeMap<u64, (u8, bool)>,
    waits: BTreeMap<u64, (Time, (u8, bool), T)>,
}

fn gcd(a: u64, b: u64) -> u64 {
    if b == 0 {
        a
    } else {
        gcd(b, a % b)
    }
}

impl<T> Ramp<T> {
    /// The front of this number, from 0, of so many. So many of all fronts together begin to use a member in a second, unless
    /// that took longer than `most`.
    pub fn new((number, fronts): (u32, u32), per_s: f64, most: Span) -> Self {
        let fronts = fronts.max(1);
        let span = (f64::from(fronts) / per_s.max(f64::MIN_POSITIVE) * 1e6) as Span;
        Ramp {
            place: (number % fronts, fronts),
            span: span.min(most),
            used: BTreeMap::new(),
            waits: BTreeMap::new(),
        }
    }

    /// For how long after a member became known this front waits. Of all fronts no two wait equally long for one member, and
    /// each front goes through the members in an order of its own.
    fn wait(&self, member: u64) -> Span {
        let (number, fronts) = (u64::from(self.place.0), u64::from(self.place.1));
        let of = mixed(member);
        // A step that has no divisor with the number of fronts in common reaches each place once.
        let step = (0..fronts)
            .map(|more| 1 + (of % fronts + more) % fronts)
            .find(|step| gcd(*step, fronts) == 1)
            .unwrap_or(1);
        (number * step + (of >> 32)) % fronts * (self.span / fronts)
    }

    /// The list tells of members; `whole`: of all that there are. Those are returned that are to be taken over now.
    pub fn listed(&mut self, now: Time, whole: bool, list: Vec<(u64, Take, T)>) -> Vec<T> {
        if whole {
            let named: BTreeSet<u64> = list.iter().map(|(member, ..)| *member).collect();
            self.used.retain(|member, _| named.contains(member));
            self.waits.retain(|member, _| named.contains(member));
        }
        let (mut now_used, mut kinds) = (Vec::new(), BTreeSet::new());
        for (member, take, what) in list {
            match take {
                Take::Turn(kind, near) if !self.used.contains_key(&member) => {
                    let due = self.waits.get(&member).map_or(now + self.wait(member), |waits| waits.0);
                    self.waits.insert(member, (due, (kind, near), what));
                    kinds.insert((kind, near));
                }
                // What is used stays so: the front knows best what to do with it.
                Take::Turn(..) => now_used.push(what),
                Take::Now | Take::Gone => {
                    if take == Take::Gone {
                        self.used.remove(&member);
                    }
                    self.waits.remove(&member);
                    now_used.push(what);
                }
            }
        }
        for kind in kinds {
            let used = self.used.values().filter(|of| **of == kind).count();
            let mut next: Vec<_> =
                self.waits.iter().filter(|(_, w)| w.1 == kind).map(|(member, w)| (w.0, *member)).collect();
            next.sort_unstable();
            let few = next.into_iter().take(AT_ONCE.saturating_sub(used)).map(|(_, member)| member);
            few.collect::<Vec<_>>().into_iter().for_each(|member| now_used.extend(self.begin(member)));
        }
        now_used
    }

    fn begin(&mut self, member: u64) -> Option<T> {
        let (_, kind, what) = self.waits.remove(&member)?;
        self.used.insert(member, kind);
        Some(what)
    }

    /// Those whose turn has come.
    pub fn due(&mut self, now: Time) -> Vec<T> {
        let due = self.waits.iter().filter(|(_, (at, ..))| *at <= now).map(|(member, _)| *member);
        due.collect::<Vec<_>>().into_iter().filter_map(|member| self.begin(member)).collect()
    }

    /// When the next one's turn comes.
    pub fn next(&self) -> Option<Time> {
        self.waits.values().map(|(at, ..)| *at).min()
    }

    /// Whether this one waits.
    pub fn waits(&self, member: u64) -> bool {
        self.waits.contains_key(&member)
    }

    /// How many wait.
    pub fn waiting(&self) -> usize {
        self.waits.len()
    }
}

#[cfg(test)]
mod tests;
