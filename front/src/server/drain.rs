//! The end of a process, from SIGTERM on: when it stops serving, when it gives up what is open, when it is over. No I/O and no
//! clock; all moments follow from how long the classes' requests take at most.
use cranesill::api::{Micros, Timestamp};

/// Requests are taken for this long after SIGTERM: clients hear of it one after another.
const SERVES_MOST: Micros = 1_000_000;
/// The system kills a process no earlier than the longest time of a class after SIGTERM, of which no more than this counts,
/// and this much more.
const COUNTED_MOST: Micros = 3_000_000;
const KILL_AFTER: Micros = 700_000;
/// The process has ended by itself so much earlier.
const MARGIN: Micros = 100_000;
/// Clients whose connections are shut have this long to read what was said and to close.
const PARTS_MOST: Micros = 200_000;
/// While another process takes over, connections are held open for their clients until this much before the longest time.
const HAND_OVER_MARGIN: Micros = 200_000;

/// How far it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Requests are taken.
    Serves,
    /// New ones are refused, open ones end.
    Refuses,
    /// What is still open is answered as given up; connections are shut, and clients read what was said.
    Parts,
    /// The process ends, whatever is not done.
    Over,
}

/// The moments of one end.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    refuses: Timestamp,
    parts: Timestamp,
    over: Timestamp,
    /// Until when clients may keep connections on which nothing is open.
    lets: Timestamp,
    parting: Option<Timestamp>,
}

impl Drain {
    /// SIGTERM has come. `waits`: the longest time of each class, 0 where there is none; `beside`: another process has taken
    /// the clients' socket over.
    pub fn new(now: Timestamp, waits: &[Micros], beside: bool) -> Self {
        let longest = waits
            .iter()
            .copied()
            .max()
            .filter(|w| *w > 0)
            .unwrap_or(COUNTED_MOST)
            .min(COUNTED_MOST);
        let over = now + longest + KILL_AFTER - MARGIN;
        let parts = over - PARTS_MOST;
        let refuses = (now + SERVES_MOST).min(parts);
        let lets = now + longest.saturating_sub(HAND_OVER_MARGIN);
        Drain {
            refuses,
            parts,
            over,
            lets: if beside {
                lets.clamp(refuses, parts)
            } else {
                refuses
            },
            parting: None,
        }
    }

    /// The moments at which something is due.
    pub fn moments(&self) -> [Timestamp; 4] {
        [self.refuses, self.lets, self.parts, self.over]
    }

    /// How far it is now.
    pub fn stage(&self, now: Timestamp) -> Stage {
        match self.parting {
            _ if now >= self.over => Stage::Over,
            Some(since) if now >= since + PARTS_MOST => Stage::Over,
            Some(_) => Stage::Parts,
            None if now >= self.parts => Stage::Parts,
            None if now >= self.refuses => Stage::Refuses,
            None => Stage::Serves,
        }
    }

    /// Nothing is owed to anybody any more; `clients`: some are connected. Returns when it is over at the latest, if
    /// connections are to be shut from now on.
    pub fn part(&mut self, now: Timestamp, owes: bool, clients: bool) -> Option<Timestamp> {
        let lets = now < self.lets && clients;
        let begins = self.parting.is_none()
            && (self.stage(now) >= Stage::Parts
                || self.stage(now) == Stage::Refuses && !owes && !lets);
        begins.then(|| {
            self.parting = Some(now);
            self.over.min(now + PARTS_MOST)
        })
    }
}

#[cfg(test)]
mod tests;
