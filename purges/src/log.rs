//! The ledger: purges in order. One writes, others follow; only numbers and positions are assumed of the writer, so
//! that a replicated log can take its place.
use crate::matching::parse_pattern;
use crate::{Purge, PurgeNumber, PurgeTarget, UnixMillis, MAX_TAG_BYTES, MAX_TEXT_BYTES};
use std::collections::{HashMap, VecDeque};

/// Purges in one batch for a follower or a box, and bytes of it by estimate.
pub const MAX_BATCH_PURGES: usize = 256;
/// Purges that are held at most: one more is refused until some are compacted.
pub const MAX_PURGES: usize = 4_000_000;

/// A command to purge, as an operator gives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// What it names.
    pub target: PurgeTarget,
    /// Its id: repeating it is one purge.
    pub id: Box<str>,
    /// Who asks.
    pub who: Box<str>,
    /// Why.
    pub why: Box<str>,
    /// A pattern that matches everything is meant to.
    pub all: bool,
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Prepared {
    /// It is this purge; to be kept before anybody is told.
    New(Purge),
    /// It was this purge before.
    Duplicate(PurgeNumber),
}

/// Why something does not go into the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// A number that comes after the next one: what is between has to come first.
    Gap,
    /// From another ledger than the one followed.
    Foreign,
    /// The same number with other content.
    Conflict,
    /// No room.
    Full,
    /// What is named can't be: why.
    Bad(&'static str),
}

/// The ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PurgeLog {
    /// Which ledger this is: numbers of another mean nothing here.
    pub identity: u64,
    /// The number before the first that is held.
    base: PurgeNumber,
    purges: VecDeque<Purge>,
    by_command_id: HashMap<Box<str>, PurgeNumber>,
}

impl PurgeLog {
    /// An empty ledger.
    pub fn new(identity: u64) -> Self {
        PurgeLog {
            identity,
            base: 0,
            purges: VecDeque::new(),
            by_command_id: HashMap::new(),
        }
    }

    /// One that continues after `base`: what came before was compacted.
    pub fn after(identity: u64, base: PurgeNumber) -> Self {
        PurgeLog {
            base,
            ..PurgeLog::new(identity)
        }
    }

    /// The last number; 0: none yet.
    pub fn last_number(&self) -> PurgeNumber {
        self.base + self.purges.len() as u64
    }

    /// The number before the first that is held.
    pub fn base(&self) -> PurgeNumber {
        self.base
    }

    /// One purge.
    pub fn get(&self, number: PurgeNumber) -> Option<&Purge> {
        let at = number.checked_sub(self.base + 1)?;
        self.purges.get(usize::try_from(at).ok()?)
    }

    /// All that are held, in order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Purge> {
        self.purges.iter()
    }

    /// Takes a command in at `now`, as the writer. What is new is not in the ledger yet: it is appended once it is
    /// kept. Moments never go back, whatever the clock does: order by number is order by moment.
    pub fn prepare(&self, now: UnixMillis, command: &Command) -> Result<Prepared, Refused> {
        let sound =
            |text: &str, most: usize| text.len() <= most && !text.chars().any(char::is_control);
        if !(sound(&command.id, MAX_TEXT_BYTES)
            && sound(&command.who, MAX_TEXT_BYTES)
            && sound(&command.why, MAX_TEXT_BYTES))
        {
            return Err(Refused::Bad(
                "id, who or why: too long, or with control characters",
            ));
        }
        if command.id.is_empty() {
            return Err(Refused::Bad("id: empty"));
        }
        match &command.target {
            PurgeTarget::Tag(tag) if tag.is_empty() || !sound(tag, MAX_TAG_BYTES) => {
                return Err(Refused::Bad(
                    "tag: empty, too long, or with control characters",
                ));
            }
            PurgeTarget::Tag(tag) if tag.contains([',', ';']) => {
                return Err(Refused::Bad("tag: with a comma or semicolon"))
            }
            PurgeTarget::Pattern(pattern) => {
                let all = parse_pattern(pattern).map_err(Refused::Bad)?.1;
                if all && !command.all {
                    return Err(Refused::Bad(
                        "pattern: it matches everything; say so if it is meant",
                    ));
                }
            }
            _ => {}
        }
        if let Some(number) = self.by_command_id.get(&command.id) {
            let same = self.get(*number).is_none_or(|p| p.target == command.target);
            return if same {
                Ok(Prepared::Duplicate(*number))
            } else {
                Err(Refused::Bad("id: names another purge"))
            };
        }
        if self.purges.len() >= MAX_PURGES {
            return Err(Refused::Full);
        }
        let at_ms = self.purges.back().map_or(now, |p| p.at_ms.max(now));
        let Command {
            target,
            id,
            who,
            why,
            ..
        } = command.clone();
        Ok(Prepared::New(Purge {
            number: self.last_number() + 1,
            at_ms,
            target,
            id,
            who,
            why,
        }))
    }

    /// Puts a purge behind the last, as it was kept by the writer or came from it. `Ok(false)`: it is there already.
    pub fn append(&mut self, identity: u64, purge: Purge) -> Result<bool, Refused> {
        if identity != self.identity {
            return Err(Refused::Foreign);
        }
        if purge.number <= self.last_number() {
            let same = self.get(purge.number).is_none_or(|purges| *purges == purge);
            return if same {
                Ok(false)
            } else {
                Err(Refused::Conflict)
            };
        }
        if purge.number > self.last_number() + 1 {
            return Err(Refused::Gap);
        }
        if self.purges.len() >= MAX_PURGES {
            return Err(Refused::Full);
        }
        self.by_command_id.insert(purge.id.clone(), purge.number);
        self.purges.push_back(purge);
        Ok(true)
    }

    /// What comes after a number, as one batch. `None`: some of it is not held any more, and the follower has to
    /// begin at [`Ledger::base`] and take what is older for purged.
    pub fn batch_after(&self, after: PurgeNumber) -> Option<Vec<Purge>> {
        let skip = usize::try_from(after.checked_sub(self.base)?).ok()?;
        Some(
            self.purges
                .iter()
                .skip(skip)
                .take(MAX_BATCH_PURGES)
                .cloned()
                .collect(),
        )
    }

    /// Forgets what every box has confirmed and no member may hold an old copy of any more. Returns how many.
    pub fn compact(&mut self, confirmed: PurgeNumber, horizon: UnixMillis) -> usize {
        let over = |p: &&Purge| p.number <= confirmed && p.at_ms < horizon;
        let count = self.purges.iter().take_while(over).count();
        for purge in self.purges.drain(..count) {
            self.by_command_id.remove(&purge.id);
        }
        self.base += count as u64;
        count
    }
}

#[cfg(test)]
mod tests;
