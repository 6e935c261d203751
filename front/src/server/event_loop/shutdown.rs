//! Graceful shutdown after SIGTERM, and draining of the front by an operator.
use super::timers::Timer;
use super::Server;
use crate::server::drain::{Drain, Stage};
use crate::server::drivers::{Effect, ProcessEffect};
use crate::server::error::AdminError;
use crate::server::signals;
use cranesill::api::{Micros, Timestamp};

/// Time for which a quiesced front still accepts requests on open connections.
const QUIESCE_GRACE: Micros = 1_500_000;

impl Server {
    /// Starts the graceful shutdown after SIGTERM: clients are notified, and the right to accept clients is handed over to another
    /// process. Accepted requests are still answered.
    pub(super) fn begin_shutdown(&mut self, now: Timestamp) {
        signals::clear(&self.sigterm);
        if self.shutdown.is_some() {
            return;
        }
        tracing::info!("SIGTERM: leaving, graceful shutdown started");
        let waits = &self.config.deployment.limits.client_timeouts;
        let drain = Drain::new(now, waits, self.handover.is_some());
        self.shutdown = Some(drain);
        self.clients.drain(now, self.config.accept_fd.is_some());
        self.watch_listener(true);
        self.poll_executions(now);
        // Before the right to accept clients: the next process acquires both.
        self.effects.push(Effect::Process(ProcessEffect::ShutsDown));
        self.deliver_effects(now);
        let learned = self.pipeline.learned_health();
        if let Some(handover) = &mut self.handover {
            handover.hand_over(now, &learned);
            self.share_limits(now, true);
        }
        for at in drain.deadlines() {
            self.timers.add(at, Timer::ShutdownStage);
        }
    }

    /// Performs the actions of the current shutdown stage.
    pub(super) fn enter_shutdown_stage(&mut self, now: Timestamp) {
        let Some(drain) = &self.shutdown else {
            return;
        };
        let stage = drain.stage(now);
        if stage >= Stage::Rejecting {
            self.pipeline.reject_new_requests(true);
            for running in &mut self.drivers {
                running.driver.drain();
            }
        }
        if stage >= Stage::Closing {
            self.pipeline.conclude_all(now);
        }
    }

    /// Advances a shutdown: starts closing connections when the schedule allows it. Returns whether the process can exit.
    pub(super) fn advance_shutdown(&mut self, now: Timestamp) -> bool {
        // Partially received requests count as unfinished: closing their connections would lose them.
        let has_unfinished = self.pipeline.pending_requests() > 0
            || !self.clients.is_flushed()
            || self.clients.has_partial_requests();
        let has_clients = self.clients.len() > 0;
        let Some(drain) = &mut self.shutdown else {
            return false;
        };
        if let Some(end_at) = drain.begin_closing(now, has_unfinished, has_clients) {
            self.clients.close_all(now);
            self.timers.add(end_at, Timer::ShutdownStage);
        }
        let all_closed = self.clients.closes_all() && self.clients.len() == 0;
        all_closed || drain.is_over(now, || self.clients.has_undelivered_responses(now))
    }

    /// Drains this front until an operator resumes it: clients are asked to send no new requests, accepted requests are answered.
    pub(super) fn quiesce(&mut self, now: Timestamp) -> &'static str {
        if self.quiesced_at.is_none() {
            tracing::info!(kind = "quiesce", clients = self.clients.len(), "quiesced");
            self.quiesced_at = Some(now);
            self.clients.drain(now, true);
            self.timers.add(now + QUIESCE_GRACE, Timer::QuiesceGrace);
            self.run_commands(now, Vec::new());
        }
        "quiesced"
    }

    /// Rejects new requests after the grace period of a quiesced front.
    pub(super) fn end_quiesce_grace(&mut self, now: Timestamp) {
        // The front may have been resumed and quiesced again since the timer was set.
        let quiesced_at = self.quiesced_at;
        if quiesced_at.is_some_and(|since| now >= since + QUIESCE_GRACE) {
            self.pipeline.reject_new_requests(true);
        }
    }

    /// Accepts clients again after [`Server::quiesce`].
    pub(super) fn resume(&mut self) -> Result<&'static str, AdminError> {
        if self.shutdown.is_some() {
            return Err(AdminError::ReplacedByAnotherProcess);
        }
        if self.quiesced_at.take().is_some() {
            tracing::info!(kind = "quiesce", "resumed: takes clients again");
            self.clients.resume();
            self.pipeline.reject_new_requests(false);
        }
        Ok("takes clients")
    }
}
