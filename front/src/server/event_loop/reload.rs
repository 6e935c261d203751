//! Reads configuration and settings again after SIGHUP or an operator's command.
use super::timers::Timer;
use super::Server;
use crate::server::config::Config;
use cranesill::api::Timestamp;
use cranesill_daemon::changes;

impl Server {
    /// SIGHUP: configuration and settings are read again. A file that can't be used changes nothing; of a good
    /// configuration only the feed's address is taken over, and open requests notice nothing. Of the settings all
    /// that can change in service is.
    pub(super) fn reload(&mut self, now: Timestamp) {
        match Config::load(&self.config.file) {
            Ok(new) => {
                tracing::info!(feed = %new.feed, "SIGHUP: configuration read");
                if self.discovery.move_to(now, new.feed) {
                    self.front.list_moved();
                }
                self.timers.add(now, Timer::Discovery);
            }
            Err(faults) => tracing::warn!(
                error = faults.join("; "),
                "the configuration stays as it was"
            ),
        }
        let Some(file) = &self.settings_file else {
            return;
        };
        let new = match crate::server::config::settings(file) {
            Ok(new) => new,
            Err(faults) => {
                return tracing::warn!(error = faults.join("; "), "the settings stay as they were");
            }
        };
        let changes = changes(&self.settings, &new);
        self.log.set(&new.log);
        for slot in 1..=self.drivers.len() {
            self.with_driver(now, slot, |driver, turn| driver.reload(turn, &new));
        }
        self.carry_out_effects(now);
        if !changes.restart.is_empty() {
            tracing::warn!(
                paths = changes.restart.join(" "),
                "settings that need a restart"
            );
        }
        tracing::info!(paths = changes.taken.join(" "), "settings taken over");
        // What needs a restart is compared with what runs.
        let (old, restart) = (std::mem::replace(&mut self.settings, new), changes.restart);
        if !restart.is_empty() {
            self.settings.control = old.control;
            self.settings.tls = self
                .settings
                .tls
                .take()
                .zip(old.tls.clone())
                .map(|(new, old)| cranesill_daemon::Tls {
                    listen: old.listen,
                    ..new
                })
                .or(old.tls);
            self.settings.certs = self
                .settings
                .certs
                .take()
                .zip(old.certs.clone())
                .map(|(new, old)| cranesill_daemon::Certs {
                    directory: old.directory,
                    authority: old.authority,
                    http_listen: old.http_listen,
                    ..new
                })
                .or(old.certs);
        }
    }
}
