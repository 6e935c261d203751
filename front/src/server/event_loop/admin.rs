//! Carries out the commands of operators that concern the front itself.
use super::Server;
use crate::protocol::member::name_of;
use crate::server::drivers::purges::what;
use cranesill::api::Timestamp;
use cranesill_daemon::Level;
use serde_json::{json, Value};

/// Words for operators that the front itself takes.
pub(super) const ADMIN_COMMANDS: [(&str, &str); 11] = [
    ("health", "whether it can serve"),
    ("counters", "the figures"),
    (
        "cordon",
        "{node}: take a cache, a parent or the origin out, by hand",
    ),
    ("uncordon", "{node}: it may serve again"),
    ("quiesce", "empty the front of clients"),
    ("resume", "take clients again"),
    (
        "purge-dry",
        "{object | group | tag | pattern}: how many known objects match",
    ),
    ("status", "how the front stands"),
    (
        "startup",
        "whether it is ready, what it waits for, and the calls on the list service",
    ),
    (
        "log",
        "{level}: change the log's level until the next reload",
    ),
    (
        "reload",
        "read configuration and settings again, as SIGHUP does",
    ),
];

impl Server {
    /// Answers an operator.
    pub(super) fn run_admin_command(
        &mut self,
        now: Timestamp,
        word: &str,
        args: &Value,
    ) -> Result<Value, String> {
        match word {
            "health" if self.shutdown.is_some() => Err("leaving".into()),
            "health" if self.quiesced_at.is_some() => Err("quiesced".into()),
            "health" => Ok("serving".into()),
            "counters" => Ok(self.counters()),
            "cordon" | "uncordon" => self.change_cordon(now, args, word == "cordon"),
            "quiesce" => Ok(self.quiesce(now).into()),
            "resume" => self.resume().map(Value::from),
            "log" => {
                let level: Level = serde_json::from_value(args["level"].clone())
                    .map_err(|e| format!("level: {e}"))?;
                self.log.set(&cranesill_daemon::Log {
                    level,
                    ..self.settings.log.clone()
                });
                Ok(json!(format!("level is {level:?}").to_lowercase()))
            }
            "purge-dry" => {
                let what = what(args)?;
                let floors = self.front.floors.as_ref().ok_or("purges are off")?;
                let (known, matched) = floors.matched(&what);
                Ok(json!({"known_objects": known, "matched": matched}))
            }
            "startup" => {
                let mut shown = self
                    .startup
                    .shown(self.upstream.listed().count(), self.upstream.reached());
                let (unheard, last) = self.discovery.stands();
                shown["list"] = json!({
                    "last_event": last, "unheard_for_ms": unheard.map(|since| now.saturating_sub(since) / 1_000),
                    "calls": self.discovery.called, "next_call_in_ms": unheard.map(|_| self.discovery.due.saturating_sub(now) / 1_000),
                });
                Ok(shown)
            }
            "reload" => {
                self.reload(now);
                Ok("read again; the log tells what was taken over".into())
            }
            _ => Ok(json!({
                "name": self.config.name, "version": env!("CARGO_PKG_VERSION"),
                "up_s": (now - self.started_at) / 1_000_000, "leaving": self.shutdown.is_some(),
                "quiesced": self.quiesced_at.is_some(), "accepts_clients": !self.another_process_accepts(),
                "limits_shared": self.config.halved,
                "out_by_hand": self.cordoned.iter().map(|id| name_of(*id)).collect::<Vec<_>>(),
                "list": json!({"last_event": self.discovery.stands().1, "clock_ahead_ms": self.front.ahead.ms(),
                    "unheard_for_ms": self.discovery.stands().0.map(|since| now.saturating_sub(since) / 1_000)}),
                "open_requests": self.front.open(), "clients": self.clients.len(),
                "clients_most": self.config.clients_most(), "held_bytes": self.clients.held() + self.upstream.held(),
                "held_bytes_most": self.config.held_most(), "settings": self.settings_file,
                "purges": self.front.floors.as_ref().map(|f| json!({
                    "live_objects_groups_tags_patterns": f.counts(), "answers_refused": f.refused, "lies": f.lies,
                    "shield_passed": self.front.shield.as_ref().map(|s| s.passed),
                    "shield_refused": self.front.shield.as_ref().map(|s| s.refused),
                    "answers_in_doubt": f.contact.as_ref().map(|c| c.doubtful)})),
            })),
        }
    }

    /// The figures, by their names.
    fn counters(&self) -> Value {
        let mut all = serde_json::Map::new();
        let mut put =
            |name: String, n: u64| drop(all.insert(format!("edge_relay.{name}"), n.into()));
        for (class, counts) in self.front.counts() {
            put(format!("handled.{class}.passed"), counts.passed);
            put(format!("handled.{class}.dropped"), counts.dropped);
            put(format!("handled.{class}.bad_gateway"), counts.bad_gateway);
        }
        put("upstream_tries".into(), self.upstream.written);
        put("in_progress".into(), self.front.open() as u64);
        put(
            "known_cache_nodes".into(),
            (self.upstream.listed().count() + self.startup.waiting()) as u64,
        );
        put(
            "skipped_cache_nodes".into(),
            self.upstream
                .listed()
                .filter(|m| self.front.avoids(*m))
                .count() as u64,
        );
        all.into()
    }
}
