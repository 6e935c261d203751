//! Takeover of the listening socket for clients from an earlier process of this front.
use super::timers::Timer;
use super::Server;
use crate::routing::ExecutionKey;
use crate::server::drivers::{Effect, ProcessEffect};
use crate::server::handover::{Announcement, Handover};
use crate::transport::retry_on_shortage;
use cranesill::api::{Micros, Timestamp};
use std::io;
use std::path::PathBuf;

/// Interval at which a process checks whether an earlier one has handed over the socket or has ended.
const TAKEOVER_POLL_INTERVAL: Micros = 10_000;

/// Idle timeout of upstream connections in a process that has handed over the socket and shares the limits with its successor.
const HANDOVER_UPSTREAM_IDLE: Micros = 500_000;

impl Server {
    /// Determines at startup whether another process of this front accepts clients.
    pub(super) fn begin_takeover(&mut self, now: Timestamp) {
        // If no other process accepts, the first poll acquires the right to accept.
        self.accepts_clients = self.handover.is_none();
        self.poll_takeover(now);
        if !self.accepts_clients {
            tracing::info!(
                kind = "upgrade",
                "waits for another process to hand over the listening socket"
            );
        }
    }

    /// Starts accepting clients once no other process of this front does, and stops sharing the limits once the earlier one has ended.
    pub(super) fn poll_takeover(&mut self, now: Timestamp) {
        let Some(handover) = &mut self.handover else {
            return;
        };
        if self.shutdown.is_some() {
            return;
        }
        let may_accept = handover.try_accept();
        let is_only_process = handover.is_only_process();
        if is_only_process {
            self.effects
                .push(Effect::Process(ProcessEffect::PredecessorEnded));
        }
        if may_accept && !self.accepts_clients {
            self.effects.push(Effect::Process(ProcessEffect::TakesOver));
        }
        self.deliver_effects(now);
        let accepts = may_accept && self.drivers_may_accept_clients();
        if accepts && !self.accepts_clients {
            self.poll_executions(now);
        }
        let Some(handover) = &mut self.handover else {
            return;
        };
        if is_only_process {
            handover.executions.remove_ended();
        }
        if accepts && !self.accepts_clients {
            let learned = handover.take_learned(now);
            tracing::info!(kind = "upgrade", learned = learned.len(), "accepts clients");
            self.pipeline.restore_learned_health(now, learned);
        }
        self.accepts_clients = accepts;
        self.share_limits(now, !is_only_process);
        self.watch_listener(true);
        if !accepts || !is_only_process {
            self.timers
                .add(now + TAKEOVER_POLL_INTERVAL, Timer::TakeoverPoll);
        }
    }

    fn drivers_may_accept_clients(&self) -> bool {
        self.drivers
            .iter()
            .all(|running| running.driver.may_accept_clients())
    }

    /// Announces to the other processes of this front that a request which must not be executed twice is about to be sent. Returns
    /// `false` if another process has announced it.
    pub(super) fn announce_execution(&mut self, now: Timestamp, key: Option<ExecutionKey>) -> bool {
        let Some((key, handover)) = key.zip(self.handover.as_mut()) else {
            return true;
        };
        handover
            .executions
            .announce(key, self.pipeline.executions.known());
        // A process that shuts down may have a successor that it has not seen yet.
        let others = handover.executions.read_others(self.shutdown.is_some());
        let is_duplicate = others
            .iter()
            .any(|other| other.key == key && !other.withdrawn);
        self.apply_announcements(now, &others, Some(key));
        !is_duplicate
    }

    /// Reads what other processes of this front have announced.
    pub(super) fn poll_executions(&mut self, now: Timestamp) {
        if let Some(handover) = &mut self.handover {
            let others = handover.executions.read_others(true);
            self.apply_announcements(now, &others, None);
        }
    }

    /// Applies announcements of other processes. A request that this process has announced itself stays known.
    fn apply_announcements(
        &mut self,
        now: Timestamp,
        others: &[Announcement],
        own: Option<ExecutionKey>,
    ) {
        let executions = &mut self.pipeline.executions;
        for announced in others.iter().filter(|announced| Some(announced.key) != own) {
            if announced.withdrawn {
                executions.forget(announced.key);
            } else {
                executions.record(now, announced.key);
            }
        }
    }

    /// Sets whether the limits are shared with another process of this front, and applies the resulting limits.
    pub(super) fn share_limits(&mut self, now: Timestamp, shared: bool) {
        if std::mem::replace(&mut self.config.limits_shared, shared) != shared {
            self.upstream.set_limits(
                self.config.max_upstream_connections(),
                self.shutdown.map(|_| HANDOVER_UPSTREAM_IDLE),
            );
            self.pipeline
                .set_connection_limits(now, self.upstream.cache_node_limits());
            self.pipeline.set_capacity(self.config.capacity_limits());
        }
    }

    /// Whether clients are accepted by another process.
    pub(super) fn another_process_accepts(&self) -> bool {
        !self.accepts_clients || self.config.accept_fd.is_some() && self.shutdown.is_some()
    }
}

/// Opens the directory shared by the processes of this front. Without it this process serves without coordination.
pub(super) fn open_handover() -> Option<Handover> {
    let directory = std::env::var_os("TMPDIR").filter(|directory| !directory.is_empty());
    let found = directory
        .ok_or_else(|| io::Error::other("TMPDIR is not set"))
        .map(PathBuf::from);
    let opened = found.and_then(|directory| retry_on_shortage(|| Handover::new(&directory)));
    if let Err(error) = &opened {
        tracing::warn!(kind = "upgrade", %error, "cannot open the shared directory: other processes of this front accept clients at the same time");
    }
    opened.ok()
}
