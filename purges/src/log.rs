//! The purge log: purges in order. One front writes it and others follow. Only numbers and positions are assumed of the
//! writer, so that a replicated log can take its place.
use crate::matching::{parse_pattern, PatternError};
use crate::{Purge, PurgeNumber, PurgeTarget, UnixMillis, MAX_TAG_BYTES, MAX_TEXT_BYTES};
use std::collections::{HashMap, VecDeque};
use thiserror::Error;

/// Most purges in one batch for a follower or a cache node.
pub const MAX_BATCH_PURGES: usize = 256;
/// Most purges in the log: further ones are rejected until some are compacted.
pub const MAX_PURGES: usize = 4_000_000;

/// A command to purge, as an operator gives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// What to remove.
    pub target: PurgeTarget,
    /// Its id: repeating a command is one purge.
    pub id: Box<str>,
    /// Who requests it.
    pub who: Box<str>,
    /// Why it is requested.
    pub why: Box<str>,
    /// Whether the operator has confirmed a pattern that matches everything.
    pub all: bool,
}

/// A command that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Prepared {
    /// It is this new purge, which must be durable before anybody is notified of it.
    New(Purge),
    /// It repeats the purge of this number.
    Duplicate(PurgeNumber),
}

/// Why a command was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CommandError {
    /// A text of the command is too long or contains control characters.
    #[error("id, who or why: too long, or with control characters")]
    InvalidText,
    /// The command has no id.
    #[error("id: empty")]
    EmptyId,
    /// The tag is empty, too long or contains control characters.
    #[error("tag: empty, too long, or with control characters")]
    InvalidTag,
    /// The tag contains a character that separates tags on the wire.
    #[error("tag: with a comma or semicolon")]
    TagWithSeparator,
    /// The pattern is not valid.
    #[error(transparent)]
    Pattern(#[from] PatternError),
    /// The pattern matches everything, which the operator has not confirmed.
    #[error("pattern: it matches everything; say so if it is meant")]
    MatchesEverything,
    /// The id belongs to a purge of another target.
    #[error("id: names another purge")]
    IdInUse,
    /// The log holds [`MAX_PURGES`].
    #[error("full")]
    Full,
}

/// What [`PurgeLog::append`] did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Appended {
    /// The purge is the new last one.
    New,
    /// The log had the same purge already.
    AlreadyPresent,
}

/// Why a purge was not appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AppendError {
    /// Its number is beyond the next one: those between have to come first.
    #[error("a gap in the numbers")]
    Gap,
    /// It belongs to another log.
    #[error("a purge of another log")]
    Foreign,
    /// The log has another purge under its number.
    #[error("another purge has this number")]
    Conflict,
    /// The log holds [`MAX_PURGES`].
    #[error("the log is full")]
    Full,
}

/// The purge log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PurgeLog {
    /// Identifies the log: numbers of another one mean nothing here.
    pub identity: u64,
    /// The number before the first purge that the log still has.
    base: PurgeNumber,
    purges: VecDeque<Purge>,
    by_command_id: HashMap<Box<str>, PurgeNumber>,
}

impl PurgeLog {
    /// An empty log.
    pub fn new(identity: u64) -> Self {
        PurgeLog {
            identity,
            base: 0,
            purges: VecDeque::new(),
            by_command_id: HashMap::new(),
        }
    }

    /// An empty log that continues after `base`: everything up to it was compacted.
    pub fn after(identity: u64, base: PurgeNumber) -> Self {
        PurgeLog {
            base,
            ..PurgeLog::new(identity)
        }
    }

    /// The last number; 0 if there was no purge yet.
    pub fn last_number(&self) -> PurgeNumber {
        self.base + self.purges.len() as u64
    }

    /// The number before the first purge that the log still has.
    pub fn base(&self) -> PurgeNumber {
        self.base
    }

    /// The purge of a number, unless it was compacted or is not there yet.
    pub fn get(&self, number: PurgeNumber) -> Option<&Purge> {
        let index = number.checked_sub(self.base + 1)?;
        self.purges.get(usize::try_from(index).ok()?)
    }

    /// All purges that the log still has, in order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Purge> {
        self.purges.iter()
    }

    /// Validates a command at `now`, on the writer. A new purge is not in the log yet: it is appended once it is
    /// durable. Dates never decrease, whatever the clock does, so that the order by number is the order by date.
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

    /// Appends a purge that is durable on the writer, or came from it.
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

    /// The purges after a number, as one batch. `None`: some of them were compacted, and the follower has to begin at
    /// [`PurgeLog::base`] and count everything older as purged.
    pub fn batch_after(&self, after: PurgeNumber) -> Option<Vec<Purge>> {
        let skipped = usize::try_from(after.checked_sub(self.base)?).ok()?;
        let batch = self.purges.iter().skip(skipped).take(MAX_BATCH_PURGES);
        Some(batch.cloned().collect())
    }

    /// Removes purges up to number `confirmed`, which all cache nodes have applied, that are from before `horizon`: no
    /// endpoint has an older copy any more. Returns how many it removed.
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
