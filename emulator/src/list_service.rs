//! Simulates the calls of a fleet to a list service that fails at first and then has a limited capacity.
use crate::rng::Rng;
use crate::{Timestamp, SECOND};
use cranesill_startup::{CallBudget, CallEnd, CallSchedule, FleetPosition};
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// How a front schedules its calls to the list service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallPolicy {
    /// The production schedule without a budget: a call 200 ms after each failure.
    NoBudget,
    /// The production schedule with a call budget for the fleet.
    Budget {
        /// Calls per second of the whole fleet.
        calls_per_s: u32,
        /// The longest wait of one front between two calls.
        max_wait: Timestamp,
    },
    /// Exponential backoff without jitter; for comparison only.
    Backoff {
        /// The longest wait, in microseconds.
        max_wait: Timestamp,
    },
    /// Exponential backoff with full jitter; for comparison only.
    JitteredBackoff {
        /// The longest wait, in microseconds.
        max_wait: Timestamp,
    },
}

impl CallPolicy {
    /// The name of the policy in results and plots.
    pub fn name(&self) -> String {
        let s = |span: &Timestamp| *span as f64 / SECOND as f64;
        match self {
            CallPolicy::NoBudget => "no budget".into(),
            CallPolicy::Budget {
                calls_per_s,
                max_wait,
            } => format!("budget {calls_per_s}/s, {} s at most", s(max_wait)),
            CallPolicy::Backoff { max_wait } => format!("doubling, {} s at most", s(max_wait)),
            CallPolicy::JitteredBackoff { max_wait } => {
                format!("doubling at random, {} s at most", s(max_wait))
            }
        }
    }
}

/// An outage: all fronts start at time 0, and the list service closes each call until it recovers.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Outage {
    /// Number of fronts in the fleet.
    pub fronts: u32,
    /// When the list service recovers.
    pub restored_at: Timestamp,
    /// Calls per second that the recovered service can serve.
    pub capacity_per_s: u32,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Load on the list service, and the time until the fronts are served.
#[derive(Clone, Debug, Serialize)]
pub struct OutageResult {
    /// Mean calls per second during the outage, from 4 s after the start on.
    #[serde(rename = "calls_a_second")]
    pub calls_per_s: f64,
    /// Most calls within any second of that period.
    pub worst_second: usize,
    /// Most calls within any 100 ms of that period.
    pub worst_100_ms: usize,
    /// Seconds from the recovery until half of the fronts are served; `None` if that takes longer than the simulated time.
    pub half_served_s: Option<f64>,
    /// The same for 99 % of the fronts.
    #[serde(rename = "most_served_s")]
    pub served_99_percent_s: Option<f64>,
    /// The same for all fronts.
    pub all_served_s: Option<f64>,
    /// Calls that the recovered service processed after the caller had timed out.
    #[serde(rename = "in_vain")]
    pub wasted_calls: usize,
    /// The most calls in the queue of the service.
    #[serde(rename = "queue_most")]
    pub max_queue_length: usize,
}

/// The call schedule of one front.
enum Caller {
    Schedule(CallSchedule),
    Backoff {
        wait: Timestamp,
        max_wait: Timestamp,
        random: bool,
    },
}

/// First wait of the exponential backoff.
const FIRST_WAIT: Timestamp = SECOND / 5;
/// Time after which a front with exponential backoff ends an unanswered call.
const CALL_TIMEOUT: Timestamp = SECOND / 2;

impl Caller {
    fn start_call(&mut self, now: Timestamp) -> Timestamp {
        match self {
            Caller::Schedule(calls) => calls.start_call(now),
            Caller::Backoff { .. } => now + CALL_TIMEOUT,
        }
    }

