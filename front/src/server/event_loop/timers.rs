//! The kinds of timer that the loop sets, and what is done when one expires. Timers are not cancelled: whoever handles one
//! checks whether it still matters.
use super::Server;
use crate::routing::{AttemptId, EventSource, Timer as RoutingTimer};
use crate::server::drivers::{Effect, EndpointEffect};
use crate::server::upstream::Ends;
use cranesill::api::{Micros, Timestamp};

/// Interval between two sweeps over all connections.
pub(super) const SWEEP_INTERVAL: Micros = 250_000;

/// A timer of the loop, by what is to be done when it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The routing asked to be woken.
    Routing(RoutingTimer),
    /// The upstream connection under this poller key fails if it is not established.
    ConnectTimeout(usize),
    /// The attempt is withdrawn if no byte of it has been written.
    WriteDeadline(AttemptId),
    /// The connection to the list service is given up, or tried again.
    Discovery,
    /// Connections, logs and readiness are checked.
    Sweep,
    /// A stage of the graceful shutdown may have been reached.
    ShutdownStage,
    /// A quiesced front no longer takes requests.
    QuiesceGrace,
    /// Endpoints that wait in slow start come into use.
    SlowStart,
    /// An earlier process of this front may have left the clients' socket.
    TakeoverPoll,
    /// Another process of this front may have been asked for cordons.
    CordonPoll,
    /// The cordon that was asked for by the command with this id is confirmed.
    CordonConfirmation(u64),
    /// The clients' listener is tried again after a failed `accept`.
    AcceptRetry,
    /// Upstream connections that this machine failed to begin are tried again.
    Redial,
}

impl Server {
    /// Does what is due when a timer expires.
    pub(super) fn handle_timer(&mut self, now: Timestamp, timer: Timer) {
        let mut ends = Vec::new();
        match timer {
            Timer::Routing(wake) => self.pipeline.handle_timer(now, wake),
            Timer::ConnectTimeout(key) => self.upstream.fail_unestablished(key, &mut ends),
            Timer::WriteDeadline(attempt) => self.upstream.withdraw(attempt, &mut ends),
            Timer::Discovery => self.poll_discovery(now),
            Timer::Sweep => self.sweep(now, &mut ends),
            Timer::ShutdownStage => self.enter_shutdown_stage(now),
            Timer::QuiesceGrace => self.end_quiesce_grace(now),
            Timer::SlowStart => {
                let list = self.startup.take_due(now);
                self.update_endpoints(now, false, list, EventSource::Stored);
            }
            Timer::TakeoverPoll => self.poll_takeover(now),
            Timer::CordonPoll => self.poll_cordons(now),
            Timer::CordonConfirmation(id) => {
                self.effects.push(Effect::response(id, Ok("out".into())));
                self.deliver_effects(now);
            }
            Timer::AcceptRetry => {
                self.accept_backoff.resume();
                self.watch_listener(true);
                self.accept_clients(now);
            }
            Timer::Redial => self.redial(now, &mut ends),
        }
        self.run_commands(now, ends);
    }

    /// Gives up a silent connection to the list service, or connects, unless the deadline has moved since the timer was set.
    fn poll_discovery(&mut self, now: Timestamp) {
        if now < self.discovery.deadline {
            return;
        }
        let key = self.next_key();
        self.discovery.poll(now, &self.reactor, key);
        self.timers.add(self.discovery.deadline, Timer::Discovery);
    }

    /// Closes dead and idle connections and checks what has no timer of its own.
    fn sweep(&mut self, now: Timestamp, ends: &mut Ends) {
        let max_buffered = self.config.capacity_limits().max_buffered_bytes;
        let events = self
            .clients
            .sweep(now, max_buffered, self.config.max_client_buffers());
        self.log.report_suppressed();
        self.check_purge_contact(now);
        self.handle_client_events(now, events);
        self.cancel_disconnected(now);
        self.upstream.sweep(now, ends);
        self.update_readiness(now);
        if self.discovery.is_connected() && self.forwards_watch_events {
            self.effects
                .push(Effect::Endpoints(EndpointEffect::Current));
            self.deliver_effects(now);
        }
        self.watch_listener(true);
        self.timers.add(now + SWEEP_INTERVAL, Timer::Sweep);
    }

    /// Logs when the contact with the writer of the purge log is lost.
    fn check_purge_contact(&mut self, now: Timestamp) {
        let floors = self.pipeline.floors.as_mut();
        let lease = floors.and_then(|floors| floors.lease.as_mut());
        if lease.is_some_and(|lease| lease.report_expiry(now)) {
            tracing::warn!(kind = "contact-lost", "purges: no contact with the ledger");
        }
    }

    /// Sends attempts again for which this machine failed to begin a connection.
    fn redial(&mut self, now: Timestamp, ends: &mut Ends) {
        for (target, fetch) in self.upstream.take_redials(now) {
            let key = self.next_key();
            self.send_attempt(now, key, target, &fetch, ends);
        }
    }
}
