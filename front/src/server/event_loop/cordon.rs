//! Takes endpoints out of service and back at an operator's request, also one made to another process of this front.
use super::timers::Timer;
use super::Server;
use crate::protocol::member::name_of;
use crate::protocol::ops::member_id;
use crate::server::handover::OUT_MOST;
use cranesill::api::{EndpointId, Micros, Timestamp};
use serde_json::Value;

/// It looks this often for members out by hand of which another process of this front has heard.
const CORDON_POLL_INTERVAL: Micros = 100_000;

impl Server {
    /// Takes a member out by hand, or gives it back. Only one that is or was listed can be meant.
    pub(super) fn change_cordon(
        &mut self,
        now: Timestamp,
        args: &Value,
        out: bool,
    ) -> Result<Value, String> {
        let text = args["node"].as_str().ok_or("node: missing")?;
        let id = member_id(text).ok_or("node: not s- and 8 hex digits")?;
        let known = self.upstream.listed().any(|listed| listed == id)
            || self.startup.has(id)
            || self.front.avoids(id);
        if !known {
            return Err(format!("{text}: unknown"));
        }
        if out && self.cordoned.len() >= OUT_MOST && !self.cordoned.contains(&id) {
            return Err(format!("{text}: {OUT_MOST} are out by hand already"));
        }
        if let Some(shared) = &self.handover {
            shared
                .set_out(id, out)
                .map_err(|e| format!("{text}: it can't be kept: {e}"))?;
        }
        self.apply_cordon(now, id, out);
        self.run_commands(now, Vec::new());
        Ok(if out { "out" } else { "may serve" }.into())
    }

    fn apply_cordon(&mut self, now: Timestamp, id: EndpointId, out: bool) {
        let changed = if out {
            self.cordoned.insert(id)
        } else {
            self.cordoned.remove(&id)
        };
        if changed {
            tracing::info!(
                kind = "by-hand",
                member = name_of(id),
                out,
                "cache node by hand"
            );
            self.front.by_hand(now, id, out);
            let mut ends = Vec::new();
            if out {
                self.upstream.leave_out(id, &mut ends);
            }
            self.run_commands(now, ends);
        }
    }

    /// Looks which members are out by hand: another process of this front may have been told.
    pub(super) fn poll_cordons(&mut self, now: Timestamp) {
        let Some(shared) = &mut self.handover else {
            return;
        };
        if let Some(out) = shared.out() {
            let changed: Vec<_> = out.symmetric_difference(&self.cordoned).copied().collect();
            changed
                .into_iter()
                .for_each(|id| self.apply_cordon(now, id, out.contains(&id)));
        }
        self.timers
            .add(now + CORDON_POLL_INTERVAL, Timer::CordonPoll);
    }
}
