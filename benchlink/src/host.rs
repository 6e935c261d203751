//! Instances of the simulator: one router each, with the layout of its load reports.
use crate::error::AdapterError;
use crate::wire::{self, Reader, Record};
use cranesill::api::{Action, Event, Outcome, Timestamp};
use cranesill::Router;
use cranesill_settings::{self as settings, Deployment, ReportLayout};
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

struct Instance {
    router: Router,
    layout: ReportLayout,
}

/// The running instances, by number.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    /// Buffer, reused between events.
    actions: Vec<Action>,
}

impl Host {
    /// Handles the records of a frame and returns the encoded replies.
    pub fn handle_frame(&mut self, frame: &wire::Frame) -> Result<Vec<u8>, AdapterError> {
        let mut replies = Vec::new();
        let mut records = Reader::new(&frame.body);
        for _ in 0..frame.count {
            let (number, record) = records.record()?;
            self.handle_record(frame.now, number, record, &mut replies)?;
        }
        records.finish()?;
        Ok(replies)
    }

    fn handle_record(
        &mut self,
        now: Timestamp,
        number: u32,
        record: Record<'_>,
        replies: &mut Vec<u8>,
    ) -> Result<(), AdapterError> {
        match record {
            Record::PowerOn { seed, profile } => self.start(number, seed, profile)?,
            Record::Detach => drop(self.instances.remove(&number)),
            Record::Ignored => {}
            Record::Event(event) => self.handle_event(now, number, event, replies),
            Record::Outcome(outcome, values) => {
                self.handle_outcome(now, number, outcome, &values, replies);
            }
        }
        Ok(())
    }

    fn start(&mut self, number: u32, seed: u64, profile: &[u8]) -> Result<(), AdapterError> {
        let Deployment {
            settings, layout, ..
        } = settings::parse(profile).map_err(|source| AdapterError::Settings {
            instance: number,
            source,
        })?;
        let router = Router::new(settings, seed);
        self.instances.insert(number, Instance { router, layout });
        Ok(())
    }

    fn handle_outcome(
        &mut self,
        now: Timestamp,
        number: u32,
        outcome: Outcome,
        values: &[f32],
        replies: &mut Vec<u8>,
    ) {
        let Some(instance) = self.instances.get(&number) else {
            return;
        };
        let report = instance.layout.read(values);
        let outcome = Outcome { report, ..outcome };
        self.handle_event(now, number, Event::Outcome(outcome), replies);
    }

    /// Passes an event to the router of an instance. A panic stops only that instance and is reported as its fault.
    fn handle_event(&mut self, now: Timestamp, number: u32, event: Event, replies: &mut Vec<u8>) {
        let Some(instance) = self.instances.get_mut(&number) else {
            return;
        };
        self.actions.clear();
        let handled = catch_unwind(AssertUnwindSafe(|| {
            instance.router.handle(now, event, &mut self.actions);
        }));
        if let Err(panic) = handled {
            self.instances.remove(&number);
            return wire::encode_fault(number, &panic_text(&*panic), replies);
        }
        for action in &self.actions {
            wire::encode(number, action, replies);
        }
    }
}

fn panic_text(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|text| text.to_string());
    text.or_else(|| panic.downcast_ref::<String>().cloned())
        .unwrap_or_else(|| "panic".to_string())
}
