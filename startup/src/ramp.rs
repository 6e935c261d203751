//! When a front begins to use members that are new to it. Connections to a member are begun by all fronts that learn of it at one
//! moment; a budget of them over the whole fleet makes that a ramp, and each front goes its own way through the members.
use crate::dice::mixed;
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
mod tests {
    use super::*;

    const S: Span = 1_000_000;

    fn list(members: std::ops::Range<u64>) -> Vec<(u64, Take, u64)> {
        members.map(|member| (member, Take::Turn(0, true), member)).collect()
    }

    /// Moments at which each of so many fronts begins to use each member.
    fn fleet(fronts: u32, members: u64, per_s: f64) -> Vec<(Time, u64)> {
        let mut all = Vec::new();
        for number in 0..fronts {
            let mut ramp = Ramp::new((number, fronts), per_s, 60 * S);
            all.extend(ramp.listed(7, true, list(0..members)).into_iter().map(|member| (7, member)));
            while let Some(at) = ramp.next() {
                all.extend(ramp.due(at).into_iter().map(|member| (at, member)));
            }
        }
        all
    }

    #[test]
    fn a_member_gets_no_more_new_users_a_second_than_the_budget_and_gets_all_of_them() {
        for (fronts, members, per_s) in [(300, 200, 20.0), (40, 7, 10.0), (1_000, 50, 100.0), (1, 3, 1.0)] {
            let all = fleet(fronts, members, per_s);
            assert_eq!(all.len(), fronts as usize * members as usize);
            // Those that a front uses at once are over the budget; they are strewn over the members.
            let early = (f64::from(fronts) * AT_ONCE as f64 / members as f64).max(2.0) * 3.0 + 4.0;
            for member in 0..members {
                let of: Vec<_> = all.iter().filter(|(_, m)| *m == member).map(|(at, _)| *at).collect();
                let worst = of
                    .iter()
                    .map(|at| of.iter().filter(|o| (*at..at + S).contains(o)).count())
                    .max()
                    .unwrap();
                assert!(
                    worst as f64 <= per_s + early,
                    "{fronts} fronts: {worst} in a second at one of {members}"
                );
            }
            let last = all.iter().map(|(at, _)| *at).max().unwrap();
            assert!(last <= 7 + (f64::from(fronts) / per_s * 1e6) as Time);
        }
    }

    #[test]
    fn every_front_has_something_of_each_kind_at_once_and_goes_its_own_way() {
        let mut firsts = BTreeSet::new();
        for number in 0..100 {
            let mut ramp = Ramp::new((number, 100), 1.0, 60 * S);
            let mut all = list(0..30);
            all.extend((30..34).map(|member| (member, Take::Turn(1, false), member)));
            all.push((40, Take::Now, 40));
            let first = ramp.listed(0, true, all);
            assert_eq!(first.iter().filter(|m| **m < 30).count(), AT_ONCE);
            assert_eq!(first.iter().filter(|m| (30..34).contains(*m)).count(), AT_ONCE);
            assert!(first.contains(&40));
            firsts.insert(first);
        }
        assert!(firsts.len() > 50, "{} ways for 100 fronts", firsts.len());
    }

    #[test]
    fn what_leaves_goes_at_once_and_what_is_used_is_told_on() {
        let mut ramp = Ramp::new((3, 10), 1.0, 60 * S);
        let used = ramp.listed(0, true, list(0..10));
        let waits: Vec<u64> = (0..10).filter(|m| !used.contains(m)).collect();
        // One that waits drains: that is told, and it does not come back by itself.
        assert_eq!(ramp.listed(1, false, vec![(waits[0], Take::Now, 99)]), [99]);
        assert_eq!(
            ramp.listed(1, false, vec![(used[0], Take::Turn(0, true), 98)]),
            [98],
            "it is used already"
        );
        // What is told of one that waits replaces what was known, and does not begin its wait anew.
        let due = ramp.waits[&waits[1]].0;
        // One that is used goes, and is new once it comes back; one that only drains is not.
        assert_eq!(
            ramp.listed(1, false, vec![(used[1], Take::Gone, 96), (used[0], Take::Now, 95)]),
            [96, 95]
        );
        let back = ramp.listed(
            1,
            false,
            vec![(used[1], Take::Turn(0, true), 94), (used[0], Take::Turn(0, true), 93)],
        );
        assert!(back.contains(&93), "it is used still");
        assert_eq!(ramp.listed(2, false, vec![(waits[1], Take::Turn(0, true), 97)]), []);
        assert_eq!(ramp.waits[&waits[1]].0, due);
        let rest = ramp.due(60 * S);
        assert!(rest.contains(&97) && !rest.contains(&waits[0]) && rest.len() == waits.len() - 1);
        // A whole list drops what it lacks; what comes back later waits anew.
        assert_eq!(ramp.listed(70 * S, true, vec![(used[0], Take::Turn(0, true), used[0])]), [used[0]]);
        assert_eq!((ramp.used.len(), ramp.waiting()), (1, 0));
    }
}
