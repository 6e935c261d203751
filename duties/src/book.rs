//! What is agreed on.
use crate::{Duty, Fence, Front, DUTIES_MOST, FRONTS_MOST};
use std::collections::BTreeMap;

/// One entry of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// A front asks for a duty that nobody holds, or to hold on to its own. `number` grows with each word of a front: one that
    /// comes twice, or after a later one, changes nothing.
    Ask {
        /// Who.
        front: Front,
        /// Its words, counted; over restarts too.
        number: u64,
        /// What.
        duty: Duty,
        /// The fence that it holds it under and wants to hold on to; 0: it does not hold it. A process that gave it up, or that
        /// began anew under the same name, must not find itself prolonged: an older word may still end that grant.
        prolongs: Fence,
    },
    /// A front gives a duty up. Nothing more is done under that fence.
    Release {
        /// Who.
        front: Front,
        /// What.
        duty: Duty,
        /// Under which fence it held it.
        fence: Fence,
    },
    /// The leader's clock says that a whole term has passed since the grant or the last word that prolonged it.
    Lapse {
        /// What.
        duty: Duty,
        /// Under which fence it was held.
        fence: Fence,
        /// How often it had been prolonged.
        renewals: u64,
    },
    /// An operator wants this front to have it next; nobody else gets it before that front has had it.
    Move {
        /// What.
        duty: Duty,
        /// To whom.
        to: Front,
    },
    /// An operator wants nobody to take it, or lets it go again.
    Hold {
        /// What.
        duty: Duty,
        /// Nobody takes it.
        on: bool,
    },
}

/// Why a duty is not granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum No {
    /// Another front holds it.
    Held(Front),
    /// An operator wants another front to have it.
    Meant(Front),
    /// An operator holds it back.
    Kept,
    /// A later word of that front is known: this one is old.
    Old,
    /// There is no such duty, or no room for one more front.
    Unknown,
}

/// What a command came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fact {
    /// A front holds a duty from now on, or still.
    Granted {
        /// Who.
        front: Front,
        /// By which of its words.
        number: u64,
        /// What.
        duty: Duty,
        /// Under which fence.
        fence: Fence,
        /// How often it was prolonged.
        renewals: u64,
    },
    /// It does not.
    Refused {
        /// Who.
        front: Front,
        /// By which of its words.
        number: u64,
        /// What.
        duty: Duty,
        /// Why.
        why: No,
    },
    /// Nobody holds it from now on.
    Free(Duty),
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Held {
    /// The highest fence that was given out. It never goes back.
    fence: Fence,
    holder: Option<Front>,
    renewals: u64,
    meant: Option<Front>,
    kept: bool,
}

/// Who holds what.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Book {
    duties: Vec<Held>,
    /// The last word of each front.
    words: BTreeMap<Front, u64>,
}

impl Book {
    /// So many duties, none of them held; no more than [`DUTIES_MOST`].
    pub fn new(duties: usize) -> Self {
        Book { duties: vec![Held::default(); duties.min(DUTIES_MOST)], words: BTreeMap::new() }
    }

    /// Who holds a duty, under which fence, and how often it was prolonged.
    pub fn held(&self, duty: Duty) -> Option<(Front, Fence, u64)> {
        let held = self.duties.get(usize::from(duty))?;
        held.holder.map(|front| (front, held.fence, held.renewals))
    }

    /// How many duties there are.
    pub fn duties(&self) -> usize {
        self.duties.len()
    }

    /// The last word of a front that was taken.
    pub fn word(&self, front: Front) -> u64 {
        self.words.get(&front).copied().unwrap_or(0)
    }

    /// Carries out the next command of the log.
    pub fn apply(&mut self, command: Command) -> Option<Fact> {
        match command {
            Command::Ask { front, number, duty, prolongs } => Some(self.ask(front, number, duty, prolongs)),
            Command::Release { front, duty, fence } => {
                self.free(duty, |held| held.holder == Some(front) && held.fence == fence)
            }
            // Guards the holder whose word came between the leader's look and this: it was prolonged meanwhile.
            Command::Lapse { duty, fence, renewals } => {
                self.free(duty, |held| held.fence == fence && held.renewals == renewals)
            }
            Command::Move { duty, to } => {
                self.duties.get_mut(usize::from(duty))?.meant = Some(to);
                None
            }
            Command::Hold { duty, on } => {
                self.duties.get_mut(usize::from(duty))?.kept = on;
                None
            }
        }
    }

    fn free(&mut self, duty: Duty, may: impl Fn(&Held) -> bool) -> Option<Fact> {
        let held =
            self.duties.get_mut(usize::from(duty)).filter(|held| held.holder.is_some() && may(held))?;
        held.holder = None;
        Some(Fact::Free(duty))
    }

