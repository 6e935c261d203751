//! Carries out the routing's commands until there are none.
use super::timers::Timer;
use super::Server;
use crate::routing::{AttemptId, Command, End, Fetch};
use crate::server::downstream::ClientEvent;
use crate::server::drivers::Effect;
use crate::server::upstream::Ends;
use cranesill::api::{EndpointId, Timestamp};

impl Server {
    /// Puts an attempt on a connection to its node, or notes when that is tried again.
    pub(super) fn send_attempt(
        &mut self,
        now: Timestamp,
        key: usize,
        target: (AttemptId, EndpointId, Timestamp),
        fetch: &Fetch,
        ends: &mut Ends,
    ) {
        let waiting_until = self.upstream.redial_due();
        if let Some(key) = self
            .upstream
            .send(now, &self.reactor, key, target, fetch, ends)
        {
            let due = now + self.config.deployment.settings.connect_timeout;
            self.timers.add(due, Timer::ConnectTimeout(key));
        }
        if let Some(at) = self
            .upstream
            .redial_due()
            .filter(|at| Some(*at) != waiting_until)
        {
            self.timers.add(at, Timer::Redial);
        }
    }

    /// Books ends and carries out commands until there are none.
    pub(super) fn run_commands(&mut self, now: Timestamp, mut ends: Ends) {
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
                    let key = self.next_key();
                    let due = now + self.config.deployment.settings.connect_timeout;
                    // A purge told meanwhile leaves no more time than that to what was decided before it; a repeat goes out in
                    // its window or not at all.
                    let unwritten = due.min(now + self.config.deployment.limits.purge_grace);
                    let by = unwritten.min(fetch.latest).min(fetch.deadline);
                    self.send_attempt(now, key, (attempt, to, by), &fetch, &mut ends);
                    self.timers.add(by, Timer::WriteDeadline(attempt));
                }
                Command::Abort(attempt) => {
                    self.upstream.abort(now, attempt, &mut ends);
                    ends.insert(0, (attempt, End::CalledOff));
                }
                Command::Answer(to, answer) => self.clients.answer(now, to, answer),
                Command::Wake(at, wake) => self.timers.add(at, Timer::Routing(wake)),
                Command::Lied(member) => self.effects.push(Effect::Lied(member.0)),
                Command::Log(text) => tracing::info!(kind = "decision", text, "decision"),
            }
        }
    }
}
