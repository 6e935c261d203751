//! Carries out effects: what a subsystem brings about for others.
use super::admin::WORDS;
use super::timers::Due;
use super::Server;
use crate::server::drivers::{Driver, Effect, Purging, Secured, Turn};
use crate::server::floors;
use cranesill::api::{Micros, Timestamp};

/// A yes to a call out is given once another process of this front has looked.
const SEEN: Micros = 250_000;

impl Server {
    /// Gives a driver its turn.
    pub(super) fn drive(
        &mut self,
        now: Timestamp,
        slot: usize,
        act: impl FnOnce(&mut dyn Driver, &mut Turn<'_>),
    ) {
        let behind_ms = self.front.ahead.behind_ms();
        if let Some((driver, last)) = slot.checked_sub(1).and_then(|i| self.drivers.get_mut(i)) {
            let (reactor, effects) = (&self.reactor, &mut self.effects);
            act(
                driver.as_mut(),
                &mut Turn {
                    now,
                    behind_ms,
                    reactor,
                    effects,
                    slot: (slot, last),
                },
            );
        }
    }

    /// Carries out what drivers brought about for others.
    pub(super) fn effects(&mut self, now: Timestamp) {
        while !self.effects.is_empty() {
            for effect in std::mem::take(&mut self.effects) {
                match effect {
                    Effect::Secured(Secured::Client(socket, connection)) => {
                        self.secured(now, socket, *connection)
                    }
                    Effect::Offered(list) => self.take_list(now, list),
                    Effect::Purges(news) if !matches!(news, Purging::Compile(_)) => {
                        self.effects
                            .extend(floors::take(&mut self.front, now, news));
                    }
                    Effect::Word(number, word, args) if WORDS.iter().any(|(w, _)| *w == word) => {
                        match self.word(now, &word, &args) {
                            // Another process of this front is to act on it before the operator is told that it counts.
                            Ok(_) if word == "cordon" && self.shared.is_some() => {
                                self.deadlines.add(now + SEEN, Due::Confirm(number))
                            }
                            answer => self.effects.push(Effect::Answer(number, answer)),
                        }
                    }
                    effect => {
                        for slot in 1..=self.drivers.len() {
                            self.drive(now, slot, |driver, turn| driver.told(turn, &effect));
                        }
                    }
                }
            }
        }
    }
}