    fn end_call(&mut self, now: Timestamp, end: CallEnd, rng: &mut Rng) -> Timestamp {
        match self {
            Caller::Schedule(calls) => calls.end_call(now, end),
            Caller::Backoff {
                wait,
                max_wait,
                random,
            } => {
                *wait = (*wait * 2).clamp(FIRST_WAIT, *max_wait);
                now + if *random {
                    (*wait as f64 * rng.uniform()) as Timestamp
                } else {
                    *wait
                }
            }
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    /// A front starts a call.
    Call(usize),
    /// A call of a front times out; the second value is the number of the call.
    CallTimeout(usize, u32),
    /// The service finishes processing a call; the second value is the number of the call.
    CallServed(usize, u32),
}

/// Time after which the failing service closes a call.
const CLOSE_DELAY: Timestamp = 2_000;
const MAX_SIMULATED_TIME: Timestamp = 600 * SECOND;

impl Outage {
    /// Simulates the outage with fronts that follow `policy`.
    pub fn simulate(&self, policy: CallPolicy) -> OutageResult {
        let mut rng = Rng(self.seed);
        let n = self.fronts as usize;
        let mut fronts: Vec<_> = (0..n)
            .map(|front| {
                let position = FleetPosition {
                    number: front as u32,
                    fronts: self.fronts,
                };
                let seed = self.seed.wrapping_mul(1_000_003).wrapping_add(front as u64);
                match policy {
                    CallPolicy::NoBudget => {
                        Caller::Schedule(CallSchedule::new(0, position, seed, None))
                    }
                    CallPolicy::Budget {
                        calls_per_s,
                        max_wait,
                    } => {
                        let budget = CallBudget {
                            calls_per_s: calls_per_s.into(),
                            max_wait,
                            urgent_period: 0,
                        };
                        Caller::Schedule(CallSchedule::new(0, position, seed, Some(budget)))
                    }
                    CallPolicy::Backoff { max_wait } => Caller::Backoff {
                        wait: 0,
                        max_wait,
                        random: false,
                    },
                    CallPolicy::JitteredBackoff { max_wait } => Caller::Backoff {
                        wait: 0,
                        max_wait,
                        random: true,
                    },
                }
            })
            .collect();
        let mut steps: BinaryHeap<Reverse<(Timestamp, Step)>> = BinaryHeap::new();
        for (front, caller) in fronts.iter_mut().enumerate() {
            let first = match caller {
                Caller::Schedule(calls) => calls.first_call(0, false),
                Caller::Backoff { random, .. } => {
                    if *random {
                        rng.below(FIRST_WAIT)
                    } else {
                        0
                    }
                }
            };
            steps.push(Reverse((first, Step::Call(front))));
        }
        let (mut call_counts, mut waiting, mut served) =
            (vec![0u32; n], vec![false; n], Vec::new());
        let mut queue: VecDeque<(usize, u32)> = VecDeque::new();
        let (mut calls, mut wasted_calls, mut max_queue_length, mut busy) =
            (Vec::new(), 0, 0, false);
        let service_time = SECOND / Timestamp::from(self.capacity_per_s.max(1));
        while let Some(Reverse((now, step))) = steps.pop() {
            if now > MAX_SIMULATED_TIME || served.len() == n {
                break;
            }
            match step {
                Step::Call(front) => {
                    calls.push(now);
                    call_counts[front] += 1;
                    let timeout_at = fronts[front].start_call(now);
                    if now < self.restored_at {
                        let next_call =
                            fronts[front].end_call(now + CLOSE_DELAY, CallEnd::Closed, &mut rng);
                        steps.push(Reverse((
                            next_call.max(now + CLOSE_DELAY),
                            Step::Call(front),
                        )));
                        continue;
                    }
                    waiting[front] = true;
                    steps.push(Reverse((
                        timeout_at,
                        Step::CallTimeout(front, call_counts[front]),
                    )));
                    queue.push_back((front, call_counts[front]));
                    max_queue_length = max_queue_length.max(queue.len());
                    if !busy {
                        busy = true;
                        steps.push(Reverse((
                            now + service_time,
                            Step::CallServed(front, call_counts[front]),
                        )));
                    }
                }
                Step::CallTimeout(front, call) => {
                    if waiting[front] && call_counts[front] == call {
                        waiting[front] = false;
                        let next_call = fronts[front].end_call(now, CallEnd::Unanswered, &mut rng);
                        steps.push(Reverse((next_call.max(now), Step::Call(front))));
                    }
                }
                Step::CallServed(front, call) => {
                    queue.pop_front();
                    if waiting[front] && call_counts[front] == call {
                        waiting[front] = false;
                        served.push(now);
                    } else {
                        // The service does not notice that the caller has timed out.
                        wasted_calls += 1;
                    }
                    busy = !queue.is_empty();
                    if let Some((front, call)) = queue.front() {
                        steps.push(Reverse((
                            now + service_time,
                            Step::CallServed(*front, *call),
                        )));
                    }
                }
            }
        }
        let calls_during_outage: Vec<_> = calls
            .iter()
            .copied()
            .filter(|at| (4 * SECOND..self.restored_at).contains(at))
            .collect();
        let span = self.restored_at.saturating_sub(4 * SECOND) as f64 / SECOND as f64;
        let served_after = |share: f64| {
            let index = ((n as f64 * share).ceil() as usize).clamp(1, n) - 1;
            served
                .get(index)
                .map(|at| (at - self.restored_at) as f64 / SECOND as f64)
        };
        OutageResult {
            calls_per_s: calls_during_outage.len() as f64 / span,
            worst_second: max_in_window(&calls_during_outage, SECOND),
            worst_100_ms: max_in_window(&calls_during_outage, SECOND / 10),
            half_served_s: served_after(0.5),
            served_99_percent_s: served_after(0.99),
            all_served_s: served_after(1.0),
            wasted_calls,
            max_queue_length,
        }
    }
}

/// The largest number of `times`, which are sorted, within any window of the given length.
pub(crate) fn max_in_window(times: &[Timestamp], window: Timestamp) -> usize {
    let (mut max, mut from) = (0, 0);
    for (index, now) in times.iter().enumerate() {
        while times[from] + window <= *now {
            from += 1;
        }
        max = max.max(index - from + 1);
    }
    max
}
