//! What must be there before an order: the directory and the account of the authority.
use super::tasks::{By, Kind, Setup, Task};
use super::{fail, of, tell, told, Client, DIRECTORY_AGE, INFO_EACH};
use crate::disk::{Account, FileUpdate, Loaded};
use crate::error::Failure;
use crate::http::Response;
use crate::jose::AccountKey;
use crate::messages::{Action, KeyRequest, Level, Payload};
use crate::order::RESUME_MOST;
use crate::planner::PlannerSettings;
use crate::renewal::Ranking;
use crate::retry::Cause;
use crate::wire::{self};
use crate::{tame, Clocks, SECOND};
use std::collections::BTreeSet;
use std::sync::Arc;

impl Client {
    pub(super) fn start(&mut self, clocks: Clocks, loaded: Loaded, out: &mut Vec<Action>) {
        for (file, why) in &loaded.faults {
            out.push(tell(Level::Warn, "file-unusable", file, why));
        }
        self.saved = loaded.state.clone();
        self.planner
            .remember(clocks, &loaded.state.orders, loaded.state.refused);
        let here = |a: &Account| {
            self.settings
                .as_ref()
                .is_some_and(|s| s.directory_url == a.directory_url)
        };
        if let Some(account) = loaded.account.filter(here) {
            match AccountKey::from_pem(&account.key) {
                Ok(key) => (self.key, self.account) = (Some(Arc::new(key)), Some(account)),
                Err(why) => out.push(tell(Level::Warn, "file-unusable", "account.json", &why)),
            }
        }
        for (id, identity) in loaded.identities {
            if self.planner.names(&id).is_some() {
                self.take(clocks, &id, identity, false, out);
            } else {
                // Nobody would renew it, nor tell when it ends.
                out.push(tell(
                    Level::Info,
                    "file-unused",
                    &id,
                    "no certificate is configured under this name",
                ));
            }
        }
        for (id, pending) in loaded.pending {
            let wanted = self
                .planner
                .names(&id)
                .is_some_and(|n| pending.names.iter().all(|p| n.contains(p)));
            let fresh = pending.began + RESUME_MOST > clocks.wall && self.account.is_some();
            if wanted && fresh {
                self.planner.resumes(clocks, &id);
                self.pending.insert(id, pending);
            } else {
                self.save(FileUpdate::RemoveOrder(id), None, out);
            }
        }
        self.started = true;
    }

    pub(super) fn configure(
        &mut self,
        clocks: Clocks,
        plan: PlannerSettings,
        turns: Box<dyn Ranking + Send>,
        certificates: &[Vec<String>],
        out: &mut Vec<Action>,
    ) {
        self.planner.set(clocks, plan, turns);
        self.planner.want(clocks, certificates);
        let known: BTreeSet<String> = self.planner.ids().cloned().collect();
        let gone: Vec<u64> = self
            .tasks
            .iter()
            .filter(|(_, t)| of(&t.kind).is_some_and(|id| !known.contains(id)))
            .map(|(task, _)| *task)
            .collect();
        gone.into_iter().for_each(|task| self.end(task, out));
        // What is not wanted any more is not served any more; its files stay.
        let dropped: Vec<_> = self
            .served
            .keys()
            .filter(|id| self.started && !known.contains(*id))
            .cloned()
            .collect();
        for id in dropped {
            self.served.remove(&id);
            out.push(Action::Serve(id, Vec::new(), false));
        }
    }

    /// Begins what can be begun.
    pub(super) fn pump(&mut self, clocks: Clocks, out: &mut Vec<Action>) {
        if !self.started {
            return;
        }
        for notice in self.planner.notices(clocks) {
            out.push(told(&notice));
        }
        let Some(settings) = self.settings.clone() else {
            return;
        };
        let setup = self
            .tasks
            .values()
            .any(|t| matches!(t.kind, Kind::Setup(_)));
        let wants = self.planner.wants(clocks);
        let info = self.info.first().is_some_and(|(at, _)| *at <= clocks.now);
        let away = clocks.now < self.planner.away_until();
        if setup || away || !(wants || info) {
            return;
        }
        let current = self
            .directory
            .as_ref()
            .filter(|(_, at)| clocks.now < at + DIRECTORY_AGE);
        if current.is_none() {
            let task = self.task(Kind::Setup(Setup::Directory));
            return self.get(clocks, task, &settings.directory_url, out);
        }
        if wants && self.account.as_ref().is_none_or(|a| a.url.is_none()) {
            return self.register(clocks, out);
        }
        let rolling = self
            .tasks
            .values()
            .any(|t| matches!(t.kind, Kind::Roll { .. }));
        let next = self
            .account
            .as_ref()
            .and_then(|a| a.next_key.as_deref())
            .filter(|_| wants && !rolling);
        if let Some(key) = next.and_then(|pem| AccountKey::from_pem(pem).ok()) {
            let task = self.task(Kind::Setup(Setup::Next));
            let url = self
                .directory
                .as_ref()
                .map(|(d, _)| d.new_account.clone())
                .unwrap_or_default();
            return self.post(
                clocks,
                task,
                &url,
                Payload::Existing,
                By::Key(Arc::new(key)),
                out,
            );
        }
        while let Some(choice) = self.planner.next(clocks) {
            self.keep_state(out);
            if settings.shared && !self.pending.contains_key(&choice.id) {
                let id = choice.id.clone();
                let task = self.task(Kind::Reread(choice));
                out.push(Action::Reread(task, id));
            } else {
                self.begin(clocks, choice, out);
            }
        }
        let asking = self.tasks.values().any(|t| matches!(t.kind, Kind::Info(_)));
        if info && !asking {
            self.ask_info(clocks, out);
        }
    }

