//! Startup and configuration, and the setup that orders require: the directory and the account.
use super::tasks::{Setup, Signer, Task, TaskKind};
use super::{
    certificate_id, failure, log_entry, notice_entry, Client, MAX_DIRECTORY_AGE,
    RENEWAL_INFO_INTERVAL,
};
use crate::disk::{Account, FileUpdate, Loaded};
use crate::error::Failure;
use crate::http::Response;
use crate::jose::AccountKey;
use crate::messages::{Action, KeyRequest, Level, Payload};
use crate::order::MAX_RESUME_AGE_S;
use crate::planner::PlannerSettings;
use crate::renewal::Ranking;
use crate::retry::Cause;
use crate::wire;
use crate::{sanitize, Clocks, SECOND};
use std::collections::BTreeSet;
use std::sync::Arc;

impl Client {
    /// Takes over the content of the folder.
    pub(super) fn start(&mut self, clocks: Clocks, loaded: Loaded, out: &mut Vec<Action>) {
        for (file, error) in &loaded.faults {
            let text = format!("file cannot be used: {error}");
            out.push(log_entry(Level::Warn, "file-unusable", file, &text));
        }
        self.saved = loaded.state.clone();
        self.planner
            .restore(clocks, &loaded.state.orders, loaded.state.refused);
        let same_authority = |a: &Account| {
            self.settings
                .as_ref()
                .is_some_and(|s| s.directory_url == a.directory_url)
        };
        if let Some(account) = loaded.account.filter(same_authority) {
            match AccountKey::from_pem(&account.key) {
                Ok(key) => (self.key, self.account) = (Some(Arc::new(key)), Some(account)),
                Err(error) => {
                    let text = format!("{error}; a new account will be registered");
                    out.push(log_entry(
                        Level::Warn,
                        "file-unusable",
                        "account.json",
                        &text,
                    ));
                }
            }
        }
        for (id, identity) in loaded.identities {
            if self.planner.names(&id).is_some() {
                self.install(clocks, &id, identity, false, out);
            } else {
                // It would neither be renewed nor monitored for expiry.
                out.push(log_entry(
                    Level::Info,
                    "file-unused",
                    &id,
                    "certificate not loaded: no certificate with this name is configured",
                ));
            }
        }
        for (id, pending) in loaded.pending {
            let wanted = self
                .planner
                .names(&id)
                .is_some_and(|n| pending.names.iter().all(|p| n.contains(p)));
            let resumable =
                pending.began + MAX_RESUME_AGE_S > clocks.wall && self.account.is_some();
            if wanted && resumable {
                self.planner.set_resumable(clocks, &id);
                self.pending.insert(id, pending);
            } else {
                self.save(FileUpdate::RemoveOrder(id), None, out);
            }
        }
        self.started = true;
    }

    /// Applies new settings of the planner and the list of configured certificates.
    pub(super) fn configure(
        &mut self,
        clocks: Clocks,
        planner_settings: PlannerSettings,
        ranking: Box<dyn Ranking + Send>,
        certificates: &[Vec<String>],
        out: &mut Vec<Action>,
    ) {
        self.planner.reconfigure(clocks, planner_settings, ranking);
        self.planner.set_wanted(clocks, certificates);
        let known: BTreeSet<String> = self.planner.ids().cloned().collect();
        let obsolete: Vec<u64> = self
            .tasks
            .iter()
            .filter(|(_, t)| certificate_id(&t.kind).is_some_and(|id| !known.contains(id)))
            .map(|(task, _)| *task)
            .collect();
        obsolete
            .into_iter()
            .for_each(|task| self.end_task(task, out));
        // Certificates that are no longer configured are not served, but their files are kept.
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

    /// Logs notices and starts the setup, orders and requests for renewal information that are due.
    pub(super) fn start_due_work(&mut self, clocks: Clocks, out: &mut Vec<Action>) {
        if !self.started {
            return;
        }
        for notice in self.planner.notices(clocks) {
            out.push(notice_entry(&notice));
        }
        let Some(settings) = self.settings.clone() else {
            return;
        };
        let setup = self
            .tasks
            .values()
            .any(|t| matches!(t.kind, TaskKind::Setup(_)));
        let has_ready = self.planner.has_ready(clocks);
        let info = self
            .renewal_info_queue
            .first()
            .is_some_and(|(at, _)| *at <= clocks.now);
        let paused = clocks.now < self.planner.paused_until();
        if setup || paused || !(has_ready || info) {
            return;
        }
        let current = self
            .directory
            .as_ref()
            .filter(|(_, at)| clocks.now < at + MAX_DIRECTORY_AGE);
        if current.is_none() {
            let task = self.add_task(TaskKind::Setup(Setup::Directory));
            return self.get(clocks, task, &settings.directory_url, out);
        }
        if has_ready && self.account.as_ref().is_none_or(|a| a.url.is_none()) {
            return self.register(clocks, out);
        }
        let rollover_in_progress = self
            .tasks
            .values()
            .any(|t| matches!(t.kind, TaskKind::KeyRollover { .. }));
        let next = self
            .account
            .as_ref()
            .and_then(|a| a.next_key.as_deref())
            .filter(|_| has_ready && !rollover_in_progress);
        if let Some(key) = next.and_then(|pem| AccountKey::from_pem(pem).ok()) {
            let task = self.add_task(TaskKind::Setup(Setup::CheckNextKey));
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
                Signer::Key(Arc::new(key)),
                out,
            );
        }
        while let Some(planned) = self.planner.next(clocks) {
            self.save_state(out);
            if settings.shared && !self.pending.contains_key(&planned.id) {
                let id = planned.id.clone();
                let task = self.add_task(TaskKind::Reread(planned));
                out.push(Action::Reread(task, id));
            } else {
                self.begin_order(clocks, planned, out);
            }
        }
        let request_in_progress = self
            .tasks
            .values()
            .any(|t| matches!(t.kind, TaskKind::RenewalInfo(_)));
        if info && !request_in_progress {
            self.request_renewal_info(clocks, out);
        }
    }