    fn ask(&mut self, front: Front, number: u64, duty: Duty, prolongs: Fence) -> Fact {
        let refused = |why| Fact::Refused { front, number, duty, why };
        let known = self.words.contains_key(&front) || self.words.len() < FRONTS_MOST;
        let Some(held) = self.duties.get_mut(usize::from(duty)).filter(|_| known) else {
            return refused(No::Unknown);
        };
        let last = self.words.entry(front).or_insert(0);
        if number <= *last {
            return refused(No::Old);
        }
        *last = number;
        match held.holder {
            // An operator's wish is heeded between two terms of the holder: it is not prolonged.
            Some(holder) if holder == front && prolongs == held.fence => {
                match held.meant.filter(|to| *to != front) {
                    Some(to) => return refused(No::Meant(to)),
                    None if held.kept => return refused(No::Kept),
                    None => held.renewals += 1,
                }
            }
            Some(holder) => return refused(No::Held(holder)),
            None if held.kept => return refused(No::Kept),
            None => match held.meant.filter(|to| *to != front) {
                Some(to) => return refused(No::Meant(to)),
                None => {
                    (held.fence, held.renewals) = (held.fence + 1, 0);
                    (held.holder, held.meant) = (Some(front), None);
                }
            },
        }
        Fact::Granted { front, number, duty, fence: held.fence, renewals: held.renewals }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ask(front: Front, number: u64) -> Command {
        prolong(front, number, 0)
    }

    fn prolong(front: Front, number: u64, prolongs: Fence) -> Command {
        Command::Ask { front, number, duty: 0, prolongs }
    }

    fn granted(front: Front, number: u64, fence: Fence, renewals: u64) -> Option<Fact> {
        Some(Fact::Granted { front, number, duty: 0, fence, renewals })
    }

    fn refused(front: Front, number: u64, why: No) -> Option<Fact> {
        Some(Fact::Refused { front, number, duty: 0, why })
    }

    #[test]
    fn one_holds_at_a_time_under_a_fence_that_grows_and_what_comes_twice_changes_nothing() {
        let mut book = Book::new(1);
        assert_eq!(book.apply(ask(7, 1)), granted(7, 1, 1, 0));
        assert_eq!(book.apply(ask(8, 1)), refused(8, 1, No::Held(7)));
        assert_eq!(book.apply(prolong(7, 2, 1)), granted(7, 2, 1, 1));
        assert_eq!(book.apply(prolong(7, 2, 1)), refused(7, 2, No::Old));
        // One that gave it up or began anew is not prolonged: its old word may still be on its way.
        assert_eq!(book.apply(ask(7, 3)), refused(7, 3, No::Held(7)));
        // A leader that looked before the last word does not take it away.
        assert_eq!(book.apply(Command::Lapse { duty: 0, fence: 1, renewals: 0 }), None);
        assert_eq!(book.apply(Command::Lapse { duty: 0, fence: 1, renewals: 1 }), Some(Fact::Free(0)));
        assert_eq!(book.apply(ask(8, 2)), granted(8, 2, 2, 0));
        // An old holder's word that was held up for long.
        assert_eq!(book.apply(Command::Release { front: 7, duty: 0, fence: 1 }), None);
        assert_eq!(book.held(0), Some((8, 2, 0)));
        assert_eq!(
            book.apply(Command::Ask { front: 7, number: 9, duty: 5, prolongs: 0 }),
            Some(Fact::Refused { front: 7, number: 9, duty: 5, why: No::Unknown })
        );
    }

    #[test]
    fn operators_move_a_duty_or_keep_it_back() {
        let mut book = Book::new(1);
        book.apply(ask(7, 1));
        book.apply(Command::Move { duty: 0, to: 9 });
        assert_eq!(book.apply(prolong(7, 2, 1)), refused(7, 2, No::Meant(9)));
        book.apply(Command::Release { front: 7, duty: 0, fence: 1 });
        assert_eq!(book.apply(ask(8, 1)), refused(8, 1, No::Meant(9)));
        assert_eq!(book.apply(ask(9, 1)), granted(9, 1, 2, 0));
        book.apply(Command::Hold { duty: 0, on: true });
        assert_eq!(book.apply(prolong(9, 2, 2)), refused(9, 2, No::Kept));
        book.apply(Command::Lapse { duty: 0, fence: 2, renewals: 0 });
        assert_eq!(book.apply(ask(7, 3)), refused(7, 3, No::Kept));
        book.apply(Command::Hold { duty: 0, on: false });
        assert_eq!(book.apply(ask(7, 4)), granted(7, 4, 3, 0));
    }
}
