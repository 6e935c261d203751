//! Where the log is led: when a grant has lapsed.
use crate::{Book, Command, Duty, Fence, Span, Time};
use std::collections::BTreeMap;

/// Terms by the leader's own clock.
#[derive(Clone, Debug)]
pub struct Keeper {
    term: Span,
    /// Of each duty that is held: under which fence, how often prolonged, and since when that is known here.
    since: BTreeMap<Duty, (Fence, u64, Time)>,
    /// Since when the log is led here.
    leads: Option<Time>,
}

impl Keeper {
    /// Does not lead yet. A term is what holders are told, whole.
    pub fn new(term: Span) -> Self {
        Keeper { term, since: BTreeMap::new(), leads: None }
    }

    /// The log is led here from now on, or no longer. What an earlier leader counted is not known: every term begins anew.
    pub fn leads(&mut self, now: Time, leads: bool) {
        self.since.clear();
        self.leads = leads.then_some(now);
    }

    /// The book has changed, the log has come to be led here, or time has gone on: what has lapsed, to be put into the log. A term
    /// counts from the look that saw it first: later than the grant, never before.
    pub fn look(&mut self, now: Time, book: &Book) -> Vec<Command> {
        if self.leads.is_none() {
            return Vec::new();
        }
        let mut lapsed = Vec::new();
        for duty in 0..book.duties() as Duty {
            let Some((_, fence, renewals)) = book.held(duty) else {
                self.since.remove(&duty);
                continue;
            };
            let known = self.since.entry(duty).or_insert((fence, renewals, now));
            if (known.0, known.1) != (fence, renewals) {
                *known = (fence, renewals, now);
            }
            if now >= known.2 + self.term {
                lapsed.push(Command::Lapse { duty, fence, renewals });
                // It may be lost on its way: it is said again.
                known.2 = now - self.term + self.term / 8;
            }
        }
        lapsed
    }

    /// When something lapses next.
    pub fn next(&self) -> Option<Time> {
        self.leads.and(self.since.values().map(|known| known.2 + self.term).min())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_term_is_counted_whole_from_the_last_word_and_anew_by_each_leader() {
        let mut book = Book::new(1);
        let mut keeper = Keeper::new(100);
        book.apply(Command::Ask { front: 7, number: 1, duty: 0, prolongs: 0 });
        assert!(keeper.look(0, &book).is_empty() && keeper.next().is_none(), "it does not lead");
        keeper.leads(10, true);
        assert!(keeper.look(10, &book).is_empty());
        book.apply(Command::Ask { front: 7, number: 2, duty: 0, prolongs: 1 });
        assert!(keeper.look(90, &book).is_empty());
        assert!(keeper.look(189, &book).is_empty());
        let lapse = vec![Command::Lapse { duty: 0, fence: 1, renewals: 1 }];
        assert_eq!((keeper.next(), keeper.look(190, &book)), (Some(190), lapse.clone()));
        assert!(keeper.look(191, &book).is_empty());
        assert_eq!(keeper.look(203, &book), lapse, "said again");
        keeper.leads(210, false);
        assert!(keeper.look(400, &book).is_empty());
        keeper.leads(400, true);
        assert!(keeper.look(400, &book).is_empty());
        assert!(keeper.look(499, &book).is_empty());
        assert_eq!(keeper.look(500, &book), lapse);
    }
}
