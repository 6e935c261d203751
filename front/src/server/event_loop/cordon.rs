//! Cordons: endpoints taken out of service by operators, synchronized between the processes of this front.
use super::timers::Timer;
use super::Server;
use crate::protocol::admin::endpoint_id;
use crate::protocol::cache_node::endpoint_name;
use crate::server::error::AdminError;
use crate::server::handover::MAX_CORDONS;
use cranesill::api::{EndpointId, Micros, Timestamp};
use serde_json::Value;

/// Interval at which cordons set in another process of this front are read.
const CORDON_POLL_INTERVAL: Micros = 100_000;

impl Server {
    /// Sets or lifts the cordon of an endpoint on an operator's command. The endpoint must be listed or have been listed.
    pub(super) fn change_cordon(
        &mut self,
        now: Timestamp,
        args: &Value,
        cordoned: bool,
    ) -> Result<Value, AdminError> {
        let text = args["node"].as_str().ok_or(AdminError::EndpointMissing)?;
        let id = endpoint_id(text).ok_or(AdminError::EndpointMalformed)?;
        let known = self.upstream.listed().any(|listed| listed == id)
            || self.startup.is_waiting(id)
            || self.pipeline.is_avoided(id);
        if !known {
            return Err(AdminError::EndpointUnknown(text.into()));
        }
        if cordoned && self.cordoned.len() >= MAX_CORDONS && !self.cordoned.contains(&id) {
            return Err(AdminError::TooManyCordons {
                endpoint: text.into(),
                limit: MAX_CORDONS,
            });
        }
        if let Some(handover) = &self.handover {
            let stored = handover.set_cordon(id, cordoned);
            stored.map_err(|source| AdminError::CordonNotStored {
                endpoint: text.into(),
                source,
            })?;
        }
        self.apply_cordon(now, id, cordoned);
        self.run_commands(now, Vec::new());
        Ok(if cordoned { "out" } else { "may serve" }.into())
    }

    /// Applies a change of the cordon of an endpoint; does nothing if it is already in that state.
    fn apply_cordon(&mut self, now: Timestamp, id: EndpointId, cordoned: bool) {
        let changed = if cordoned {
            self.cordoned.insert(id)
        } else {
            self.cordoned.remove(&id)
        };
        if !changed {
            return;
        }
        tracing::info!(
            kind = "by-hand",
            member = endpoint_name(id),
            out = cordoned,
            "cordon changed"
        );
        self.pipeline.set_cordoned(now, id, cordoned);
        let mut ends = Vec::new();
        if cordoned {
            self.upstream.exclude(id, &mut ends);
        }
        self.run_commands(now, ends);
    }

    /// Applies cordons set or lifted, and executions announced, in another process of this front.
    pub(super) fn poll_cordons(&mut self, now: Timestamp) {
        let Some(handover) = &mut self.handover else {
            return;
        };
        if let Some(cordons) = handover.cordons() {
            let changed: Vec<_> = cordons
                .symmetric_difference(&self.cordoned)
                .copied()
                .collect();
            for id in changed {
                self.apply_cordon(now, id, cordons.contains(&id));
            }
        }
        self.poll_executions(now);
        self.timers
            .add(now + CORDON_POLL_INTERVAL, Timer::CordonPoll);
    }
}
