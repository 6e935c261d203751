//! The harness round one router: sends it events, fires its timers and keeps what it does.
use super::{Checker, MS, S};
use cranesill::{api::*, Router};
use std::collections::{BTreeMap, BTreeSet};

/// An attempt that the router has sent.
#[derive(Clone, Debug)]
pub struct Sent {
    pub request: RequestId,
    pub number: u16,
    pub target: u64,
    pub source: Option<u64>,
    pub fill: Option<Fill>,
    pub at: Timestamp,
    pub live: bool,
}

/// One router with all that it was told and did; every action is checked against the rules.
pub struct RouterHarness {
    pub router: Router,
    pub now: Timestamp,
    pub sent: Vec<Sent>,
    pub timers: BTreeSet<(Timestamp, u64, usize)>,
    pub log: Vec<String>,
    pub answers: BTreeMap<RequestId, Action>,
    pub checker: Checker,
    pub trace: Vec<Action>,
    /// Attempts end along with others.
    pub along: bool,
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
            trace: Vec::new(),
            along: false,
        };
        harness.notify(Event::Endpoints(ListKind::Full, endpoints));
        harness
    }

    /// Tells the router an event and returns the attempts that it answers with.
    pub fn notify(&mut self, event: Event) -> Vec<Sent> {
        self.checker.event(self.now, &event);
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        let before = self.sent.len();
        for action in actions {
            self.checker.action(self.now, &action);
            self.trace.push(action.clone());
            match action {
                Action::Send {
                    request,
                    target,
                    fill,
                    ..
                } => {
                    let number = self.sent.iter().filter(|s| s.request == request).count() as u16;
                    let source = fill.map(|f| f.source.0);
                    let (target, at) = (target.0, self.now);
                    self.sent.push(Sent {
                        request,
                        number,
                        target,
                        source,
                        fill,
                        at,
                        live: true,
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
        self.sent[before..].to_vec()
    }

    pub fn send_request(&mut self, request: Request) -> Vec<Sent> {
        self.notify(Event::Request(request))
    }

    /// Ends an attempt and returns the attempts that this leads to.
    pub fn end(
        &mut self,
        sent: &Sent,
        status: Status,
        note: FillNote,
        waited: Micros,
    ) -> Vec<Sent> {
        self.end_with(sent, status, note, waited, None)
    }

    /// The same, with a load report.
    pub fn end_with(
        &mut self,
        sent: &Sent,
        status: Status,
        note: FillNote,
        waited: Micros,
        report: Option<LoadReport>,
    ) -> Vec<Sent> {
        let mut same = self
            .sent
            .iter_mut()
            .filter(|s| s.request == sent.request && s.number == sent.number);
        let attempt = same.next().expect("was sent");
        assert!(attempt.live, "ended twice");
        attempt.live = false;
        let latency = self.now - attempt.at;
        let over = self.checker.closed(sent.request);
        let (request, attempt) = (sent.request, sent.number);
        let closed = over || status == Status::Ok;
        let along = self.along;
        self.notify(Event::Outcome(Outcome {
            request,
            attempt,
            closed,
            status,
            shared_failure: along,
            note,
            source_wait: waited,
            latency,
            report,
        }))
    }

    pub fn served(&mut self, sent: &Sent) {
        self.end(sent, Status::Ok, FillNote::Hit, 0);
    }

    /// Moves the clock, firing the timers that fall due and ending attempts whose client has given up.
    pub fn advance(&mut self, span: Micros) -> Vec<Sent> {
        let end = self.now + span;
        let before = self.sent.len();
        loop {
            let live = self.sent.iter().filter(|s| s.live);
            let due = live.map(|s| (self.checker.deadline(s.request).max(s.at), s.clone()));
            let due = due
                .min_by_key(|(at, s)| (*at, s.request, s.number))
                .filter(|(at, _)| *at <= end);
            let timer = self.timers.first().copied().filter(|t| t.0 <= end);
            match (due, timer) {
                (Some((at, attempt)), t) if t.is_none_or(|t| at <= t.0) => {
                    self.now = self.now.max(at);
                    self.end(&attempt, Status::Timeout, FillNote::None, 0);
                }
                (_, Some(t)) => {
                    self.timers.remove(&t);
                    // A timer may come a little late.
                    self.now = self.now.max(t.0 + 2 * MS);
                    self.notify(Event::Timer(t.1));
                }
                _ => break,
            }
        }
        self.now = self.now.max(end);
        self.sent[before..].to_vec()
    }

    pub fn live(&self) -> Vec<Sent> {
        self.sent.iter().filter(|s| s.live).cloned().collect()
    }
}
