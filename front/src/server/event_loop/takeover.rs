//! Takes the clients' socket over from an earlier process of this front and leaves it to a later one.
use super::timers::Due;
use super::Server;
use crate::server::handover::Shared;
use crate::transport::at_start;
use cranesill::api::{Micros, Timestamp};
use std::io;
use std::path::PathBuf;

/// A process that waits for another to leave the clients' socket to it looks this often.
const TAKE_OVER: Micros = 10_000;

/// A process that leaves the socket to another closes connections to members that carry nothing for this long.
const LINK_IDLE: Micros = 500_000;

impl Server {
    /// Accepts clients once no other process of this front does, and uses all of its limits once none is left.
    pub(super) fn take_over(&mut self, now: Timestamp, first: bool) {
        let Some(shared) = &mut self.shared else {
            return;
        };
        if self.draining.is_some() {
            return;
        }
        let (accepts, alone) = (shared.accepts(), shared.alone());
        if accepts && (first || !self.accepts) {
            let learned = shared.learned(now);
            tracing::info!(kind = "upgrade", learned = learned.len(), "accepts clients");
            self.front.learn(now, learned);
        }
        if first && !accepts {
            tracing::info!(
                kind = "upgrade",
                "waits for another process to leave the clients' socket"
            );
        }
        self.accepts = accepts;
        self.halve(now, !alone);
        self.listen(true);
        if !accepts || !alone {
            self.deadlines.add(now + TAKE_OVER, Due::TakeOver);
        }
    }

    /// Shares the limits with another process of this front, or no longer.
    pub(super) fn halve(&mut self, now: Timestamp, halved: bool) {
        if std::mem::replace(&mut self.config.halved, halved) != halved {
            self.nodes
                .limit(self.config.links_most(), self.draining.map(|_| LINK_IDLE));
            self.front.set_reach(now, self.nodes.reach());
            self.front.set_room(self.config.room());
        }
    }

    /// Whether another process accepts on the clients' socket now.
    pub(super) fn elsewhere(&self) -> bool {
        !self.accepts || self.config.accept_fd.is_some() && self.draining.is_some()
    }
}

/// The folder that the platform shares between the processes of this front. Without it a new process serves all the
/// same.
pub(super) fn share() -> Option<Shared> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty());
    let found = folder
        .ok_or_else(|| io::Error::other("TMPDIR is not set"))
        .map(PathBuf::from);
    let opened = found.and_then(|folder| at_start(|| Shared::new(&folder)));
    if let Err(error) = &opened {
        tracing::warn!(kind = "upgrade", %error, "nothing is shared with another process: it accepts clients as well");
    }
    opened.ok()
}
