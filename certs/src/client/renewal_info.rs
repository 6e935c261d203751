//! Renewal information of the authority (RFC 9773): hints when to renew.
use super::tasks::Kind;
use super::{tell, Client, INFO_EACH, INFO_LEAST, INFO_MOST};
use crate::http::Response;
use crate::messages::{Action, Level};
use crate::wire::{self};
use crate::{Clocks, SECOND};

impl Client {
    pub(super) fn ask_info(&mut self, clocks: Clocks, out: &mut Vec<Action>) {
        let Some((_, id)) = self.info.pop_first() else {
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
            // This authority tells nothing: a new directory may.
            self.info.insert((clocks.now + INFO_MOST, id));
            return;
        };
        let task = self.task(Kind::Info(id));
        self.get(
            clocks,
            task,
            &format!("{}/{renewal}", base.trim_end_matches('/')),
            out,
        );
    }

    pub(super) fn info_told(
        &mut self,
        clocks: Clocks,
        id: &str,
        answer: Result<Response, String>,
        out: &mut Vec<Action>,
    ) {
        let mut pause = INFO_EACH;
        match answer {
            Ok(answer) if answer.status == 200 => {
                pause = answer
                    .retry_after
                    .map_or(pause, |s| (s * SECOND).clamp(INFO_LEAST, INFO_MOST));
                match wire::renewal_info(&answer.body) {
                    Ok(window) => self.planner.suggested(clocks, id, window),
                    Err(why) => out.push(tell(Level::Warn, "bad-answer", id, &why)),
                }
            }
            // It is a hint: without it the rule by lifetime holds.
            Ok(answer) => {
                pause = answer
                    .retry_after
                    .map_or(pause, |s| (s * SECOND).clamp(INFO_EACH, INFO_MOST));
                out.push(tell(
                    Level::Info,
                    "renewal-info",
                    id,
                    &format!("status {}", answer.status),
                ));
            }
            Err(why) => out.push(tell(Level::Info, "renewal-info", id, &why)),
        }
        if self.served.contains_key(id) {
            self.info.insert((clocks.now + pause, id.into()));
        }
    }
}
