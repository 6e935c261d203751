//! Operators' commands that purge, and that show the purge log and the cache nodes.
use super::{purge_timestamp, Purges};
use crate::server::drivers::{Effect, PurgeEffect, Turn};
use cranesill::api::{Micros, Timestamp};
use cranesill_purges::log::{Command, CommandError, Prepared};
use cranesill_purges::{Purge, PurgeNumber, PurgeTarget};
use serde_json::{json, Value};
use thiserror::Error;

/// Maximum number of purge commands that wait to be made durable.
const MAX_QUEUED_COMMANDS: usize = 1_024;
/// Maximum number of purges in a response.
const MAX_ROWS: usize = 1_000;
/// Maximum time that an operator may wait for the cache nodes.
const MAX_WAIT_S: u64 = 120;
const SECOND: Micros = 1_000_000;
/// Number of groups; their ids start at 0.
const GROUP_COUNT: u32 = 256;

/// An invalid purge target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TargetError {
    /// No target, or several.
    #[error("exactly one of object, group, tag and pattern is required")]
    NotExactlyOne,
    /// The object id is malformed.
    #[error("object: not 16 hex digits")]
    Object,
    /// The group id is malformed or out of range.
    #[error("group: not a number below {}", GROUP_COUNT)]
    Group,
}

/// Failure of an operator's command. Its text is sent to the operator.
#[derive(Debug, Error)]
pub(super) enum OperatorError {
    #[error(transparent)]
    Target(#[from] TargetError),
    #[error(transparent)]
    Rejected(#[from] CommandError),
    #[error("this front follows the purge log of {writer}; send the purge to that front")]
    NotTheWriter { writer: String },
    /// Another process writes the purge log.
    #[error("purge not accepted: {0}")]
    NotThisProcess(String),
    #[error(
        "{} purges are already waiting to be written to the journal",
        MAX_QUEUED_COMMANDS
    )]
    QueueFull,
    #[error("cannot write the purge journal: {0}")]
    JournalFailed(String),
    /// It is unknown whether the purge is in the journal.
    #[error(
        "the purge could not be written to the journal: {0}; it applies on this front until a restart; retry it with the \
         same id"
    )]
    NotDurable(String),
    #[error("purge {number} is not confirmed by {}", nodes.join(" "))]
    Unconfirmed {
        number: PurgeNumber,
        nodes: Vec<String>,
    },
    #[error("purges.boxes is not set: no cache node is sent purges")]
    NoCacheNodes,
}

/// A command that has to be answered, and how long its operator waits for the cache nodes to confirm it.
#[derive(Clone, Copy)]
pub(super) struct PendingResponse {
    command_id: u64,
    waits_until: Option<Timestamp>,
}

/// A purge command that waits to be made durable.
pub(super) struct QueuedCommand {
    pending: PendingResponse,
    command: Command,
}

/// A purge that is being made durable.
pub(super) struct AppendingPurge {
    pending: PendingResponse,
    purge: Purge,
}

/// A response that waits until all cache nodes have confirmed a purge.
pub(super) struct ConfirmationWait {
    command_id: u64,
    pub(super) until: Timestamp,
    number: PurgeNumber,
}

fn respond(turn: &mut Turn<'_>, command_id: u64, result: Result<Value, OperatorError>) {
    let result = result.map_err(|error| error.to_string());
    turn.effects.push(Effect::response(command_id, result));
}

impl Purges {
    /// Handles an operator's command. Commands of other subsystems are ignored.
    pub(super) fn handle_command(
        &mut self,
        turn: &mut Turn<'_>,
        command_id: u64,
        name: &str,
        args: &Value,
    ) {
        match name {
            "purge" => match self.queue_purge(turn.now, command_id, args) {
                Ok(()) => self.process_queue(turn),
                Err(error) => respond(turn, command_id, Err(error)),
            },
            "purge-boxes" => respond(turn, command_id, self.show_cache_nodes()),
            "purges" => respond(turn, command_id, Ok(self.show_log(args))),
            _ => {}
        }
    }

