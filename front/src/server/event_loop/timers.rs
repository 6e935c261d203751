//! The kinds of timer that the loop sets, and what is done when one expires.
use super::shutdown::QUIESCE_SERVES;
use super::Server;
use crate::routing::{AttemptId, Origin, Wake};
use crate::server::drain::Stage;
use crate::server::drivers::Effect;
use cranesill::api::{Micros, Timestamp};

/// What is due at some moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Due {
    Wake(Wake),
    Dial(usize),
    Unwritten(AttemptId),
    Discovery,
    Sweep,
    /// The end of the program goes on.
    Drain,
    Quiesced,
    /// Members that are listed come into use.
    Members,
    /// Another process may have left the clients' socket to this one.
    TakeOver,
    /// Another process may have heard of members out by hand.
    OutByHand,
    /// An operator's call is answered.
    Confirm(u64),
    /// The clients' listener has rested after a failed `accept`.
    Accept,
    /// Connections to nodes that this machine could not begin are tried again.
    Redial,
}

/// Pause between two sweeps over all connections.
pub(super) const SWEEP: Micros = 250_000;

impl Server {
    pub(super) fn due(&mut self, now: Timestamp, due: Due) {
        let mut ends = Vec::new();
        match due {
            Due::Wake(wake) => self.front.wake(now, wake),
            Due::Dial(key) => self.nodes.undialed(key, &mut ends),
            Due::Unwritten(attempt) => self.nodes.withdraw(attempt, &mut ends),
            Due::Discovery if now >= self.discovery.due => {
                let key = self.key();
                self.discovery.go(now, &self.reactor, key);
                self.deadlines.add(self.discovery.due, Due::Discovery);
            }
            Due::Discovery => {}
            Due::Sweep => {
                let gone =
                    self.clients
                        .sweep(now, self.config.room().bytes, self.config.held_most());
                self.log.sweep();
                let contact = self.front.floors.as_mut().and_then(|f| f.contact.as_mut());
                if contact.is_some_and(|contact| contact.lost_now(now)) {
                    tracing::warn!(kind = "contact-lost", "purges: no contact with the ledger");
                }
                self.hear(now, gone);
                self.left(now);
                self.nodes.sweep(now, &mut ends);
                self.get_ready(now);
                if self.discovery.heard() && self.hears {
                    self.effects.push(Effect::Current);
                    self.effects(now);
                }
                self.listen(true);
                self.deadlines.add(now + SWEEP, Due::Sweep);
            }
            Due::Members => {
                let list = self.startup.due(now);
                self.take_members(now, false, list, Origin::Kept);
            }
            Due::TakeOver => self.take_over(now, false),
            Due::OutByHand => self.look(now),
            Due::Redial => {
                for (target, fetch) in self.nodes.take_redials(now) {
                    let key = self.key();
                    self.dispatch(now, key, target, &fetch, &mut ends);
                }
            }
            Due::Accept => {
                self.acceptor.resume();
                self.listen(true);
                self.accept(now);
            }
            Due::Confirm(number) => {
                self.effects.push(Effect::Answer(number, Ok("out".into())));
                self.effects(now);
            }
            Due::Quiesced => {
                if self
                    .quiesced
                    .is_some_and(|since| now >= since + QUIESCE_SERVES)
                {
                    self.front.close(true);
                }
            }
            Due::Drain => {
                let stage = self
                    .draining
                    .map_or(Stage::Serves, |drain| drain.stage(now));
                if stage >= Stage::Refuses {
                    self.front.close(true);
                    self.drivers
                        .iter_mut()
                        .for_each(|(driver, _)| driver.drain());
                }
                if stage >= Stage::Parts {
                    self.front.give_up(now);
                }
            }
        }
        self.settle(now, ends);
    }
}
