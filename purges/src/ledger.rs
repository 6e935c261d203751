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
        Ledger { identity, base: 0, held: VecDeque::new(), ids: HashMap::new() }
    }

    /// One that continues after `base`: what came before was compacted.
    pub fn after(identity: u64, base: Number) -> Self {
        Ledger { base, ..Ledger::new(identity) }
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
        let sound = |text: &str, most: usize| text.len() <= most && !text.chars().any(char::is_control);
        if !(sound(&command.id, WORDS_MOST)
            && sound(&command.who, WORDS_MOST)
            && sound(&command.why, WORDS_MOST))
        {
            return Err(Refused::Bad("id, who or why: too long, or with control characters"));
        }
        if command.id.is_empty() {
            return Err(Refused::Bad("id: empty"));
        }
        match &command.what {
            What::Tag(tag) if tag.is_empty() || !sound(tag, TAG_MOST) => {
                return Err(Refused::Bad("tag: empty, too long, or with control characters"));
            }
            What::Tag(tag) if tag.contains([',', ';']) => {
                return Err(Refused::Bad("tag: with a comma or semicolon"))
            }
            What::Pattern(pattern) => {
                let all = glob(pattern).map_err(Refused::Bad)?.1;
                if all && !command.all {
                    return Err(Refused::Bad("pattern: it matches everything; say so if it is meant"));
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
        let Command { what, id, who, why, .. } = command.clone();
        Ok(Taken::New(Purge { number: self.last() + 1, at, what, id, who, why }))
    }

    /// Puts a purge behind the last, as it was kept by the writer or came from it. `Ok(false)`: it is there already.
    pub fn append(&mut self, identity: u64, purge: Purge) -> Result<bool, Refused> {
        if identity != self.identity {
            return Err(Refused::Foreign);
        }
        if purge.number <= self.last() {
            let same = self.get(purge.number).is_none_or(|held| *held == purge);
            return if same { Ok(false) } else { Err(Refused::Conflict) };
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
        Some(self.held.iter().skip(skip).take(BATCH_MOST).cloned().collect())
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
mod tests {
    use super::*;

    fn command(id: &str, what: What) -> Command {
        Command { what, id: id.into(), who: "ops".into(), why: "photos".into(), all: false }
    }

    fn put(ledger: &mut Ledger, now: Ms, id: &str) -> Number {
        let Ok(Taken::New(purge)) = ledger.take(now, &command(id, What::Object(7))) else { panic!() };
        let number = purge.number;
        assert_eq!(ledger.append(ledger.identity, purge), Ok(true));
        number
    }

    #[test]
    fn the_same_id_is_one_purge_and_moments_never_go_back() {
        let mut ledger = Ledger::new(9);
        assert_eq!(put(&mut ledger, 500, "a"), 1);
        assert_eq!(ledger.take(600, &command("a", What::Object(7))), Ok(Taken::Known(1)));
        assert!(matches!(ledger.take(600, &command("a", What::Object(8))), Err(Refused::Bad(_))));
        put(&mut ledger, 100, "b");
        assert_eq!(ledger.get(2).unwrap().at, 500, "the clock went back, the order did not");
    }

    #[test]
    fn a_follower_takes_no_gap_no_foreign_number_and_no_second_content() {
        let mut ledger = Ledger::new(9);
        (0..5).for_each(|i| assert!(put(&mut ledger, i, &i.to_string()) > 0));
        let all = ledger.batch(0).unwrap();
        let mut follower = Ledger::new(9);
        assert_eq!(follower.append(9, all[1].clone()), Err(Refused::Gap));
        assert_eq!(follower.append(8, all[0].clone()), Err(Refused::Foreign));
        all.iter().for_each(|p| assert_eq!(follower.append(9, p.clone()), Ok(true)));
        assert_eq!(follower.append(9, all[2].clone()), Ok(false), "a repeat is harmless");
        let other = Purge { what: What::Object(99), ..all[2].clone() };
        assert_eq!(follower.append(9, other), Err(Refused::Conflict));
        assert_eq!(follower, ledger);
    }

    #[test]
    fn only_what_is_confirmed_and_past_the_horizon_is_forgotten() {
        let mut ledger = Ledger::new(9);
        (0..10).for_each(|i| assert!(put(&mut ledger, i * 100, &i.to_string()) > 0));
        assert_eq!(ledger.compact(0, 10_000), 0, "nobody confirmed");
        assert_eq!(ledger.compact(10, 0), 0, "the horizon has not passed");
        assert_eq!(ledger.compact(6, 401), 5);
        assert_eq!((ledger.base(), ledger.last(), ledger.get(5).is_none()), (5, 10, true));
        assert_eq!(ledger.batch(4), None, "it has to begin anew");
        assert_eq!(ledger.batch(7).unwrap().len(), 3);
        assert_eq!(ledger.batch(10).unwrap(), []);
    }

    #[test]
    fn odd_commands_are_refused() {
        let ledger = Ledger::new(9);
        for what in [
            What::Tag("".into()),
            What::Tag("a,b".into()),
            What::Tag("x".repeat(65).into()),
            What::Pattern("*".into()),
            What::Pattern("**/*".into()),
            What::Pattern("[".into()),
            What::Pattern("a".repeat(201).into()),
        ] {
            assert!(matches!(ledger.take(1, &command("a", what.clone())), Err(Refused::Bad(_))), "{what:?}");
        }
        let all = Command { all: true, ..command("a", What::Pattern("*".into())) };
        assert!(matches!(ledger.take(1, &all), Ok(Taken::New(_))));
        assert!(ledger.take(1, &command("", What::Object(1))).is_err());
        assert!(ledger.take(1, &command("a\nb", What::Object(1))).is_err());
    }
}
