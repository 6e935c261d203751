//! Random orders of requests with few identifiers, ends of attempts, cancellations and upgrades: an identifier that may have been executed
//! is not sent again within the retention.
use super::*;
use crate::routing::execution_guard::RETENTION;

/// Seeds, unless `CRANESILL_SEEDS` lists others.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=200;
const STEPS: u32 = 150;
const IDENTIFIERS: u64 = 6;

struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }
}

/// The processes of a front; each announces executions to the others at once.
struct Simulation {
    random: Random,
    now: Timestamp,
    processes: Vec<RequestPipeline>,
    /// Attempts without an end, by process.
    attempts: Vec<(usize, AttemptId, u64)>,
    /// Time until which an identifier that may have been executed must not be sent.
    forbidden_until: HashMap<u64, Timestamp>,
    /// Timers that were set, by process.
    timers: Vec<(usize, Timestamp, Timer)>,
    streams: u32,
    sent: u32,
}

fn new_process() -> RequestPipeline {
    pipeline_with_origin(CapacityLimits {
        max_pending: 5_000,
        max_buffered_bytes: 96 << 20,
        max_body_bytes: 12 << 20,
    })
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Simulation {
            random: Random(seed),
            now: 2 * SECOND,
            processes: vec![new_process()],
            attempts: Vec::new(),
            forbidden_until: HashMap::new(),
            timers: Vec::new(),
            streams: 0,
            sent: 0,
        }
    }

    fn run_commands(&mut self, process: usize) {
        while let Some(command) = self.processes[process].next_command() {
            match command {
                Command::Send { attempt, fetch, .. } => self.send(process, attempt, &fetch),
                Command::Cancel(attempt) => self.end(process, attempt, AttemptEnd::Cancelled),
                Command::NotExecuted(key) => {
                    self.forbidden_until.remove(&key.0);
                    let others = self.processes.iter_mut().enumerate();
                    // This process may have sent it again already; that command follows.
                    others
                        .filter(|(other, _)| *other != process)
                        .for_each(|(_, other)| other.executions.forget(key));
                }
                Command::SetTimer { at, timer } => self.timers.push((process, at, timer)),
                _ => {}
            }
        }
    }

    /// Moves the time forward, and handles the timers that expire in order.
    fn advance(&mut self, duration: Micros) {
        let end = self.now + duration;
        while let Some(index) = (0..self.timers.len()).min_by_key(|index| self.timers[*index].1) {
            if self.timers[index].1 > end {
                break;
            }
            let (process, at, timer) = self.timers.remove(index);
            self.now = self.now.max(at);
            self.processes[process].handle_timer(self.now, timer);
            self.run_commands(process);
        }
        self.now = end;
    }

    fn send(&mut self, process: usize, attempt: AttemptId, fetch: &Fetch) {
        let key = fetch
            .execution
            .expect("the class must not be executed twice");
        let forbidden = self.forbidden_until.get(&key.0);
        assert!(
            forbidden.is_none_or(|until| *until <= self.now),
            "{key:?} sent again at {}",
            self.now
        );
        self.sent += 1;
        self.forbidden_until.insert(key.0, self.now + RETENTION);
        for (other, pipeline) in self.processes.iter_mut().enumerate() {
            if other != process {
                pipeline.executions.record(self.now, key);
            }
        }
        self.attempts.push((process, attempt, key.0));
    }

    fn end(&mut self, process: usize, attempt: AttemptId, end: AttemptEnd) {
        self.attempts
            .retain(|(at, open, _)| (*at, *open) != (process, attempt));
        self.processes[process].attempt_ended(self.now, attempt, end);
    }

    fn random_end(&mut self) -> AttemptEnd {
        let reply = |kind| {
            AttemptEnd::Reply(UpstreamReply {
                kind,
                tag: Some("1".into()),
                created_at_ms: Some(1),
                ..UpstreamReply::default()
            })
        };
        let duplicate_failure = false;
        match self.random.below(8) {
            0 | 1 => reply(ReplyKind::Hit),
            2 => reply(ReplyKind::Rejected),
            3 => reply(ReplyKind::Fault),
            4 => reply(ReplyKind::DeadlineExceeded),
            5 => AttemptEnd::Broken { duplicate_failure },
            6 => AttemptEnd::Unsent { duplicate_failure },
            _ => AttemptEnd::TimedOut,
        }
    }

    fn step(&mut self) {
        let process = self.random.below(self.processes.len() as u64) as usize;
        match self.random.below(10) {
            0..=4 => {
                self.streams += 1;
                let number = self.random.below(IDENTIFIERS);
                let (mut to, request) = client_request(number);
                to.stream = self.streams;
                self.processes[process].receive_request(self.now, to, request);
            }
            5 | 6 if !self.attempts.is_empty() => {
                let index = self.random.below(self.attempts.len() as u64) as usize;
                let (process, attempt, _) = self.attempts[index];
                let end = self.random_end();
                self.end(process, attempt, end);
                self.run_commands(process);
            }
            7 => {
                let stream = self.streams.saturating_sub(self.random.below(3) as u32);
                let to = ReplyTo { client: 2, stream };
                self.processes[process].cancel_request(self.now, to);
            }
            8 if self.processes.len() == 1 => {
                let mut next = new_process();
                for key in self.processes[0].executions.known() {
                    next.executions.record(self.now, key);
                }
                self.processes.push(next);
            }
            8 => {
                // The earlier process is killed: its attempts may be executed.
                self.processes.remove(0);
                self.attempts.retain(|(at, ..)| *at != 0);
                self.attempts.iter_mut().for_each(|attempt| attempt.0 -= 1);
                self.timers.retain(|(at, ..)| *at != 0);
                self.timers.iter_mut().for_each(|timer| timer.0 -= 1);
            }
            _ => {
                let longest = [SECOND / 10, SECOND, RETENTION / 8][self.random.below(3) as usize];
                let duration = self.random.below(longest);
                self.advance(duration);
            }
        }
        (0..self.processes.len()).for_each(|process| self.run_commands(process));
    }
}

// Guards against a booking that is executed twice.
#[test]
fn identifiers_that_may_have_been_executed_are_not_sent_again() {
    let listed = std::env::var("CRANESILL_SEEDS").ok();
    let seeds: Vec<u64> = match &listed {
        Some(text) => text.split(',').map(|seed| seed.parse().unwrap()).collect(),
        None => SEEDS.collect(),
    };
    let mut sent = 0;
    for seed in seeds {
        let mut simulation = Simulation::new(seed);
        (0..STEPS).for_each(|_| simulation.step());
        sent += simulation.sent;
    }
    assert!(sent > 0);
    println!("{sent} attempts sent");
}

// Guards against a rejection, which says that the request was not executed.
#[test]
fn a_known_identifier_fails_also_while_requests_are_rejected() {
    let mut pipeline = new_process();
    let (from, request) = client_request(1);
    pipeline.receive_request(SECOND, from, request.clone());
    pipeline.cancel_request(SECOND, from);
    pipeline.reject_new_requests(true);
    take_commands(&mut pipeline);
    pipeline.receive_request(SECOND, from, request);
    assert_eq!(take_responses(&mut pipeline), [Response::Failed]);
}
