//! Reload of configuration and settings on SIGHUP or an operator command.
use super::timers::Timer;
use super::Server;
use crate::server::config::Config;
use cranesill::api::Timestamp;
use cranesill_daemon::{changes, in_effect};

impl Server {
    /// Reloads configuration and settings. An invalid file changes nothing. Of the configuration only the address of the list service
    /// is applied, of the settings everything that does not require a restart.
    pub(super) fn reload(&mut self, now: Timestamp) {
        self.reload_config(now);
        self.reload_settings(now);
    }

    fn reload_config(&mut self, now: Timestamp) {
        let new = match Config::load(&self.config.file) {
            Ok(new) => new,
            Err(errors) => {
                let error = errors.to_string();
                return tracing::warn!(error, "cannot reload: the configuration stays as it was");
            }
        };
        tracing::info!(feed = %new.list_service, "SIGHUP: configuration read");
        if self.discovery.move_to(now, new.list_service) {
            self.pipeline.discovery_moved();
            self.timers.add(now, Timer::Discovery);
        }
    }

    fn reload_settings(&mut self, now: Timestamp) {
        let Some(file) = &self.settings_file else {
            return;
        };
        let new = match crate::server::config::load_settings(file) {
            Ok(new) => new,
            Err(errors) => {
                let error = errors.to_string();
                return tracing::warn!(error, "cannot reload: the settings stay as they were");
            }
        };
        let changes = changes(&self.settings, &new);
        self.log.set(&new.log);
        for slot in 1..=self.drivers.len() {
            self.with_driver(now, slot, |driver, turn| driver.reload(turn, &new));
        }
        self.deliver_effects(now);
        if !changes.needs_restart.is_empty() {
            let paths = changes.needs_restart.join(" ");
            tracing::warn!(paths, "changed settings need a restart: not applied");
        }
        tracing::info!(
            paths = changes.applied.join(" "),
            "settings reloaded, changes taken over"
        );
        let running = std::mem::take(&mut self.settings);
        self.settings = in_effect(running, new);
    }
}
