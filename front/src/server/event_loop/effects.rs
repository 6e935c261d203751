//! Delivery of the messages (effects) that subsystems send to each other.
use super::admin::is_admin_command;
use super::timers::Timer;
use super::Server;
use crate::server::drivers::{
    AdminEffect, Driver, Effect, EndpointEffect, PurgeEffect, TlsEffect, Turn,
};
use crate::server::purge_effects;
use cranesill::api::{Micros, Timestamp};
use serde_json::Value;

/// Delay of the response to a `cordon` command, within which any other process of this front has read and applied the cordon.
const CORDON_CONFIRMATION_DELAY: Micros = 250_000;

impl Server {
    /// Calls the driver in `slot` with the context of this turn; does nothing if the slot is empty.
    pub(super) fn with_driver(
        &mut self,
        now: Timestamp,
        slot: usize,
        call: impl FnOnce(&mut dyn Driver, &mut Turn<'_>),
    ) {
        let index = slot.checked_sub(1);
        let Some(running) = index.and_then(|index| self.drivers.get_mut(index)) else {
            return;
        };
        let mut turn = Turn {
            now,
            behind_ms: self.pipeline.clock_offset.behind_ms(),
            reactor: &self.reactor,
            effects: &mut self.effects,
            keys: &mut running.keys,
        };
        call(running.driver.as_mut(), &mut turn);
    }

    /// Delivers pending messages, and messages sent in response, until there are none left.
    pub(super) fn deliver_effects(&mut self, now: Timestamp) {
        while !self.effects.is_empty() {
            for effect in std::mem::take(&mut self.effects) {
                self.deliver(now, effect);
            }
        }
    }

    /// Handles a message to the front itself, or passes it to all drivers.
    fn deliver(&mut self, now: Timestamp, effect: Effect) {
        match effect {
            Effect::Tls(TlsEffect::Client { socket, connection }) => {
                self.add_tls_client(now, socket, *connection);
            }
            Effect::Endpoints(EndpointEffect::Offered(list)) => self.adopt_peer_list(now, list),
            Effect::Purges(message) if !matches!(message, PurgeEffect::Compile(_)) => {
                let follow_up = purge_effects::apply(&mut self.pipeline, now, message);
                self.effects.extend(follow_up);
            }
            Effect::Admin(AdminEffect::Command {
                id,
                name,
                arguments,
            }) if is_admin_command(&name) => self.answer_admin_command(now, id, &name, &arguments),
            effect => self.pass_to_drivers(now, &effect),
        }
    }

    fn pass_to_drivers(&mut self, now: Timestamp, effect: &Effect) {
        for slot in 1..=self.drivers.len() {
            self.with_driver(now, slot, |driver, turn| driver.handle_effect(turn, effect));
        }
    }

    fn answer_admin_command(&mut self, now: Timestamp, id: u64, name: &str, arguments: &Value) {
        let result = self.run_admin_command(now, name, arguments);
        if name == "cordon" && result.is_ok() && self.handover.is_some() {
            // Another process of this front must have applied the cordon before it is confirmed to the operator.
            let confirmed_at = now + CORDON_CONFIRMATION_DELAY;
            return self.timers.add(confirmed_at, Timer::CordonConfirmation(id));
        }
        let result = result.map_err(|error| error.to_string());
        self.effects.push(Effect::response(id, result));
    }
}
