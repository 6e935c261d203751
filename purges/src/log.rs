//! The ledger: purges in order. One writes, others follow; only numbers and positions are assumed of the writer, so
//! that a replicated log can take its place.
use crate::matching::glob;
use crate::{Ms, Number, Purge, What, TAG_MOST, WORDS_MOST};
use std::collections::{HashMap, VecDeque};

/// Purges in one batch for a follower or a box, and bytes of it by estimate.
pub const BATCH_MOST: usize = 256;
/// Purges that are held at most: one more is refused until some are compacted.
pub const HELD_MOST: usize = 4_000_000;

/// A command to purge, as an operator gives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// What it names.
    pub what: What,
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
pub enum Taken {
    /// It is this purge; to be kept before anybody is told.
    New(Purge),
    /// It was this purge before.
    Known(Number),
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
pub struct Ledger {
    /// Which ledger this is: numbers of another mean nothing here.
    pub identity: u64,
    /// The number before the first that is held.
    base: Number,
    held: VecDeque<Purge>,
    ids: HashMap<Box<str>, Number>,
}

impl Ledger {
    /// An empty ledger.
    pub fn new(identity: u64) -> Self {
        Ledger {
            identity,
            base: 0,
            held: VecDeque::new(),
            ids: HashMap::new(),
        }
    }

    /// One that continues after `base`: what came before was compacted.
    pub fn after(identity: u64, base: Number) -> Self {
        Ledger {
            base,
            ..Ledger::new(identity)
        }
    }

    /// The last number; 0: none yet.
    pub fn last(&self) -> Number {
        self.base + self.held.len() as u64
    }

    /// The number before the first that is held.
    pub fn base(&self) -> Number {
        self.base
    }

    /// One purge.
    pub fn get(&self, number: Number) -> Option<&Purge> {
        let at = number.checked_sub(self.base + 1)?;
        self.held.get(usize::try_from(at).ok()?)
    }

    /// All that are held, in order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Purge> {
        self.held.iter()
    }

    /// Takes a command in at `now`, as the writer. What is new is not in the ledger yet: it is appended once it is
    /// kept. Moments never go back, whatever the clock does: order by number is order by moment.
    pub fn take(&self, now: Ms, command: &Command) -> Result<Taken, Refused> {
        let sound =
            |text: &str, most: usize| text.len() <= most && !text.chars().any(char::is_control);
        if !(sound(&command.id, WORDS_MOST)
            && sound(&command.who, WORDS_MOST)
            && sound(&command.why, WORDS_MOST))
        {
            return Err(Refused::Bad(
                "id, who or why: too long, or with control characters",
            ));
        }
        if command.id.is_empty() {
            return Err(Refused::Bad("id: empty"));
        }
        match &command.what {
            What::Tag(tag) if tag.is_empty() || !sound(tag, TAG_MOST) => {
                return Err(Refused::Bad(
                    "tag: empty, too long, or with control characters",
                ));
            }
            What::Tag(tag) if tag.contains([',', ';']) => {
                return Err(Refused::Bad("tag: with a comma or semicolon"))
            }
            What::Pattern(pattern) => {
                let all = glob(pattern).map_err(Refused::Bad)?.1;
                if all && !command.all {
                    return Err(Refused::Bad(
                        "pattern: it matches everything; say so if it is meant",
                    ));
                }
            }
            _ => {}
        }
        if let Some(number) = self.ids.get(&command.id) {
            let same = self.get(*number).is_none_or(|p| p.what == command.what);
            return if same {
                Ok(Taken::Known(*number))
            } else {
                Err(Refused::Bad("id: names another purge"))
            };
        }
        if self.held.len() >= HELD_MOST {
            return Err(Refused::Full);
        }
        let at = self.held.back().map_or(now, |p| p.at.max(now));
        let Command {
            what, id, who, why, ..
        } = command.clone();
        Ok(Taken::New(Purge {
            number: self.last() + 1,
            at,
            what,
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
        if purge.number <= self.last() {
            let same = self.get(purge.number).is_none_or(|held| *held == purge);
            return if same {
                Ok(false)
            } else {
                Err(Refused::Conflict)
            };
        }
        if purge.number > self.last() + 1 {
            return Err(Refused::Gap);
        }
        if self.held.len() >= HELD_MOST {
            return Err(Refused::Full);
        }
        self.ids.insert(purge.id.clone(), purge.number);
        self.held.push_back(purge);
        Ok(true)
    }

    /// What comes after a number, as one batch. `None`: some of it is not held any more, and the follower has to
    /// begin at [`Ledger::base`] and take what is older for purged.
    pub fn batch(&self, after: Number) -> Option<Vec<Purge>> {
        let skip = usize::try_from(after.checked_sub(self.base)?).ok()?;
        Some(
            self.held
                .iter()
                .skip(skip)
                .take(BATCH_MOST)
                .cloned()
                .collect(),
        )
    }

    /// Forgets what every box has confirmed and no member may hold an old copy of any more. Returns how many.
    pub fn compact(&mut self, confirmed: Number, horizon: Ms) -> usize {
        let over = |p: &&Purge| p.number <= confirmed && p.at < horizon;
        let count = self.held.iter().take_while(over).count();
        for purge in self.held.drain(..count) {
            self.ids.remove(&purge.id);
        }
        self.base += count as u64;
        count
    }
}

#[cfg(test)]
mod tests;
