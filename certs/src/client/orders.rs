//! Orders under way, and what is served once one is complete.
use super::tasks::{By, Kind, Task};
use super::{tell, Client};
use crate::disk::Keep;
use crate::error::Failure;
use crate::identity::Identity;
use crate::messages::{Action, Challenge, Key, Loud, Payload};
use crate::order::{Input, Order, Output, Way};
use crate::planner::Choice;
use crate::renewal::Held;
use crate::retry::Cause;
use crate::Moment;

impl Client {
    pub(super) fn begin(&mut self, moment: Moment, choice: Choice, out: &mut Vec<Action>) {
        let Some(settings) = self.settings.clone() else {
            return;
        };
        let Some((directory, key)) = self.directory.clone().zip(self.key.clone()) else {
            return;
        };
        let (id, thumbprint) = (choice.id, key.thumbprint());
        let pending = self.pending.get(&id).cloned();
        let (order, pem) = match pending {
            Some(pending) => (
                Order::resumed(moment, &pending, settings.way, thumbprint),
                Some(pending.key.clone()),
            ),
            None => {
                let old = self.served.get(&id).and_then(|all| all.first());
                let replaces = old.and_then(|i| i.renewal_id.clone());
                let replaces = replaces.filter(|_| directory.0.renewal_info.is_some());
                let new_order = directory.0.new_order.clone();
                (
                    Order::new(
                        moment,
                        choice.names,
                        settings.way,
                        thumbprint,
                        new_order,
                        replaces,
                    ),
                    None,
                )
            }
        };
        let names = order.names.clone();
        let resumed = if pem.is_some() { "taken up" } else { "begun" };
        out.push(tell(
            Loud::Info,
            "order",
            &id,
            &format!("{resumed} for {}", names.join(" ")),
        ));
        let task = self.task(Kind::Order {
            id,
            order: Box::new(order),
        });
        out.push(Action::MakeKey(task, Key::Order(names, pem)));
    }

    /// Puts an input into an order and carries out what it wants.
    pub(super) fn order(&mut self, moment: Moment, task: u64, input: Input, out: &mut Vec<Action>) {
        let Some(Task {
            kind: Kind::Order { id, order },
            ..
        }) = self.tasks.get_mut(&task)
        else {
            return;
        };
        let id = id.clone();
        match order.step(moment, input) {
            Output::MakeKey(names) => out.push(Action::MakeKey(task, Key::Order(names, None))),
            Output::Post(url, payload) => {
                self.post(moment, task, &url, Payload::Text(payload), By::Account, out);
            }
            Output::Publish(name, token, authorization) => {
                let way = self.settings.as_ref().map_or(Way::Http, |s| s.way);
                let challenge = Challenge {
                    way,
                    name,
                    token,
                    authorization,
                };
                self.tasks
                    .get_mut(&task)
                    .into_iter()
                    .for_each(|t| t.shown.push(challenge.clone()));
                out.push(Action::Publish(task, challenge));
            }
            Output::Keep(pending) => {
                self.pending.insert(id.clone(), pending.clone());
                let keep = Keep::Pending(id, pending);
                self.unsaved.supersede(&keep);
                out.push(Action::Save(task, keep));
            }
            Output::Sleep(until) => {
                self.tasks
                    .get_mut(&task)
                    .into_iter()
                    .for_each(|t| t.wake = Some(until));
            }
            Output::Done(identity) => {
                self.end(task, out);
                self.pending.remove(&id);
                let until = identity.not_after;
                out.push(tell(
                    Loud::Info,
                    "issued",
                    &id,
                    &format!("serial {} until {until}", identity.serial),
                ));
                self.save(Keep::Identity(id.clone(), (*identity).clone()), None, out);
                self.take(moment, &id, *identity, true, out);
                self.keep_state(out);
            }
            Output::Failed(failure) => {
                self.end(task, out);
                if !failure.keeps_order && self.pending.remove(&id).is_some() {
                    self.save(Keep::Forget(id.clone()), None, out);
                }
                self.failed(moment, &id, &failure, out);
            }
        }
    }

    pub(super) fn failed(
        &mut self,
        moment: Moment,
        id: &str,
        failure: &Failure,
        out: &mut Vec<Action>,
    ) {
        if failure.cause == Cause::Unknown {
            self.account_lost();
        }
        self.planner.failed(moment, id, failure);
        out.push(tell(Loud::Warn, failure.cause.word(), id, &failure.text));
        self.keep_state(out);
    }

    /// The authority does not know the account: it is made again under the same key.
    pub(super) fn account_lost(&mut self) {
        if let Some(account) = &mut self.account {
            account.url = None;
        }
        // Its orders went with it.
        self.pending.clear();
    }

    /// A certificate is there: it is served at once.
    pub(super) fn take(
        &mut self,
        moment: Moment,
        id: &str,
        identity: Identity,
        ordered: bool,
        out: &mut Vec<Action>,
    ) {
        let held = Held {
            not_before: identity.not_before,
            not_after: identity.not_after,
        };
        let names = identity.names.clone();
        if ordered {
            self.planner.succeeded(moment, id, held, &names);
        } else {
            self.planner.holds(moment, id, held, &names);
        }
        if identity.renewal_id.is_some() {
            self.info.retain(|(_, i)| i != id);
            self.info.insert((moment.now, id.into()));
        }
        let wanted = self
            .planner
            .names(id)
            .map(<[String]>::to_vec)
            .unwrap_or_default();
        let all = self.served.entry(id.into()).or_default();
        // An older one stays for names that it alone stands for.
        let lacks: Vec<_> = wanted.iter().filter(|n| !identity.covers(n)).collect();
        all.retain(|old| old.mark() != identity.mark() && lacks.iter().any(|n| old.covers(n)));
        all.truncate(1);
        all.insert(0, identity);
        out.push(Action::Serve(id.into(), all.clone(), false));
    }

    pub(super) fn reread(
        &mut self,
        moment: Moment,
        task: u64,
        found: Option<Box<Identity>>,
        out: &mut Vec<Action>,
    ) {
        let Some(Task {
            kind: Kind::Reread(choice),
            ..
        }) = self.tasks.remove(&task)
        else {
            return;
        };
        let held = self.served.get(&choice.id).and_then(|all| all.first());
        let newer = found.filter(|i| {
            let later = held.is_none_or(|h| i.not_after > h.not_after);
            later && i.not_after > moment.wall && choice.names.iter().all(|n| i.covers(n))
        });
        match newer {
            Some(identity) => {
                out.push(tell(
                    Loud::Info,
                    "found",
                    &choice.id,
                    "another front has renewed it",
                ));
                self.take(moment, &choice.id.clone(), *identity, true, out);
            }
            None => self.begin(moment, choice, out),
        }
    }
}