    /// Makes an account, or finds the one that belongs to the key.
    pub(super) fn register(&mut self, clocks: Clocks, out: &mut Vec<Action>) {
        match &self.key {
            None => {
                let task = self.task(Kind::Setup(Setup::Key));
                out.push(Action::GenerateKey(task, KeyRequest::Account));
            }
            Some(_) => {
                let task = self.task(Kind::Setup(Setup::Account));
                self.post_account(clocks, task, out);
            }
        }
    }

    pub(super) fn post_account(&mut self, clocks: Clocks, task: u64, out: &mut Vec<Action>) {
        let Some((settings, (directory, _))) = self.settings.clone().zip(self.directory.clone())
        else {
            return;
        };
        if directory.meta.external_account_required && settings.external.is_none() {
            let failure = fail(
                Cause::Account,
                "the authority wants an external account, and none is configured",
            );
            return self.setup_failed(clocks, task, &failure, out);
        }
        let payload = Payload::Account {
            contacts: settings.contacts,
            external: settings.external,
        };
        let Some(key) = self.key.clone() else { return };
        self.post(
            clocks,
            task,
            &directory.new_account,
            payload,
            By::Key(key),
            out,
        );
    }

    pub(super) fn account_key(
        &mut self,
        clocks: Clocks,
        task: u64,
        key: Result<Arc<AccountKey>, String>,
        out: &mut Vec<Action>,
    ) {
        let key = match key {
            Ok(key) => key,
            Err(why) => return self.lost(clocks, task, &why, out),
        };
        let Some(Task { kind, .. }) = self.tasks.get_mut(&task) else {
            return;
        };
        match kind {
            Kind::Setup(step) => {
                *step = Setup::KeepKey;
                let directory_url = self
                    .settings
                    .as_ref()
                    .map(|s| s.directory_url.clone())
                    .unwrap_or_default();
                let account = Account {
                    directory_url,
                    key: key.pem().into(),
                    next_key: None,
                    url: None,
                };
                (self.key, self.account) = (Some(key), Some(account.clone()));
                let keep = FileUpdate::Account(account);
                self.unsaved.supersede(&keep);
                out.push(Action::Save(task, keep));
            }
            Kind::Roll { new, .. } => {
                *new = Some(Arc::clone(&key));
                if let Some(account) = &mut self.account {
                    account.next_key = Some(key.pem().into());
                    let keep = FileUpdate::Account(account.clone());
                    self.unsaved.supersede(&keep);
                    out.push(Action::Save(task, keep));
                }
            }
            _ => {}
        }
    }

    pub(super) fn directory_told(
        &mut self,
        clocks: Clocks,
        task: u64,
        answer: &Response,
        out: &mut Vec<Action>,
    ) {
        let found = wire::directory(&answer.body).and_then(|directory| {
            for url in [
                &directory.new_nonce,
                &directory.new_account,
                &directory.new_order,
            ] {
                self.place(url)?;
            }
            Ok(directory)
        });
        match found {
            Ok(directory) => {
                self.tasks.remove(&task);
                self.directory = Some((directory, clocks.now));
            }
            Err(why) => self.setup_failed(clocks, task, &fail(Cause::Unreachable, &why), out),
        }
    }

    /// Whether the account has the key that was to follow.
    pub(super) fn next_told(&mut self, taken: bool, out: &mut Vec<Action>) {
        let Some(account) = &mut self.account else {
            return;
        };
        if let Some(next) = account.next_key.take().filter(|_| taken) {
            if let Ok(key) = AccountKey::from_pem(&next) {
                (account.key, self.key) = (next, Some(Arc::new(key)));
            }
        }
        let account = account.clone();
        self.save(FileUpdate::Account(account), None, out);
        let text = if taken {
            "it has the new key"
        } else {
            "it kept its key"
        };
        out.push(tell(Level::Info, "account", "", text));
    }

    pub(super) fn account_told(
        &mut self,
        clocks: Clocks,
        task: u64,
        answer: Response,
        out: &mut Vec<Action>,
    ) {
        let url = answer.location.filter(|url| self.place(url).is_ok());
        let Some((url, account)) = url.zip(self.account.as_mut()) else {
            let failure = fail(Cause::Unreachable, "an account without a URL");
            return self.setup_failed(clocks, task, &failure, out);
        };
        account.url = Some(url.clone());
        account.next_key = None;
        self.tasks.remove(&task);
        self.planner.answers();
        let account = account.clone();
        self.save(FileUpdate::Account(account), None, out);
        out.push(tell(Level::Info, "account", "", &tame(&url, 200)));
    }

    pub(super) fn setup_failed(
        &mut self,
        clocks: Clocks,
        task: u64,
        failure: &Failure,
        out: &mut Vec<Action>,
    ) {
        self.tasks.remove(&task);
        self.planner.away(clocks, failure.cause, failure.told);
        // Hints can wait: they alone are no reason to ask again soon.
        while let Some((_, id)) = self
            .info
            .first()
            .filter(|(at, _)| *at <= clocks.now)
            .cloned()
        {
            self.info.pop_first();
            self.info.insert((clocks.now + INFO_EACH, id));
        }
        let wait = self.planner.away_until().saturating_sub(clocks.now) / SECOND;
        let text = format!("{}; asked again in {wait} s", failure.text);
        out.push(tell(Level::Warn, failure.cause.as_str(), "", &text));
    }
}
