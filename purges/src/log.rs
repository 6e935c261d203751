//! The ordered purge log. One front is the writer, which numbers purges; the others are followers, which append them in
//! order.
use crate::matching::{parse_pattern, PatternError};
use crate::{Purge, PurgeNumber, PurgeTarget, UnixMillis, MAX_TAG_BYTES, MAX_TEXT_BYTES};
use std::collections::{HashMap, VecDeque};
use thiserror::Error;

/// Maximum number of purges in a batch for a follower or a cache node.
pub const MAX_BATCH_PURGES: usize = 256;
/// Maximum number of purges in the log. Further commands are rejected until purges are compacted.
pub const MAX_PURGES: usize = 4_000_000;

/// An operator's command to purge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// The set of objects to remove.
    pub target: PurgeTarget,
    /// The idempotency key: commands with the same id are one purge. It must not be empty.
    pub id: Box<str>,
    /// The name of the requester, for the audit trail.
    pub who: Box<str>,
    /// The reason for the request, for the audit trail.
    pub why: Box<str>,
    /// Whether the operator has confirmed that a pattern may match everything.
    pub all: bool,
}

/// The result of a valid command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Prepared {
    /// A new purge, which must be durable before it is appended to the log and sent to others.
    New(Purge),
    /// The command repeats the purge with this number.
    Duplicate(PurgeNumber),
}

/// The reason why a command is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CommandError {
    /// The id, requester or reason is longer than [`MAX_TEXT_BYTES`] or contains control characters.
    #[error("id, who or why: longer than {MAX_TEXT_BYTES} bytes, or contains control characters")]
    InvalidText,
    /// The id is empty.
    #[error("id: must not be empty")]
    EmptyId,
    /// The tag is empty, longer than [`MAX_TAG_BYTES`] or contains control characters.
    #[error("tag: empty, longer than {MAX_TAG_BYTES} bytes, or contains control characters")]
    InvalidTag,
    /// The tag contains a character that separates tags on the wire.
    #[error("tag: must not contain a comma or semicolon")]
    TagWithSeparator,
    /// The pattern is not valid.
    #[error(transparent)]
    Pattern(#[from] PatternError),
    /// The pattern matches everything, and the operator has not confirmed that.
    #[error("pattern: matches everything; confirm with `all` if that is intended")]
    MatchesEverything,
    /// The log has a purge with the same id and another target.
    #[error("id: already used by a purge with another target")]
    IdInUse,
    /// The log contains [`MAX_PURGES`] purges.
    #[error("purge log is full: {MAX_PURGES} purges are not compacted yet")]
    Full,
}

/// The result of [`PurgeLog::append`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Appended {
    /// The purge was appended.
    New,
    /// The log already contains the purge, or has compacted it.
    AlreadyPresent,
}

/// The reason why a purge cannot be appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AppendError {
    /// The number is greater than the next one, so that purges are missing in between.
    #[error("purges before this one are missing")]
    Gap,
    /// The purge belongs to a log with another identity.
    #[error("the purge belongs to another log")]
    Foreign,
    /// The log contains a different purge with the same number.
    #[error("the log contains a different purge with the same number")]
    Conflict,
    /// The log contains [`MAX_PURGES`] purges.
    #[error("the purge log is full: {MAX_PURGES} purges are not compacted yet")]
    Full,
}

/// The purges that are not compacted yet, in the order of their numbers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PurgeLog {
    /// Identifies the log. Purge numbers are only comparable within one log.
    pub identity: u64,
    /// The number of the last compacted purge; 0 if there is none.
    base: PurgeNumber,
    /// See [`PurgeLog::purged_up_to`].
    purged_up_to: UnixMillis,
    purges: VecDeque<Purge>,
    by_command_id: HashMap<Box<str>, PurgeNumber>,
}

impl PurgeLog {
    /// Creates an empty log that starts with purge 1.
    pub fn new(identity: u64) -> Self {
        PurgeLog {
            identity,
            base: 0,
            purged_up_to: 0,
            purges: VecDeque::new(),
            by_command_id: HashMap::new(),
        }
    }

    /// Creates an empty log whose purges up to `base` were compacted.
    pub fn after(identity: u64, base: PurgeNumber) -> Self {
        PurgeLog {
            base,
            ..PurgeLog::new(identity)
        }
    }

    /// Returns the number of the last purge, which may be compacted; 0 if there was no purge yet.
    pub fn last_number(&self) -> PurgeNumber {
        self.base + self.purges.len() as u64
    }

    /// Returns the number of the last compacted purge; 0 if there is none.
    pub fn base(&self) -> PurgeNumber {
        self.base
    }

    /// Returns the time up to which purges may be missing from the log, so that all copies created before it count as purged; 0
    /// if none was ever missing.
    pub fn purged_up_to(&self) -> UnixMillis {
        self.purged_up_to
    }

