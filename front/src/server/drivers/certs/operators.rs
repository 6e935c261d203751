//! Operators' commands that concern certificates.
use super::{time_now, Certs};
use crate::server::drivers::{Effect, Turn};
use cranesill_certs::planner::CertificateStatus;
use cranesill_certs::{Event, Identity};
use serde_json::{json, Value};

/// The commands, each with a line of help.
pub(super) const COMMANDS: [(&str, &str); 5] = [
    (
        "certs",
        "state of all certificates and of the authority; {name}: of one",
    ),
    ("certs-renew", "{name}: renew the certificate now"),
    (
        "certs-revoke",
        "{name, reason}: revoke the certificate and order a new one",
    ),
    (
        "certs-import",
        "{key, chain}: serve this key and chain, both in PEM",
    ),
    ("certs-roll-key", "replace the key of the ACME account"),
];

impl Certs {
    /// Runs a command. One that needs a request to the authority is answered when that is complete.
    pub(super) fn handle_command(
        &mut self,
        turn: &mut Turn<'_>,
        id: u64,
        command: &str,
        arguments: &Value,
    ) {
        let text = |field: &str| arguments[field].as_str().unwrap_or("");
        let name = text("name").to_ascii_lowercase();
        if command == "certs" {
            let state = self.state(turn, &name);
            return turn.effects.push(Effect::response(id, Ok(state)));
        }
        let is_change = COMMANDS.iter().any(|(name, _)| *name == command);
        if !is_change || self.reject_command(turn, id) {
            return;
        }
        match command {
            "certs-renew" => self.handle(turn, Event::Renew(id, name)),
            "certs-revoke" => {
                let reason = arguments["reason"].as_u64();
                let reason = reason.and_then(|r| u8::try_from(r).ok()).unwrap_or(0);
                self.handle(turn, Event::Revoke(id, name, reason));
            }
            "certs-import" => match Identity::from_key_and_chain(text("key"), text("chain")) {
                Ok(identity) => self.handle(turn, Event::Import(id, Box::new(identity))),
                Err(error) => turn.effects.push(Effect::response(id, Err(error))),
            },
            "certs-roll-key" => self.handle(turn, Event::RollKey(id)),
            _ => {}
        }
    }

    /// Returns the state of the authority and of the certificates that cover `name`, or of all if `name` is empty.
    fn state(&self, turn: &Turn<'_>, name: &str) -> Value {
        let time = time_now(turn.now);
        let rows: Vec<_> = self
            .client
            .statuses(time)
            .iter()
            .filter(|(row, _)| name.is_empty() || row.names.iter().any(|n| n == name))
            .map(|(row, served)| row_state(row, *served, time.wall))
            .collect();
        json!({"certificates": rows, "authority": self.client.state(time)})
    }
}

/// Returns the state of one certificate at the given Unix time.
fn row_state(row: &CertificateStatus, served: Option<&Identity>, wall_clock_s: u64) -> Value {
    let state = match served {
        None => "missing",
        Some(identity) if wall_clock_s > identity.not_after => "EXPIRED",
        Some(identity) if wall_clock_s < identity.not_before => "not-yet-valid",
        Some(_) => "good",
    };
    let failure = row.last_failure.as_ref();
    let failure = failure.map(|(cause, text)| json!({"cause": cause.as_str(), "text": text}));
    json!({
        "name": row.id,
        "names": row.names,
        "certificate": state,
        "order": row.state,
        "next_s": row.next_s,
        "failures": row.failures,
        "refused": row.refused,
        "why": failure,
        "not_before": served.map(|i| i.not_before),
        "not_after": served.map(|i| i.not_after),
        "left_s": served.map(|i| i.not_after as i64 - wall_clock_s as i64),
        "covers": served.map(|i| i.names.clone()),
        "serial": served.map(|i| i.serial.clone()),
        "issuer": served.map(|i| i.issuer.clone()),
    })
}
