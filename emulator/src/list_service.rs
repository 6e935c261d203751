//! Calls on a list service that fails for a time and returns with room for so many.
use crate::rng::Rng;
use crate::{Timestamp, S};
use cranesill_startup::{CallBudget, CallEnd, CallSchedule, FleetPosition};
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// How a front decides when it calls again.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Way {
    /// The core without a budget: after a fifth of a second, for ever.
    NoBudget,
    /// The core with a budget of calls a second and a longest wait.
    Budget {
        /// Calls a second of the whole fleet.
        per_s: u32,
        /// The longest wait of one front, in microseconds.
        most: Timestamp,
    },
    /// Twice as long after each failure, up to a longest wait, all in step: not taken.
    Doubling {
        /// The longest wait, in microseconds.
        most: Timestamp,
    },
    /// The same, each wait at random between none and all of it: not taken.
    DoublingAtRandom {
        /// The longest wait, in microseconds.
        most: Timestamp,
    },
}

impl Way {
    /// Its name in results.
    pub fn name(&self) -> String {
        let s = |span: &Timestamp| *span as f64 / S as f64;
        match self {
            Way::NoBudget => "no budget".into(),
            Way::Budget { per_s, most } => format!("budget {per_s}/s, {} s at most", s(most)),
            Way::Doubling { most } => format!("doubling, {} s at most", s(most)),
            Way::DoublingAtRandom { most } => format!("doubling at random, {} s at most", s(most)),
        }
    }
}

/// What happens: all fronts start at 0 while the service closes each call at once; it returns.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Outage {
    /// Fronts.
    pub fronts: u32,
    /// When it returns.
    pub back: Timestamp,
    /// Calls that it can serve in a second from then on.
    pub room: u32,
    /// The seed.
    pub seed: u64,
}

/// What was seen.
#[derive(Clone, Debug, Serialize)]
pub struct Return {
    /// Calls a second while it failed, from the fourth second on.
    pub calls_a_second: f64,
    /// In the worst second, and in the worst tenth of one, from then on.
    pub worst_second: usize,
    /// The same for a tenth of a second.
    pub worst_100_ms: usize,
    /// Seconds after its return until so many in a hundred are served; absent: not within ten minutes.
    pub half_served_s: Option<f64>,
    /// The same for 99 in a hundred.
    pub most_served_s: Option<f64>,
    /// The same for all.
    pub all_served_s: Option<f64>,
    /// Calls after its return that it spent its time on in vain.
    pub in_vain: usize,
    /// The most calls that waited for it at once.
    pub queue_most: usize,
}

/// Calls of one front.
enum Caller {
    Core(CallSchedule),
    Doubling {
        wait: Timestamp,
        most: Timestamp,
        random: bool,
    },
}

const FIRST: Timestamp = S / 5;
const DIAL: Timestamp = S / 2;

impl Caller {
    fn begin(&mut self, now: Timestamp) -> Timestamp {
        match self {
            Caller::Core(calls) => calls.start_call(now),
            Caller::Doubling { .. } => now + DIAL,
        }
    }

