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
mod tests;