    fn queue_purge(
        &mut self,
        now: Timestamp,
        command_id: u64,
        args: &Value,
    ) -> Result<(), OperatorError> {
        if self.writer.is_some() {
            let follow = self.settings.follow.as_ref();
            let writer = follow.map_or_else(String::new, |follow| follow.address.clone());
            return Err(OperatorError::NotTheWriter { writer });
        }
        let text = |name: &str| args[name].as_str().unwrap_or("").into();
        let command = Command {
            target: parse_target(args)?,
            id: text("id"),
            who: text("who"),
            why: text("why"),
            all: args["all"].as_bool().unwrap_or(false),
        };
        if self.queue.len() >= MAX_QUEUED_COMMANDS {
            return Err(OperatorError::QueueFull);
        }
        let wait_s = args["wait_s"].as_u64();
        let pending = PendingResponse {
            command_id,
            waits_until: wait_s.map(|seconds| now + seconds.min(MAX_WAIT_S) * SECOND),
        };
        self.queue.push_back(QueuedCommand { pending, command });
        Ok(())
    }

    /// Starts to make the next queued purge durable, unless another write is pending.
    pub(super) fn process_queue(&mut self, turn: &mut Turn<'_>) {
        while self.appending.is_none() {
            let Some(QueuedCommand { pending, command }) = self.queue.pop_front() else {
                return;
            };
            if !self.sharing.is_writer() {
                let error = OperatorError::NotThisProcess(self.sharing.rejection());
                respond(turn, pending.command_id, Err(error));
                continue;
            }
            if let Some(cause) = &self.journal_failure {
                let error = OperatorError::JournalFailed(cause.clone());
                respond(turn, pending.command_id, Err(error));
                continue;
            }
            match self.log.prepare(purge_timestamp(turn), &command) {
                Ok(Prepared::Duplicate(number)) => {
                    let response = json!({"number": number, "repeated": true});
                    self.respond_to_purge(turn, pending, number, response);
                }
                Ok(Prepared::New(purge)) => self.append(turn, AppendingPurge { pending, purge }),
                Err(error) => respond(turn, pending.command_id, Err(error.into())),
            }
        }
    }

    fn append(&mut self, turn: &mut Turn<'_>, appending: AppendingPurge) {
        if self.journal.file().is_none() {
            return self.purge_appended(turn, appending);
        }
        let purge = appending.purge.clone();
        self.appending = Some(appending);
        if let Err(error) = self.journal.append(purge) {
            self.journal_failed(turn, &error.to_string());
        }
    }

    /// Applies a purge that is durable.
    pub(super) fn purge_appended(&mut self, turn: &mut Turn<'_>, appended: AppendingPurge) {
        let AppendingPurge { pending, purge } = appended;
        let number = purge.number;
        tracing::info!(number, what = ?purge.target, who = %purge.who, why = %purge.why, "purges: purge accepted");
        // Cannot fail: the purge was prepared as the next one, and none was appended since.
        let _ = self.log.append(self.log.identity, purge.clone());
        turn.effects
            .push(Effect::Purges(PurgeEffect::Purged(vec![purge])));
        let response = json!({"number": number, "repeated": false});
        self.respond_to_purge(turn, pending, number, response);
    }

    /// Handles a purge that could not be made durable. It still takes effect on this front, since it may be in the journal,
    /// and its operator gets an error.
    pub(super) fn purge_not_durable(
        &mut self,
        turn: &mut Turn<'_>,
        failed: AppendingPurge,
        cause: &str,
    ) {
        // Number 0: no confirmation of the cache nodes covers this purge.
        let purge = Purge {
            number: 0,
            ..failed.purge
        };
        turn.effects
            .push(Effect::Purges(PurgeEffect::Purged(vec![purge])));
        let error = OperatorError::NotDurable(cause.into());
        respond(turn, failed.pending.command_id, Err(error));
    }

