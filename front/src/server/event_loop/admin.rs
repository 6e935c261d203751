//! Operator commands that are handled by the front itself rather than by a driver.
use super::Server;
use crate::protocol::cache_node::endpoint_name;
use crate::server::drivers::purges::parse_target;
use crate::server::error::AdminError;
use cranesill::api::Timestamp;
use cranesill_daemon::Level;
use serde_json::{json, Value};

/// The operator commands handled by the front itself, each with its help text.
pub(super) const ADMIN_COMMANDS: [(&str, &str); 11] = [
    ("health", "check whether the front serves clients"),
    ("counters", "show the counters of requests and connections"),
    (
        "cordon",
        "{node}: take a cache, a parent or the origin out of service",
    ),
    ("uncordon", "{node}: return a cordoned endpoint to service"),
    ("quiesce", "drain the front of clients"),
    ("resume", "accept clients again after quiesce"),
    (
        "purge-dry",
        "{object | group | tag | pattern}: count the known objects that match",
    ),
    ("status", "show the state of the front"),
    (
        "startup",
        "show readiness, what it waits for, and the connections to the list service",
    ),
    ("log", "{level}: change the log level until the next reload"),
    (
        "reload",
        "reload configuration and settings, as SIGHUP does",
    ),
];

/// Whether the front itself handles the command.
pub(super) fn is_admin_command(name: &str) -> bool {
    ADMIN_COMMANDS.iter().any(|(command, _)| *command == name)
}

impl Server {
    /// Runs an operator command; `name` is one of [`ADMIN_COMMANDS`].
    pub(super) fn run_admin_command(
        &mut self,
        now: Timestamp,
        name: &str,
        arguments: &Value,
    ) -> Result<Value, AdminError> {
        match name {
            "health" => self.health(),
            "counters" => Ok(self.counters()),
            "cordon" => self.change_cordon(now, arguments, true),
            "uncordon" => self.change_cordon(now, arguments, false),
            "quiesce" => Ok(self.quiesce(now).into()),
            "resume" => self.resume().map(Value::from),
            "log" => self.set_log_level(arguments),
            "purge-dry" => self.count_purge_matches(arguments),
            "startup" => Ok(self.startup_state(now)),
            "reload" => {
                self.reload(now);
                Ok("reloaded; see the log for the settings that were applied".into())
            }
            _ => Ok(self.status(now)),
        }
    }

    fn health(&self) -> Result<Value, AdminError> {
        if self.shutdown.is_some() {
            return Err(AdminError::ShuttingDown);
        }
        if self.quiesced_at.is_some() {
            return Err(AdminError::Quiesced);
        }
        Ok("serving".into())
    }

    /// Changes the log level until the next reload.
    fn set_log_level(&mut self, arguments: &Value) -> Result<Value, AdminError> {
        let level: Level =
            serde_json::from_value(arguments["level"].clone()).map_err(AdminError::LogLevel)?;
        self.log.set(&cranesill_daemon::Log {
            level,
            ..self.settings.log.clone()
        });
        Ok(json!(format!("log level set to {level:?}").to_lowercase()))
    }

    /// Counts the known objects that a purge would match, without purging them.
    fn count_purge_matches(&self, arguments: &Value) -> Result<Value, AdminError> {
        let target = parse_target(arguments).map_err(AdminError::PurgeTarget)?;
        let floors = self.pipeline.floors.as_ref();
        let floors = floors.ok_or(AdminError::PurgesDisabled)?;
        let (known, matched) = floors.count_matches(&target);
        Ok(json!({"known_objects": known, "matched": matched}))
    }

    /// Returns the state of startup: readiness, and the connections to the list service.
    fn startup_state(&self, now: Timestamp) -> Value {
        let in_use = self.upstream.listed().count();
        let mut state = self
            .startup
            .state(in_use, self.upstream.reached_endpoints());
        let unreachable_since = self.discovery.unreachable_since();
        let revision = self.discovery.revision();
        let next_call_at = unreachable_since.map(|_| self.discovery.deadline);
        state["list"] = json!({
            "last_event": revision,
            "unheard_for_ms": unreachable_since.map(|since| now.saturating_sub(since) / 1_000),
            "calls": self.discovery.calls_started,
            "next_call_in_ms": next_call_at.map(|at| at.saturating_sub(now) / 1_000),
        });
        state
    }

    /// Returns the state of the front.
    fn status(&self, now: Timestamp) -> Value {
        let cordoned: Vec<_> = self.cordoned.iter().map(|id| endpoint_name(*id)).collect();
        let unreachable_since = self.discovery.unreachable_since();
        let revision = self.discovery.revision();
        let executions = &self.pipeline.executions;
        json!({
            "name": self.config.name,
            "version": env!("CARGO_PKG_VERSION"),
            "up_s": (now - self.started_at) / 1_000_000,
            "leaving": self.shutdown.is_some(),
            "quiesced": self.quiesced_at.is_some(),
            "accepts_clients": !self.another_process_accepts(),
            "limits_shared": self.config.limits_shared,
            "out_by_hand": cordoned,
            "list": {
                "last_event": revision,
                "clock_ahead_ms": self.pipeline.clock_offset.offset_ms(),
                "unheard_for_ms": unreachable_since.map(|since| now.saturating_sub(since) / 1_000),
            },
            "open_requests": self.pipeline.pending_requests(),
            "clients": self.clients.len(),
            "clients_most": self.config.max_clients(),
            "held_bytes": self.clients.buffered_bytes() + self.upstream.buffered_bytes(),
            "held_bytes_most": self.config.max_client_buffers(),
            "body_bytes": self.pipeline.body_bytes(),
            "executions": {"known": executions.len(), "duplicates": executions.duplicates, "evicted": executions.evicted},
            "body_bytes_most": self.config.capacity_limits().max_body_bytes,
            "settings": self.settings_file,
            "purges": self.purge_status(),
        })
    }

    /// Returns the state of purges; null if they are not enabled.
    fn purge_status(&self) -> Value {
        let Some(floors) = &self.pipeline.floors else {
            return Value::Null;
        };
        let shield = self.pipeline.shield.as_ref();
        json!({
            "live_objects_groups_tags_patterns": floors.counts(),
            "answers_refused": floors.stale_replies,
            "lies": floors.stale_despite_request,
            "shield_passed": shield.map(|shield| shield.passed),
            "shield_refused": shield.map(|shield| shield.rejected),
            "answers_in_doubt": floors.lease.as_ref().map(|lease| lease.unverified_replies),
        })
    }

    /// Returns the counters under the names that the platform defines for them.
    fn counters(&self) -> Value {
        let mut all = serde_json::Map::new();
        let mut put = |name: String, count: u64| {
            all.insert(format!("edge_relay.{name}"), count.into());
        };
        for (class, counts) in self.pipeline.response_counts() {
            put(format!("handled.{class}.passed"), counts.served);
            put(format!("handled.{class}.dropped"), counts.rejected);
            put(format!("handled.{class}.bad_gateway"), counts.failed);
        }
        let known = self.upstream.listed().count() + self.startup.waiting();
        let skipped = self.upstream.listed();
        let skipped = skipped.filter(|id| self.pipeline.is_avoided(*id)).count();
        put("upstream_tries".into(), self.upstream.attempts_written);
        put(
            "in_progress".into(),
            self.pipeline.pending_requests() as u64,
        );
        put("known_cache_nodes".into(), known as u64);
        put("skipped_cache_nodes".into(), skipped as u64);
        all.into()
    }
}