    /// Registers an account, or finds the existing account of the key.
    pub(super) fn register(&mut self, clocks: Clocks, out: &mut Vec<Action>) {
        match &self.key {
            None => {
                let task = self.add_task(TaskKind::Setup(Setup::GenerateKey));
                out.push(Action::GenerateKey(task, KeyRequest::Account));
            }
            Some(_) => {
                let task = self.add_task(TaskKind::Setup(Setup::Register));
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
            let failure = failure(
                Cause::AccountRejected,
                "the authority requires an external account, but none is configured",
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
            Signer::Key(key),
            out,
        );
    }

    pub(super) fn handle_account_key(
        &mut self,
        clocks: Clocks,
        task: u64,
        key: Result<Arc<AccountKey>, String>,
        out: &mut Vec<Action>,
    ) {
        let key = match key {
            Ok(key) => key,
            Err(error) => return self.request_failed(clocks, task, &error, out),
        };
        let Some(Task { kind, .. }) = self.tasks.get_mut(&task) else {
            return;
        };
        match kind {
            TaskKind::Setup(step) => {
                *step = Setup::SaveKey;
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
                let update = FileUpdate::Account(account);
                self.pending_writes.supersede(&update);
                out.push(Action::Save(task, update));
            }
            TaskKind::KeyRollover { new, .. } => {
                *new = Some(Arc::clone(&key));
                if let Some(account) = &mut self.account {
                    account.next_key = Some(key.pem().into());
                    let update = FileUpdate::Account(account.clone());
                    self.pending_writes.supersede(&update);
                    out.push(Action::Save(task, update));
                }
            }
            _ => {}
        }
    }

    pub(super) fn handle_directory(
        &mut self,
        clocks: Clocks,
        task: u64,
        response: &Response,
        out: &mut Vec<Action>,
    ) {
        let found = wire::directory(&response.body).and_then(|directory| {
            for url in [
                &directory.new_nonce,
                &directory.new_account,
                &directory.new_order,
            ] {
                self.authority_url(url)?;
            }
            Ok(directory)
        });
        match found {
            Ok(directory) => {
                self.tasks.remove(&task);
                self.directory = Some((directory, clocks.now));
            }
            Err(error) => {
                self.setup_failed(clocks, task, &failure(Cause::Unreachable, &error), out)
            }
        }
    }

    /// Handles the result of the request that checks whether the authority uses the new account key.
    pub(super) fn handle_next_key_check(&mut self, accepted: bool, out: &mut Vec<Action>) {
        let Some(account) = &mut self.account else {
            return;
        };
        if let Some(next) = account.next_key.take().filter(|_| accepted) {
            if let Ok(key) = AccountKey::from_pem(&next) {
                (account.key, self.key) = (next, Some(Arc::new(key)));
            }
        }
        let account = account.clone();
        self.save(FileUpdate::Account(account), None, out);
        let text = if accepted {
            "the authority uses the new account key"
        } else {
            "the authority uses the old account key; the new one is discarded"
        };
        out.push(log_entry(Level::Info, "account", "", text));
    }

    pub(super) fn handle_registration(
        &mut self,
        clocks: Clocks,
        task: u64,
        response: Response,
        out: &mut Vec<Action>,
    ) {
        let url = response
            .location
            .filter(|url| self.authority_url(url).is_ok());
        let Some((url, account)) = url.zip(self.account.as_mut()) else {
            let failure = failure(
                Cause::Unreachable,
                "the registration response has no account URL of the authority",
            );
            return self.setup_failed(clocks, task, &failure, out);
        };
        account.url = Some(url.clone());
        account.next_key = None;
        self.tasks.remove(&task);
        self.planner.authority_responded();
        let account = account.clone();
        self.save(FileUpdate::Account(account), None, out);
        let text = format!("account registered: {}", sanitize(&url, 200));
        out.push(log_entry(Level::Info, "account", "", &text));
    }

    /// Ends the setup and pauses until the next attempt.
    pub(super) fn setup_failed(
        &mut self,
        clocks: Clocks,
        task: u64,
        failure: &Failure,
        out: &mut Vec<Action>,
    ) {
        self.tasks.remove(&task);
        self.planner
            .pause(clocks, failure.cause, failure.retry_after);
        // Renewal information is optional and no reason for an early request.
        while let Some((_, id)) = self
            .renewal_info_queue
            .first()
            .filter(|(at, _)| *at <= clocks.now)
            .cloned()
        {
            self.renewal_info_queue.pop_first();
            self.renewal_info_queue
                .insert((clocks.now + RENEWAL_INFO_INTERVAL, id));
        }
        let wait = self.planner.paused_until().saturating_sub(clocks.now) / SECOND;
        let text = format!(
            "setup of directory or account failed: {}; next attempt in {wait} s",
            failure.text
        );
        out.push(log_entry(Level::Warn, failure.cause.as_str(), "", &text));
    }
}
