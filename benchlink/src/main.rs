//! Hosts cranesill routers on the wire of the bench: frames on standard input and output.
mod wire;

use cranesill::api::{Event, Outcome};
use cranesill::Router;
use cranesill_settings as settings;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};

fn main() {
    std::panic::set_hook(Box::new(|_| {}));
    if let Err(error) = run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        eprintln!("cranesill-adapter: {error}");
        std::process::exit(1);
    }
}

/// Answers frames until the input ends.
fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut routers = BTreeMap::new();
    let mut actions = Vec::new();
    while let Some((now, count, body)) = wire::read_frame(input)? {
        let mut reply = Vec::new();
        let mut events = wire::Reader::new(&body);
        for _ in 0..count {
            let (who, record) = events.record()?;
            let (event, values) = match record {
                wire::Record::PowerOn { seed, profile } => {
                    let settings::Deployment {
                        settings, layout, ..
                    } = settings::parse(profile).map_err(|error| error.to_string())?;
                    routers.insert(who, (Router::new(settings, seed), layout));
                    continue;
                }
                wire::Record::Detach => {
                    routers.remove(&who);
                    continue;
                }
                wire::Record::Ignored => continue,
                wire::Record::Event(event) => (event, Vec::new()),
                wire::Record::Outcome(outcome, values) => (Event::Outcome(outcome), values),
            };
            let Some((router, layout)) = routers.get_mut(&who) else {
                continue;
            };
            let event = match event {
                Event::Outcome(o) => Event::Outcome(Outcome {
                    report: layout.read(&values),
                    ..o
                }),
                other => other,
            };
            actions.clear();
            let done = catch_unwind(AssertUnwindSafe(|| router.handle(now, event, &mut actions)));
            if let Err(panic) = done {
                routers.remove(&who);
                wire::encode_fault(who, &panic_text(&*panic), &mut reply);
                continue;
            }
            for action in &actions {
                wire::encode(who, action, &mut reply);
            }
        }
        events.finish()?;
        let length = u32::try_from(reply.len()).map_err(|_| "reply too long".to_string())?;
        let written = output
            .write_all(&length.to_le_bytes())
            .and_then(|()| output.write_all(&reply));
        written
            .and_then(|()| output.flush())
            .map_err(|e| format!("cannot write: {e}"))?;
    }
    Ok(())
}

fn panic_text(panic: &(dyn std::any::Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|s| s.to_string());
    text.or_else(|| panic.downcast_ref::<String>().cloned())
        .unwrap_or_else(|| "panic".to_string())
}

#[cfg(test)]
mod tests;
