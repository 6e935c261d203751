//! Empties the front: for good after SIGTERM, or until an operator resumes it.
use super::timers::Timer;
use super::Server;
use crate::server::drain::{Drain, Stage};
use crate::server::signals::drain;
use cranesill::api::{Micros, Timestamp};

/// A front that is emptied serves what is asked on open connections for this long; then it refuses.
pub(super) const QUIESCE_GRACE: Micros = 1_500_000;

impl Server {
    /// SIGTERM: clients are told, and what is taken is still answered.
    pub(super) fn begin_shutdown(&mut self, now: Timestamp) {
        drain(&self.sigterm);
        if self.shutdown.is_none() {
            tracing::info!("SIGTERM: leaving");
            let drain = Drain::new(
                now,
                &self.config.deployment.limits.waits,
                self.handover.is_some(),
            );
            self.shutdown = Some(drain);
            self.clients.drain(now, self.config.accept_fd.is_some());
            self.watch_listener(true);
            let learned = self.front.learned();
            if let Some(shared) = &mut self.handover {
                shared.hand_over(now, &learned);
                self.share_limits(now, true);
            }
            drain
                .moments()
                .into_iter()
                .for_each(|at| self.timers.add(at, Timer::ShutdownStage));
        }
    }

    /// Goes on with the end of the program, if it was told to end. Whether that is over.
    pub(super) fn advance_shutdown(&mut self, now: Timestamp) -> bool {
        // A request whose last byte comes after the end of its connection would be lost.
        let owes = self.front.open() > 0 || !self.clients.flushed() || self.clients.begun();
        let clients = self.clients.len() > 0;
        let Some(drain) = &mut self.shutdown else {
            return false;
        };
        if let Some(over) = drain.part(now, owes, clients) {
            self.clients.part(now);
            self.timers.add(over, Timer::ShutdownStage);
        }
        let all_gone = self.clients.parting() && self.clients.len() == 0;
        drain.stage(now) == Stage::Over || all_gone
    }

    /// Empties the front: clients are told to go elsewhere, what is taken is answered.
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

    pub(super) fn resume(&mut self) -> Result<&'static str, String> {
        if self.shutdown.is_some() {
            return Err("leaving: another process takes over".into());
        }
        if self.quiesced_at.take().is_some() {
            tracing::info!(kind = "quiesce", "takes clients again");
            self.clients.resume();
            self.front.close(false);
        }
        Ok("takes clients")
    }
}
