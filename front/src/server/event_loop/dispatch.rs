//! Carries out the routing's commands until there are none.
use super::timers::Due;
use super::Server;
use crate::routing::{AttemptId, Command, End, Fetch};
use crate::server::downstream::ClientEvent;
use crate::server::drivers::Effect;
use crate::server::upstream::Ends;
use cranesill::api::{EndpointId, Timestamp};

impl Server {
    /// Puts an attempt on a connection to its node, or notes when that is tried again.
    pub(super) fn dispatch(
        &mut self,
        now: Timestamp,
        key: usize,
        target: (AttemptId, EndpointId, Timestamp),
        fetch: &Fetch,
        ends: &mut Ends,
    ) {
        let waiting_until = self.nodes.redial_due();
        if let Some(key) = self
            .nodes
            .send(now, &self.reactor, key, target, fetch, ends)
        {
            let due = now + self.config.deployment.settings.connect_timeout;
            self.deadlines.add(due, Due::Dial(key));
        }
        if let Some(at) = self
            .nodes
            .redial_due()
            .filter(|at| Some(*at) != waiting_until)
        {
            self.deadlines.add(at, Due::Redial);
        }
    }

    /// Books ends and carries out commands until there are none.
    pub(super) fn settle(&mut self, now: Timestamp, mut ends: Ends) {
        loop {
            for (attempt, end) in std::mem::take(&mut ends) {
                self.front.ended(now, attempt, end);
            }
            for gone in self.clients.lost() {
                if let ClientEvent::Gone(from) = gone {
                    self.front.gone(now, from);
                }
            }
            let Some(command) = self.front.command() else {
                break;
            };
            match command {
                Command::Send(attempt, to, fetch) => {
                    let key = self.key();
                    let due = now + self.config.deployment.settings.connect_timeout;
                    // A purge told meanwhile leaves no more time than that to what was decided before it; a repeat goes out in
                    // its window or not at all.
                    let unwritten = due.min(now + self.config.deployment.limits.purge_grace);
                    let by = unwritten.min(fetch.latest).min(fetch.deadline);
                    self.dispatch(now, key, (attempt, to, by), &fetch, &mut ends);
                    self.deadlines.add(by, Due::Unwritten(attempt));
                }
                Command::Abort(attempt) => {
                    self.nodes.abort(now, attempt, &mut ends);
                    ends.insert(0, (attempt, End::CalledOff));
                }
                Command::Answer(to, answer) => self.clients.answer(now, to, answer),
                Command::Wake(at, wake) => self.deadlines.add(at, Due::Wake(wake)),
                Command::Lied(member) => self.effects.push(Effect::Lied(member.0)),
                Command::Log(text) => tracing::info!(kind = "decision", text, "decision"),
            }
        }
    }
}
