//! Reads configuration and settings again after SIGHUP or an operator's command.
use super::timers::Timer;
use super::Server;
use crate::server::config::Config;
use cranesill::api::Timestamp;
use cranesill_daemon::{changes, Certs, Daemon, Tls};

impl Server {
    /// Reads configuration and settings again. A file that cannot be used changes nothing. Of the configuration only the
    /// address of the list service is applied, of the settings all that can change in service.
    pub(super) fn reload(&mut self, now: Timestamp) {
        self.reload_config(now);
        self.reload_settings(now);
    }

    fn reload_config(&mut self, now: Timestamp) {
        let new = match Config::load(&self.config.file) {
            Ok(new) => new,
            Err(errors) => {
                let error = errors.to_string();
                return tracing::warn!(error, "the configuration stays as it was");
            }
        };
        tracing::info!(feed = %new.feed, "SIGHUP: configuration read");
        if self.discovery.move_to(now, new.feed) {
            self.front.discovery_moved();
        }
        self.timers.add(now, Timer::Discovery);
    }

    fn reload_settings(&mut self, now: Timestamp) {
        let Some(file) = &self.settings_file else {
            return;
        };
        let new = match crate::server::config::settings(file) {
            Ok(new) => new,
            Err(errors) => {
                let error = errors.to_string();
                return tracing::warn!(error, "the settings stay as they were");
            }
        };
        let changes = changes(&self.settings, &new);
        self.log.set(&new.log);
        for slot in 1..=self.drivers.len() {
            self.with_driver(now, slot, |driver, turn| driver.reload(turn, &new));
        }
        self.carry_out_effects(now);
        if !changes.needs_restart.is_empty() {
            let paths = changes.needs_restart.join(" ");
            tracing::warn!(paths, "settings that need a restart");
        }
        tracing::info!(paths = changes.applied.join(" "), "settings taken over");
        let running = std::mem::replace(&mut self.settings, new);
        if !changes.needs_restart.is_empty() {
            keep_until_restart(&mut self.settings, running);
        }
    }
}

/// Puts back the settings that take a restart to change, so that the next reload is compared with what runs.
fn keep_until_restart(settings: &mut Daemon, running: Daemon) {
    settings.control = running.control;
    settings.tls = match (settings.tls.take(), running.tls) {
        (Some(new), Some(running)) => Some(Tls {
            listen: running.listen,
            ..new
        }),
        (_, running) => running,
    };
    settings.certs = match (settings.certs.take(), running.certs) {
        (Some(new), Some(running)) => Some(Certs {
            directory: running.directory,
            authority: running.authority,
            http_listen: running.http_listen,
            ..new
        }),
        (_, running) => running,
    };
}
