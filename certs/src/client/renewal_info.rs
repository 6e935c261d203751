//! Requests for the suggested renewal windows of certificates (RFC 9773).
use super::tasks::TaskKind;
use super::{
    log_entry, Client, MAX_RENEWAL_INFO_INTERVAL, MIN_RENEWAL_INFO_INTERVAL, RENEWAL_INFO_INTERVAL,
};
use crate::http::Response;
use crate::messages::{Action, Level};
use crate::wire;
use crate::{Clocks, SECOND};

impl Client {
    pub(super) fn request_renewal_info(&mut self, clocks: Clocks, out: &mut Vec<Action>) {
        let Some((_, id)) = self.renewal_info_queue.pop_first() else {
            return;
        };
        let base = self
            .directory
            .as_ref()
            .and_then(|(d, _)| d.renewal_info.clone());
        let renewal = self
            .served
            .get(&id)
            .and_then(|all| all.first())
            .and_then(|i| i.renewal_id.clone());
        let Some((base, renewal)) = base.zip(renewal) else {
            // The authority offers no renewal information. A new directory may add it.
            self.renewal_info_queue
                .insert((clocks.now + MAX_RENEWAL_INFO_INTERVAL, id));
            return;
        };
        let task = self.add_task(TaskKind::RenewalInfo(id));
        self.get(
            clocks,
            task,
            &format!("{}/{renewal}", base.trim_end_matches('/')),
            out,
        );
    }

    pub(super) fn handle_renewal_info(
        &mut self,
        clocks: Clocks,
        id: &str,
        response: Result<Response, String>,
        out: &mut Vec<Action>,
    ) {
        let mut pause = RENEWAL_INFO_INTERVAL;
        match response {
            Ok(response) if response.status == 200 => {
                pause = response.retry_after.map_or(pause, |s| {
                    (s * SECOND).clamp(MIN_RENEWAL_INFO_INTERVAL, MAX_RENEWAL_INFO_INTERVAL)
                });
                match wire::renewal_info(&response.body) {
                    Ok(window) => self.planner.set_window(clocks, id, window),
                    Err(error) => {
                        let text = format!("{error}; the response is ignored");
                        out.push(log_entry(Level::Warn, "bad-answer", id, &text));
                    }
                }
            }
            // Without a suggested window the renewal follows from the lifetime.
            Ok(response) => {
                pause = response.retry_after.map_or(pause, |s| {
                    (s * SECOND).clamp(RENEWAL_INFO_INTERVAL, MAX_RENEWAL_INFO_INTERVAL)
                });
                out.push(log_entry(
                    Level::Info,
                    "renewal-info",
                    id,
                    &format!(
                        "no renewal information: status {}; requested again in {} s",
                        response.status,
                        pause / SECOND
                    ),
                ));
            }
            Err(error) => {
                let text = format!(
                    "no renewal information: {error}; requested again in {} s",
                    pause / SECOND
                );
                out.push(log_entry(Level::Info, "renewal-info", id, &text));
            }
        }
        if self.served.contains_key(id) {
            self.renewal_info_queue
                .insert((clocks.now + pause, id.into()));
        }
    }
}