    /// Responds to a purge command now, or once the cache nodes have confirmed it if the operator waits for that.
    fn respond_to_purge(
        &mut self,
        turn: &mut Turn<'_>,
        pending: PendingResponse,
        number: PurgeNumber,
        response: Value,
    ) {
        match pending.waits_until.filter(|_| self.cache_nodes.is_some()) {
            Some(until) => self.confirmation_waits.push(ConfirmationWait {
                command_id: pending.command_id,
                until,
                number,
            }),
            None => respond(turn, pending.command_id, Ok(response)),
        }
        self.advance_links(turn);
    }

    /// Responds to operators who wait for the cache nodes, once all have confirmed or the wait has timed out.
    pub(super) fn check_confirmation_waits(&mut self, turn: &mut Turn<'_>) {
        let Some(nodes) = &self.cache_nodes else {
            return;
        };
        self.confirmation_waits.retain(|wait| {
            let number = wait.number;
            let unconfirmed = nodes.unconfirmed(number);
            let result = match unconfirmed.is_empty() {
                true => Ok(json!({"number": number, "confirmed": "by all boxes"})),
                false if turn.now >= wait.until => Err(OperatorError::Unconfirmed {
                    number,
                    nodes: unconfirmed,
                }),
                false => return true,
            };
            respond(turn, wait.command_id, result);
            false
        });
    }

    fn show_cache_nodes(&self) -> Result<Value, OperatorError> {
        let nodes = self.cache_nodes.as_ref();
        let rows = nodes.ok_or(OperatorError::NoCacheNodes)?.rows();
        Ok(json!({"last": self.log.last_number(), "boxes": rows}))
    }

    fn show_log(&self, args: &Value) -> Value {
        let rows: Vec<Value> = match args["number"].as_u64() {
            Some(number) => self.log.get(number).into_iter().map(purge_row).collect(),
            None => self
                .log
                .iter()
                .rev()
                .take(MAX_ROWS)
                .map(purge_row)
                .collect(),
        };
        let followers = self.followers.as_ref();
        json!({"last": self.log.last_number(), "held_after": self.log.base(),
               "ledger": format!("{:016x}", self.log.identity), "not_kept": self.journal_failure,
               "followers": followers.map(|followers| followers.connected()), "purges": rows})
    }
}

/// The representation of a purge in responses.
fn purge_row(purge: &Purge) -> Value {
    let target = match &purge.target {
        PurgeTarget::Object(object) => json!({"object": format!("{object:016x}")}),
        PurgeTarget::Group(group) => json!({"group": group}),
        PurgeTarget::Tag(tag) => json!({"tag": tag}),
        PurgeTarget::Pattern(pattern) => json!({"pattern": pattern}),
    };
    json!({"number": purge.number, "at_ms": purge.at_ms, "what": target, "id": purge.id, "who": purge.who,
           "why": purge.why})
}

/// Parses the purge target in the arguments of a command.
pub fn parse_target(args: &Value) -> Result<PurgeTarget, TargetError> {
    let names = ["object", "group", "tag", "pattern"];
    let mut given = names.into_iter().filter(|name| !args[*name].is_null());
    let (Some(name), None) = (given.next(), given.next()) else {
        return Err(TargetError::NotExactlyOne);
    };
    let value = &args[name];
    let text = value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_string);
    match name {
        "object" => parse_object(&text).ok_or(TargetError::Object),
        "group" => parse_group(&text).ok_or(TargetError::Group),
        "tag" => Ok(PurgeTarget::Tag(text.into())),
        _ => Ok(PurgeTarget::Pattern(text.into())),
    }
}

fn parse_object(text: &str) -> Option<PurgeTarget> {
    if text.len() != 16 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let number = u64::from_str_radix(text, 16).ok()?;
    Some(PurgeTarget::Object(number))
}

fn parse_group(text: &str) -> Option<PurgeTarget> {
    let number: u32 = text.parse().ok()?;
    (number < GROUP_COUNT).then_some(PurgeTarget::Group(number))
}
