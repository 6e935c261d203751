//! Harness for one router: passes events to it, expires its timers and records its actions.
use super::{Checker, MS, S};
use cranesill::{api::*, Router};
use std::collections::{BTreeMap, BTreeSet};

/// An attempt that the router sent.
#[derive(Clone, Debug)]
pub struct SentAttempt {
    pub request: RequestId,
    pub number: u16,
    pub target: u64,
    pub source: Option<u64>,
    pub fill: Option<Fill>,
    pub sent_at: Timestamp,
    pub in_flight: bool,
}

/// A router with its attempts, timers, answers and log lines. Every action is checked against the invariants.
pub struct RouterHarness {
    pub router: Router,
    pub now: Timestamp,
    pub sent: Vec<SentAttempt>,
    /// Expiry time, token and a number that distinguishes equal entries.
    pub timers: BTreeSet<(Timestamp, u64, usize)>,
    pub log: Vec<String>,
    pub answers: BTreeMap<RequestId, Action>,
    pub checker: Checker,
    pub actions: Vec<Action>,
    /// Whether attempts that end are reported as failed together with another one on the same connection.
    pub shared_failure: bool,
}

impl RouterHarness {
    pub fn new(settings: Settings, endpoints: Vec<EndpointEntry>) -> Self {
        let mut harness = RouterHarness {
            checker: Checker::new(settings.clone()),
            router: Router::new(settings, 1),
            now: 100 * S,
            sent: Vec::new(),
            timers: BTreeSet::new(),
            log: Vec::new(),
            answers: BTreeMap::new(),
            actions: Vec::new(),
            shared_failure: false,
        };
        harness.notify(Event::Endpoints(ListKind::Full, endpoints));
        harness
    }

    /// Passes an event to the router and returns the attempts that it sends in response.
    pub fn notify(&mut self, event: Event) -> Vec<SentAttempt> {
        self.checker.observe_event(self.now, &event);
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        let first_new = self.sent.len();
        for action in actions {
            self.checker.observe_action(self.now, &action);
            self.actions.push(action.clone());
            match action {
                Action::Send {
                    request,
                    target,
                    fill,
                    ..
                } => {
                    let number = self.sent.iter().filter(|s| s.request == request).count() as u16;
                    let source = fill.map(|f| f.source.0);
                    let (target, sent_at) = (target.0, self.now);
                    self.sent.push(SentAttempt {
                        request,
                        number,
                        target,
                        source,
                        fill,
                        sent_at,
                        in_flight: true,
                    });
                }
                Action::Timer(wait, token) => {
                    let n = self.timers.len();
                    self.timers.insert((self.now + wait, token, n));
                }
                Action::Log(line) => self.log.push(line),
                Action::Reject(id, _) | Action::Fail(id) => {
                    self.answers.insert(id, action);
                }
                _ => {}
            }
        }
        self.sent[first_new..].to_vec()
    }

    pub fn send_request(&mut self, request: Request) -> Vec<SentAttempt> {
        self.notify(Event::Request(request))
    }

    /// Ends an attempt and returns the attempts that the router sends in response.
    pub fn end_attempt(
        &mut self,
        sent: &SentAttempt,
        status: Status,
        note: FillNote,
        source_wait: Micros,
    ) -> Vec<SentAttempt> {
        self.end_attempt_with_report(sent, status, note, source_wait, None)
    }

    /// Ends an attempt with a load report and returns the attempts that the router sends in response.
    pub fn end_attempt_with_report(
        &mut self,
        sent: &SentAttempt,
        status: Status,
        note: FillNote,
        source_wait: Micros,
        report: Option<LoadReport>,
    ) -> Vec<SentAttempt> {
        let mut matching = self
            .sent
            .iter_mut()
            .filter(|s| s.request == sent.request && s.number == sent.number);
        let attempt = matching.next().expect("the attempt was sent");
        assert!(attempt.in_flight, "attempt ended twice: {attempt:?}");
        attempt.in_flight = false;
        let latency = self.now - attempt.sent_at;
        let was_closed = self.checker.is_closed(sent.request);
        let (request, attempt) = (sent.request, sent.number);
        let closed = was_closed || status == Status::Ok;
        let shared_failure = self.shared_failure;
        self.notify(Event::Outcome(Outcome {
            request,
            attempt,
            closed,
            status,
            shared_failure,
            note,
            source_wait,
            latency,
            report,
        }))
    }

    pub fn serve(&mut self, sent: &SentAttempt) {
        self.end_attempt(sent, Status::Ok, FillNote::Hit, 0);
    }

    /// Advances the clock, expiring the timers that are due and timing out attempts at the deadlines of their requests.
    /// Returns the attempts that were sent.
    pub fn advance(&mut self, span: Micros) -> Vec<SentAttempt> {
        let end = self.now + span;
        let first_new = self.sent.len();
        loop {
            let in_flight = self.sent.iter().filter(|s| s.in_flight);
            let due =
                in_flight.map(|s| (self.checker.deadline(s.request).max(s.sent_at), s.clone()));
            let due = due
                .min_by_key(|(at, s)| (*at, s.request, s.number))
                .filter(|(at, _)| *at <= end);
            let timer = self.timers.first().copied().filter(|t| t.0 <= end);
            match (due, timer) {
                (Some((at, attempt)), t) if t.is_none_or(|t| at <= t.0) => {
                    self.now = self.now.max(at);
                    self.end_attempt(&attempt, Status::Timeout, FillNote::None, 0);
                }
                (_, Some(t)) => {
                    self.timers.remove(&t);
                    // Timers may expire up to 2 ms late.
                    self.now = self.now.max(t.0 + 2 * MS);
                    self.notify(Event::Timer(t.1));
                }
                _ => break,
            }
        }
        self.now = self.now.max(end);
        self.sent[first_new..].to_vec()
    }

    pub fn attempts_in_flight(&self) -> Vec<SentAttempt> {
        self.sent.iter().filter(|s| s.in_flight).cloned().collect()
    }
}
