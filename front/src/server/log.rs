//! The log: events of `tracing` as lines on standard error, text or JSON, so many a second at most.
use cranesill_daemon::{Format, Level, Log as Settings};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::layer::{Context, SubscriberExt};
use tracing_subscriber::{reload, Layer, Registry};

/// Lines a second at most: guards the one core against a storm of news.
const LINES_MOST: u32 = 50;
/// Of these, notes may take so many: warnings and errors are not lost among them.
const NOTES_MOST: u32 = 35;
/// Kinds of left out lines that are told apart.
const KINDS_MOST: usize = 32;
/// Letters of a line at most.
const LINE_MOST: usize = 4_000;

/// Decides which lines are written. No clock: seconds come in.
#[derive(Debug, Default)]
struct Limiter {
    second: u64,
    notes: u32,
    alarms: u32,
    left_out: BTreeMap<String, u64>,
}

impl Limiter {
    /// Whether a line of that kind is written now; else it is counted.
    fn admit(&mut self, second: u64, alarm: bool, kind: &str) -> bool {
        if second != self.second {
            (self.second, self.notes, self.alarms) = (second, 0, 0);
        }
        let all = self.notes + self.alarms;
        let room = all < LINES_MOST && (alarm || self.notes < NOTES_MOST);
        match (room, alarm) {
            (true, true) => self.alarms += 1,
            (true, false) => self.notes += 1,
            (false, _) => {
                let known = self.left_out.contains_key(kind) || self.left_out.len() < KINDS_MOST;
                *self
                    .left_out
                    .entry(if known { kind.into() } else { "others".into() })
                    .or_default() += 1;
            }
        }
        room
    }

    /// What was left out in an earlier second, by kind.
    fn told(&mut self, second: u64) -> Option<BTreeMap<String, u64>> {
        let over = second != self.second && !self.left_out.is_empty();
        over.then(|| std::mem::take(&mut self.left_out))
    }
}

#[derive(Debug, Default)]
struct Shared {
    json: AtomicBool,
    limiter: Mutex<Limiter>,
}

struct Lines(Arc<Shared>);

/// Collects an event's fields.
#[derive(Default)]
struct Fields {
    message: String,
    kind: Option<String>,
    rest: Vec<(&'static str, String)>,
}

impl Fields {
    fn add(&mut self, field: &Field, value: String) {
        match field.name() {
            "message" => self.message = value,
            "kind" => {
                self.kind = Some(value.clone());
                self.rest.push(("kind", value));
            }
            name => self.rest.push((name, value)),
        }
    }
}

impl Visit for Fields {
    fn record_debug(&mut self, field: &Field, value: &dyn std::fmt::Debug) {
        self.add(field, format!("{value:?}"));
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        self.add(field, value.into());
    }
}

fn now() -> (u64, u32) {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    (now.as_secs(), now.subsec_micros())
}

/// One line; `level` in lower case. What could break a line is escaped.
fn line(
    json: bool,
    (second, micros): (u64, u32),
    level: &str,
    message: &str,
    fields: &[(&str, String)],
) -> String {
    let mut line = String::new();
    if json {
        let mut object = serde_json::Map::new();
        object.insert(
            "ts".into(),
            (second as f64 + f64::from(micros) / 1e6).into(),
        );
        object.insert("level".into(), level.into());
        object.insert("message".into(), message.into());
        for (name, value) in fields {
            object.insert(
                (*name).into(),
                value.chars().take(LINE_MOST).collect::<String>().into(),
            );
        }
        line = serde_json::Value::Object(object).to_string();
    } else {
        // Writing into a string can't fail.
        let _ = write!(
            line,
            "{second}.{micros:06} {level} {}",
            message.escape_debug()
        );
        for (name, value) in fields {
            let bare = !value.is_empty()
                && value
                    .chars()
                    .all(|c| !c.is_control() && !" \"=".contains(c));
            let _ = if bare {
                write!(line, " {name}={value}")
            } else {
                write!(line, " {name}={value:?}")
            };
        }
        if let Some((at, _)) = line.char_indices().nth(LINE_MOST) {
            line.truncate(at);
        }
    }
    line.push('\n');
    line
}

impl Shared {
    fn write(&self, level: &str, message: &str, fields: &[(&str, String)]) {
        let text = line(
            self.json.load(Ordering::Relaxed),
            now(),
            level,
            message,
            fields,
        );
        // Nobody is left to be told of a log that can't be written.
        let _ = std::io::stderr().lock().write_all(text.as_bytes());
    }

    fn tell_left_out(&self) {
        let told = self
            .limiter
            .lock()
            .ok()
            .and_then(|mut limiter| limiter.told(now().0));
        if let Some(told) = told {
            let lines = told.values().sum::<u64>().to_string();
            let mut fields = vec![("lines", lines)];
            let kinds: Vec<_> = told.iter().map(|(kind, n)| format!("{kind}:{n}")).collect();
            fields.push(("kinds", kinds.join(",")));
            self.write("warn", "lines left out", &fields);
        }
    }
}

impl<S: Subscriber> Layer<S> for Lines {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let mut fields = Fields::default();
        event.record(&mut fields);
        let level = *event.metadata().level();
        let alarm = level <= tracing::Level::WARN;
        let kind = fields.kind.as_deref().unwrap_or(&fields.message);
        self.0.tell_left_out();
        let room = self
            .0
            .limiter
            .lock()
            .is_ok_and(|mut limiter| limiter.admit(now().0, alarm, kind));
        if room {
            self.0.write(
                &level.to_string().to_lowercase(),
                &fields.message,
                &fields.rest,
            );
        }
    }
}

fn filter(level: Level) -> LevelFilter {
    match level {
        Level::Error => LevelFilter::ERROR,
        Level::Warn => LevelFilter::WARN,
        Level::Info => LevelFilter::INFO,
        Level::Debug => LevelFilter::DEBUG,
        Level::Trace => LevelFilter::TRACE,
    }
}

/// The log of this process.
pub struct Log {
    shared: Arc<Shared>,
    level: reload::Handle<LevelFilter, Registry>,
}

impl Log {
    /// Begins to write; a process does that once.
    pub fn install(settings: &Settings) -> Self {
        let shared = Arc::new(Shared::default());
        shared
            .json
            .store(settings.format == Format::Json, Ordering::Relaxed);
        let (filter, level) = reload::Layer::new(filter(settings.level));
        let subscriber = Registry::default()
            .with(filter)
            .with(Lines(Arc::clone(&shared)));
        // A second one in the same process, as in tests, leaves the first in place.
        let _ = tracing::subscriber::set_global_default(subscriber);
        Log { shared, level }
    }

    /// Changes form and level in service.
    pub fn set(&self, settings: &Settings) {
        self.shared
            .json
            .store(settings.format == Format::Json, Ordering::Relaxed);
        // It can only fail once the subscriber is gone.
        let _ = self.level.modify(|level| *level = filter(settings.level));
    }

    /// Tells what was left out, if there was something, also where no further line comes.
    pub fn sweep(&self) {
        self.shared.tell_left_out();
    }
}

#[cfg(test)]
mod tests;