    /// Records that purges up to a time may be missing from the log. Like a purge this must be durable, or a restart would
    /// take the log for complete.
    pub fn record_missing(&mut self, up_to: UnixMillis) {
        self.purged_up_to = self.purged_up_to.max(up_to);
    }

    /// Returns the purge with this number; `None` if it was compacted or does not exist yet.
    pub fn get(&self, number: PurgeNumber) -> Option<&Purge> {
        let index = number.checked_sub(self.base + 1)?;
        self.purges.get(usize::try_from(index).ok()?)
    }

    /// Iterates over the purges that are not compacted, in the order of their numbers.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Purge> {
        self.purges.iter()
    }

    /// Validates a command on the writer, and prepares a purge that takes effect at `now`. The caller makes a new purge
    /// durable and then appends it. Timestamps never decrease, even if the clock does, so that purges are ordered by
    /// both number and time.
    pub fn prepare(&self, now: UnixMillis, command: &Command) -> Result<Prepared, CommandError> {
        command.validate()?;
        if let Some(number) = self.by_command_id.get(&command.id) {
            let existing = self.get(*number);
            if existing.is_some_and(|purge| purge.target != command.target) {
                return Err(CommandError::IdInUse);
            }
            return Ok(Prepared::Duplicate(*number));
        }
        if self.purges.len() >= MAX_PURGES {
            return Err(CommandError::Full);
        }
        let last_at_ms = self.purges.back().map_or(0, |purge| purge.at_ms);
        Ok(Prepared::New(Purge {
            number: self.last_number() + 1,
            at_ms: last_at_ms.max(now),
            target: command.target.clone(),
            id: command.id.clone(),
            who: command.who.clone(),
            why: command.why.clone(),
        }))
    }

    /// Appends a purge that is durable on the writer, or was received from it.
    pub fn append(&mut self, identity: u64, purge: Purge) -> Result<Appended, AppendError> {
        if identity != self.identity {
            return Err(AppendError::Foreign);
        }
        if purge.number <= self.last_number() {
            let existing = self.get(purge.number);
            if existing.is_some_and(|existing| *existing != purge) {
                return Err(AppendError::Conflict);
            }
            return Ok(Appended::AlreadyPresent);
        }
        if purge.number > self.last_number() + 1 {
            return Err(AppendError::Gap);
        }
        if self.purges.len() >= MAX_PURGES {
            return Err(AppendError::Full);
        }
        self.by_command_id.insert(purge.id.clone(), purge.number);
        self.purges.push_back(purge);
        Ok(Appended::New)
    }

    /// Returns up to [`MAX_BATCH_PURGES`] purges after a number; `None` if some of them were compacted. A follower must then
    /// restart at [`PurgeLog::base`] and treat all older copies as purged.
    pub fn batch_after(&self, after: PurgeNumber) -> Option<Vec<Purge>> {
        let skipped = usize::try_from(after.checked_sub(self.base)?).ok()?;
        let batch = self.purges.iter().skip(skipped).take(MAX_BATCH_PURGES);
        Some(batch.cloned().collect())
    }

    /// Removes purges up to number `confirmed`, which all cache nodes have applied, that took effect before `horizon`, the
    /// earliest creation time of any copy that an endpoint may still have. Returns the number of removed purges.
    pub fn compact(&mut self, confirmed: PurgeNumber, horizon: UnixMillis) -> usize {
        let is_obsolete = |purge: &&Purge| purge.number <= confirmed && purge.at_ms < horizon;
        let count = self.purges.iter().take_while(is_obsolete).count();
        for purge in self.purges.drain(..count) {
            self.by_command_id.remove(&purge.id);
        }
        self.base += count as u64;
        count
    }
}

impl Command {
    fn validate(&self) -> Result<(), CommandError> {
        let texts = [&self.id, &self.who, &self.why];
        if !texts.iter().all(|text| is_valid_text(text, MAX_TEXT_BYTES)) {
            return Err(CommandError::InvalidText);
        }
        if self.id.is_empty() {
            return Err(CommandError::EmptyId);
        }
        match &self.target {
            PurgeTarget::Object(_) | PurgeTarget::Group(_) => Ok(()),
            PurgeTarget::Tag(tag) => validate_tag(tag),
            PurgeTarget::Pattern(pattern) => {
                let parsed = parse_pattern(pattern)?;
                if parsed.matches_everything && !self.all {
                    return Err(CommandError::MatchesEverything);
                }
                Ok(())
            }
        }
    }
}

fn validate_tag(tag: &str) -> Result<(), CommandError> {
    if tag.is_empty() || !is_valid_text(tag, MAX_TAG_BYTES) {
        return Err(CommandError::InvalidTag);
    }
    if tag.contains([',', ';']) {
        return Err(CommandError::TagWithSeparator);
    }
    Ok(())
}

fn is_valid_text(text: &str, max_bytes: usize) -> bool {
    text.len() <= max_bytes && !text.chars().any(char::is_control)
}

#[cfg(test)]
mod tests;