    fn end(&mut self, now: Timestamp, end: CallEnd, rng: &mut Rng) -> Timestamp {
        match self {
            Caller::Core(calls) => calls.end_call(now, end),
            Caller::Doubling { wait, most, random } => {
                *wait = (*wait * 2).clamp(FIRST, *most);
                now + if *random {
                    (*wait as f64 * rng.roll()) as Timestamp
                } else {
                    *wait
                }
            }
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    /// A front calls.
    Call(usize),
    /// A front gives its call up, which was its nth.
    GiveUp(usize, u32),
    /// The service has done with a call.
    Done(usize, u32),
}

/// A call that takes that long to be closed again.
const CLOSES: Timestamp = 2_000;
/// It is not looked further.
const END: Timestamp = 600 * S;

impl Outage {
    /// Plays it with fronts that go this way.
    pub fn play(&self, way: Way) -> Return {
        let mut rng = Rng(self.seed);
        let n = self.fronts as usize;
        let mut fronts: Vec<_> = (0..n)
            .map(|front| {
                let place = FleetPosition {
                    number: front as u32,
                    fronts: self.fronts,
                };
                let seed = self.seed.wrapping_mul(1_000_003).wrapping_add(front as u64);
                match way {
                    Way::NoBudget => Caller::Core(CallSchedule::new(0, place, seed, None)),
                    Way::Budget { per_s, most } => {
                        let budget = CallBudget {
                            calls_per_s: per_s.into(),
                            max_wait: most,
                            urgent_period: 0,
                        };
                        Caller::Core(CallSchedule::new(0, place, seed, Some(budget)))
                    }
                    Way::Doubling { most } => Caller::Doubling {
                        wait: 0,
                        most,
                        random: false,
                    },
                    Way::DoublingAtRandom { most } => Caller::Doubling {
                        wait: 0,
                        most,
                        random: true,
                    },
                }
            })
            .collect();
        let mut steps: BinaryHeap<Reverse<(Timestamp, Step)>> = BinaryHeap::new();
        for (front, caller) in fronts.iter_mut().enumerate() {
            let first = match caller {
                Caller::Core(calls) => calls.first_call(0, false),
                Caller::Doubling { random, .. } => {
                    if *random {
                        rng.below(FIRST)
                    } else {
                        0
                    }
                }
            };
            steps.push(Reverse((first, Step::Call(front))));
        }
        let (mut number, mut waits, mut served) = (vec![0u32; n], vec![false; n], Vec::new());
        let mut queue: VecDeque<(usize, u32)> = VecDeque::new();
        let (mut calls, mut in_vain, mut queue_most, mut works) = (Vec::new(), 0, 0, false);
        let takes = S / Timestamp::from(self.room.max(1));
        while let Some(Reverse((now, step))) = steps.pop() {
            if now > END || served.len() == n {
                break;
            }
            match step {
                Step::Call(front) => {
                    calls.push(now);
                    number[front] += 1;
                    let until = fronts[front].begin(now);
                    if now < self.back {
                        let again = fronts[front].end(now + CLOSES, CallEnd::Closed, &mut rng);
                        steps.push(Reverse((again.max(now + CLOSES), Step::Call(front))));
                        continue;
                    }
                    waits[front] = true;
                    steps.push(Reverse((until, Step::GiveUp(front, number[front]))));
                    queue.push_back((front, number[front]));
                    queue_most = queue_most.max(queue.len());
                    if !works {
                        works = true;
                        steps.push(Reverse((now + takes, Step::Done(front, number[front]))));
                    }
                }
                Step::GiveUp(front, of) => {
                    if waits[front] && number[front] == of {
                        waits[front] = false;
                        let again = fronts[front].end(now, CallEnd::Unanswered, &mut rng);
                        steps.push(Reverse((again.max(now), Step::Call(front))));
                    }
                }
                Step::Done(front, of) => {
                    queue.pop_front();
                    if waits[front] && number[front] == of {
                        waits[front] = false;
                        served.push(now);
                    } else {
                        // It was given up: the service did not know.
                        in_vain += 1;
                    }
                    works = !queue.is_empty();
                    if let Some((front, of)) = queue.front() {
                        steps.push(Reverse((now + takes, Step::Done(*front, *of))));
                    }
                }
            }
        }
        let failing: Vec<_> = calls
            .iter()
            .copied()
            .filter(|at| (4 * S..self.back).contains(at))
            .collect();
        let span = self.back.saturating_sub(4 * S) as f64 / S as f64;
        let after = |share: f64| {
            let place = ((n as f64 * share).ceil() as usize).clamp(1, n) - 1;
            served
                .get(place)
                .map(|at| (at - self.back) as f64 / S as f64)
        };
        Return {
            calls_a_second: failing.len() as f64 / span,
            worst_second: worst(&failing, S),
            worst_100_ms: worst(&failing, S / 10),
            half_served_s: after(0.5),
            most_served_s: after(0.99),
            all_served_s: after(1.0),
            in_vain,
            queue_most,
        }
    }
}

/// The most of these in any window; they are in order.
pub(crate) fn worst(at: &[Timestamp], window: Timestamp) -> usize {
    let (mut most, mut from) = (0, 0);
    for (place, now) in at.iter().enumerate() {
        while at[from] + window <= *now {
            from += 1;
        }
        most = most.max(place - from + 1);
    }
    most
}
