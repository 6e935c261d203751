//! Timers of the event loop and their handlers. Timers are not cancelled: each handler checks whether its timer still applies.
use super::Server;
use crate::routing::{AttemptId, EventSource, Timer as RoutingTimer};
use crate::server::drivers::{Effect, EndpointEffect};
use crate::server::upstream::Ends;
use cranesill::api::{Micros, Timestamp};

/// Interval of the periodic checks.
pub(super) const SWEEP_INTERVAL: Micros = 250_000;

/// Timers of the event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A timer set by the routing.
    Routing(RoutingTimer),
    /// The connect timeout of the upstream connection with this poller key.
    ConnectTimeout(usize),
    /// The time at which the attempt is withdrawn if none of it is written.
    WriteDeadline(AttemptId),
    /// The connection to the list service may have timed out, or is due to be started.
    Discovery,
    /// The periodic checks of connections, log and readiness are due.
    Sweep,
    /// The stage of the graceful shutdown may have changed.
    ShutdownStage,
    /// The grace period of a quiesced front is over.
    QuiesceGrace,
    /// Endpoints in slow start may become usable.
    SlowStart,
    /// The state of an earlier process of this front is polled.
    TakeoverPoll,
    /// The cordons set in another process of this front are polled.
    CordonPoll,
    /// The `cordon` command with this id is confirmed to the operator.
    CordonConfirmation(u64),
    /// The pause after a failed `accept` is over.
    AcceptRetry,
    /// Attempts for which this host could not start a connection are retried.
    Redial,
}

impl Server {
    /// Handles an expired timer.
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

    /// Closes a silent connection to the list service or starts a new one, unless the deadline has moved since the timer was set.
    fn poll_discovery(&mut self, now: Timestamp) {
        if now < self.discovery.deadline {
            return;
        }
        let key = self.next_key();
        self.discovery.poll(now, &self.reactor, key);
        self.timers.add(self.discovery.deadline, Timer::Discovery);
    }

    /// Runs the periodic checks: closes dead and idle connections, and updates state that has no timer of its own.
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

    /// Logs a warning once when the lease of the purge log expires for lack of contact with its writer.
    fn check_purge_contact(&mut self, now: Timestamp) {
        let floors = self.pipeline.floors.as_mut();
        let lease = floors.and_then(|floors| floors.lease.as_mut());
        if lease.is_some_and(|lease| lease.report_expiry(now)) {
            tracing::warn!(
                kind = "contact-lost",
                "purges: lease expired without contact with the writer of the purge log"
            );
        }
    }

    /// Retries attempts for which this host could not start a connection.
    fn redial(&mut self, now: Timestamp, ends: &mut Ends) {
        for (target, fetch) in self.upstream.take_redials(now) {
            let key = self.next_key();
            self.send_attempt(now, key, target, &fetch, ends);
        }
    }
}
