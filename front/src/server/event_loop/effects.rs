//! Carries out effects: what a subsystem brings about for others.
use super::admin::ADMIN_COMMANDS;
use super::timers::Timer;
use super::Server;
use crate::server::drivers::{Driver, Effect, Purging, Secured, Turn};
use crate::server::floors;
use cranesill::api::{Micros, Timestamp};

/// A yes to a call out is given once another process of this front has looked.
const CORDON_CONFIRMATION_DELAY: Micros = 250_000;

impl Server {
    /// Gives a driver its turn.
    pub(super) fn with_driver(
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
    pub(super) fn carry_out_effects(&mut self, now: Timestamp) {
        while !self.effects.is_empty() {
            for effect in std::mem::take(&mut self.effects) {
                match effect {
                    Effect::Secured(Secured::Client(socket, connection)) => {
                        self.add_tls_client(now, socket, *connection)
                    }
                    Effect::Offered(list) => self.adopt_peer_list(now, list),
                    Effect::Purges(news) if !matches!(news, Purging::Compile(_)) => {
                        self.effects
                            .extend(floors::take(&mut self.front, now, news));
                    }
                    Effect::Word(number, word, args)
                        if ADMIN_COMMANDS.iter().any(|(w, _)| *w == word) =>
                    {
                        match self.run_admin_command(now, &word, &args) {
                            // Another process of this front is to act on it before the operator is told that it counts.
                            Ok(_) if word == "cordon" && self.handover.is_some() => {
                                self.timers.add(
                                    now + CORDON_CONFIRMATION_DELAY,
                                    Timer::CordonConfirmation(number),
                                )
                            }
                            answer => self.effects.push(Effect::Answer(number, answer)),
                        }
                    }
                    effect => {
                        for slot in 1..=self.drivers.len() {
                            self.with_driver(now, slot, |driver, turn| driver.told(turn, &effect));
                        }
                    }
                }
            }
        }
    }
}
