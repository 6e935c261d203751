//! The kinds of timer that the loop sets, and what is done when one expires.
use super::shutdown::QUIESCE_GRACE;
use super::Server;
use crate::routing::{AttemptId, Origin, Wake};
use crate::server::drain::Stage;
use crate::server::drivers::Effect;
use cranesill::api::{Micros, Timestamp};

/// What is due at some moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    Routing(Wake),
    ConnectTimeout(usize),
    WriteDeadline(AttemptId),
    Discovery,
    Sweep,
    /// The end of the program goes on.
    ShutdownStage,
    QuiesceGrace,
    /// Members that are listed come into use.
    SlowStart,
    /// Another process may have left the clients' socket to this one.
    TakeoverPoll,
    /// Another process may have heard of members out by hand.
    CordonPoll,
    /// An operator's call is answered.
    CordonConfirmation(u64),
    /// The clients' listener has rested after a failed `accept`.
    AcceptRetry,
    /// Connections to nodes that this machine could not begin are tried again.
    Redial,
}

/// Pause between two sweeps over all connections.
pub(super) const SWEEP_INTERVAL: Micros = 250_000;

impl Server {
    pub(super) fn handle_timer(&mut self, now: Timestamp, due: Timer) {
        let mut ends = Vec::new();
        match due {
            Timer::Routing(wake) => self.front.wake(now, wake),
            Timer::ConnectTimeout(key) => self.upstream.undialed(key, &mut ends),
            Timer::WriteDeadline(attempt) => self.upstream.withdraw(attempt, &mut ends),
            Timer::Discovery if now >= self.discovery.due => {
                let key = self.next_key();
                self.discovery.go(now, &self.reactor, key);
                self.timers.add(self.discovery.due, Timer::Discovery);
            }
            Timer::Discovery => {}
            Timer::Sweep => {
                let gone =
                    self.clients
                        .sweep(now, self.config.room().bytes, self.config.held_most());
                self.log.sweep();
                let contact = self.front.floors.as_mut().and_then(|f| f.contact.as_mut());
                if contact.is_some_and(|contact| contact.lost_now(now)) {
                    tracing::warn!(kind = "contact-lost", "purges: no contact with the ledger");
                }
                self.handle_client_events(now, gone);
                self.cancel_disconnected(now);
                self.upstream.sweep(now, &mut ends);
                self.update_readiness(now);
                if self.discovery.heard() && self.forwards_watch_events {
                    self.effects.push(Effect::Current);
                    self.carry_out_effects(now);
                }
                self.watch_listener(true);
                self.timers.add(now + SWEEP_INTERVAL, Timer::Sweep);
            }
            Timer::SlowStart => {
                let list = self.startup.due(now);
                self.update_endpoints(now, false, list, Origin::Kept);
            }
            Timer::TakeoverPoll => self.poll_takeover(now, false),
            Timer::CordonPoll => self.poll_cordons(now),
            Timer::Redial => {
                for (target, fetch) in self.upstream.take_redials(now) {
                    let key = self.next_key();
                    self.send_attempt(now, key, target, &fetch, &mut ends);
                }
            }
            Timer::AcceptRetry => {
                self.accept_backoff.resume();
                self.watch_listener(true);
                self.accept_clients(now);
            }
            Timer::CordonConfirmation(number) => {
                self.effects.push(Effect::Answer(number, Ok("out".into())));
                self.carry_out_effects(now);
            }
            Timer::QuiesceGrace => {
                if self
                    .quiesced_at
                    .is_some_and(|since| now >= since + QUIESCE_GRACE)
                {
                    self.front.close(true);
                }
            }
            Timer::ShutdownStage => {
                let stage = self
                    .shutdown
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
        self.run_commands(now, ends);
    }
}
