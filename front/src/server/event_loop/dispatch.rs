//! Executes the commands of the routing.
use super::timers::Timer;
use super::Server;
use crate::routing::{AttemptEnd, AttemptId, Command, Fetch};
use crate::server::downstream::ClientEvent;
use crate::server::drivers::{Effect, EndpointEffect};
use crate::server::upstream::{Ends, Target};
use cranesill::api::{EndpointId, Timestamp};

impl Server {
    /// Sends an attempt on a connection to its endpoint, and sets the timers for a connect timeout or a retry. `key` is the poller
    /// key for a new connection.
    pub(super) fn send_attempt(
        &mut self,
        now: Timestamp,
        key: usize,
        target: Target,
        fetch: &Fetch,
        ends: &mut Ends,
    ) {
        let redial_before = self.upstream.redial_due();
        let connection_key = self
            .upstream
            .send(now, &self.reactor, key, target, fetch, ends);
        if let Some(key) = connection_key {
            let timeout_at = now + self.config.deployment.settings.connect_timeout;
            self.timers.add(timeout_at, Timer::ConnectTimeout(key));
        }
        let redial_at = self.upstream.redial_due();
        if let Some(at) = redial_at.filter(|_| redial_at != redial_before) {
            self.timers.add(at, Timer::Redial);
        }
    }

    /// Reports ended attempts to the routing and executes its commands until there are none left.
    pub(super) fn run_commands(&mut self, now: Timestamp, mut ends: Ends) {
        loop {
            for (attempt, end) in std::mem::take(&mut ends) {
                self.pipeline.attempt_ended(now, attempt, end);
            }
            for event in self.clients.take_disconnected() {
                if let ClientEvent::Disconnected(from) = event {
                    self.pipeline.cancel_request(now, from);
                }
            }
            let Some(command) = self.pipeline.next_command() else {
                return;
            };
            self.run_command(now, command, &mut ends);
        }
    }

    fn run_command(&mut self, now: Timestamp, command: Command, ends: &mut Ends) {
        match command {
            Command::Send {
                attempt,
                target,
                fetch,
            } => {
                if self.announce_execution(now, fetch.execution) {
                    self.begin_attempt(now, attempt, target, &fetch, ends);
                } else {
                    self.pipeline.withhold_duplicate(now, attempt);
                }
            }
            Command::Cancel(attempt) => {
                self.upstream.cancel(now, attempt, ends);
                ends.insert(0, (attempt, AttemptEnd::Cancelled));
            }
            Command::Respond {
                to,
                response,
                deadline,
            } => self.clients.respond(now, to, response, deadline),
            Command::SetTimer { at, timer } => self.timers.add(at, Timer::Routing(timer)),
            Command::NotExecuted(key) => {
                if let Some(handover) = &mut self.handover {
                    handover.executions.withdraw(key);
                }
            }
            Command::StaleCopyServed(endpoint) => {
                let endpoint = endpoint.0;
                let message = EndpointEffect::StaleCopyServed { endpoint };
                self.effects.push(Effect::Endpoints(message));
            }
            Command::Log(text) => tracing::info!(kind = "decision", text, "decision"),
        }
    }

    /// Sends an attempt and sets its write deadline.
    fn begin_attempt(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        endpoint: EndpointId,
        fetch: &Fetch,
        ends: &mut Ends,
    ) {
        let key = self.next_key();
        let connect_timeout = self.config.deployment.settings.connect_timeout;
        // Bounded by the purge grace period, since a purge may invalidate the decision, and by the window in which endpoints
        // recognize a retry.
        let write_deadline = (now + connect_timeout)
            .min(now + self.config.deployment.limits.purge_grace)
            .min(fetch.write_by)
            .min(fetch.deadline);
        let target = Target {
            attempt,
            endpoint,
            write_deadline,
        };
        self.send_attempt(now, key, target, fetch, ends);
        self.timers
            .add(write_deadline, Timer::WriteDeadline(attempt));
    }
}
