//! The log: writes `tracing` events to standard error as text or JSON lines, with a rate limit.
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

/// Maximum number of lines per second, a limit on the CPU time spent on logging.
const MAX_LINES_PER_SECOND: u32 = 50;
/// Maximum number of lines below the level WARN per second; the remaining lines are reserved for warnings and errors.
const MAX_INFO_LINES_PER_SECOND: u32 = 35;
/// Maximum number of kinds for which suppressed lines are counted separately.
const MAX_SUPPRESSED_KINDS: usize = 32;
/// Maximum length of a line or of a JSON value, in characters.
const MAX_LINE_CHARACTERS: usize = 4_000;

/// Rate limiter. The current second is passed in by the caller.
#[derive(Debug, Default)]
struct Limiter {
    second: u64,
    info_lines: u32,
    warnings: u32,
    suppressed: BTreeMap<String, u64>,
}

impl Limiter {
    /// Returns whether a line of this kind may be written now; otherwise it is counted as suppressed.
    fn admit(&mut self, second: u64, is_warning: bool, kind: &str) -> bool {
        if second != self.second {
            self.second = second;
            self.info_lines = 0;
            self.warnings = 0;
        }
        let all = self.info_lines + self.warnings;
        let admitted = all < MAX_LINES_PER_SECOND
            && (is_warning || self.info_lines < MAX_INFO_LINES_PER_SECOND);
        match (admitted, is_warning) {
            (true, true) => self.warnings += 1,
            (true, false) => self.info_lines += 1,
            (false, _) => self.count_suppressed(kind),
        }
        admitted
    }

    fn count_suppressed(&mut self, kind: &str) {
        let is_counted =
            self.suppressed.contains_key(kind) || self.suppressed.len() < MAX_SUPPRESSED_KINDS;
        let kind = if is_counted { kind } else { "others" };
        *self.suppressed.entry(kind.into()).or_default() += 1;
    }

    /// Removes and returns the counts of lines suppressed in an earlier second, by kind.
    fn take_suppressed(&mut self, second: u64) -> Option<BTreeMap<String, u64>> {
        let is_past = second != self.second && !self.suppressed.is_empty();
        is_past.then(|| std::mem::take(&mut self.suppressed))
    }
}

#[derive(Debug, Default)]
struct Writer {
    json: AtomicBool,
    limiter: Mutex<Limiter>,
}

/// The `tracing` layer that formats and writes events.
struct LineLayer(Arc<Writer>);

/// The fields of an event.
#[derive(Default)]
struct Fields {
    message: String,
    kind: Option<String>,
    others: Vec<(&'static str, String)>,
}

impl Fields {
    fn add(&mut self, field: &Field, value: String) {
        match field.name() {
            "message" => self.message = value,
            "kind" => {
                self.kind = Some(value.clone());
                self.others.push(("kind", value));
            }
            name => self.others.push((name, value)),
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

/// Returns the Unix time as seconds and microseconds.
fn now() -> (u64, u32) {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    (now.as_secs(), now.subsec_micros())
}

/// Formats one line; `level` is in lower case. Line breaks and control characters are escaped.
fn line(
    json: bool,
    time: (u64, u32),
    level: &str,
    message: &str,
    fields: &[(&str, String)],
) -> String {
    let mut line = if json {
        json_line(time, level, message, fields)
    } else {
        text_line(time, level, message, fields)
    };
    line.push('\n');
    line
}

fn json_line(
    (second, micros): (u64, u32),
    level: &str,
    message: &str,
    fields: &[(&str, String)],
) -> String {
    let seconds = second as f64 + f64::from(micros) / 1e6;
    let mut object = serde_json::Map::new();
    object.insert("ts".into(), seconds.into());
    object.insert("level".into(), level.into());
    object.insert("message".into(), message.into());
    for (name, value) in fields {
        let value: String = value.chars().take(MAX_LINE_CHARACTERS).collect();
        object.insert((*name).into(), value.into());
    }
    serde_json::Value::Object(object).to_string()
}

fn text_line(
    (second, micros): (u64, u32),
    level: &str,
    message: &str,
    fields: &[(&str, String)],
) -> String {
    let message = message.escape_debug();
    let mut line = format!("{second}.{micros:06} {level} {message}");
    for (name, value) in fields {
        let needs_quotes = |c: char| c.is_control() || " \"=".contains(c);
        // Writing to a string cannot fail.
        let _ = if value.is_empty() || value.chars().any(needs_quotes) {
            write!(line, " {name}={value:?}")
        } else {
            write!(line, " {name}={value}")
        };
    }
    if let Some((at, _)) = line.char_indices().nth(MAX_LINE_CHARACTERS) {
        line.truncate(at);
    }
    line
}

impl Writer {
    fn write(&self, level: &str, message: &str, fields: &[(&str, String)]) {
        let text = line(
            self.json.load(Ordering::Relaxed),
            now(),
            level,
            message,
            fields,
        );
        // A failure to write the log cannot be reported anywhere else.
        let _ = std::io::stderr().lock().write_all(text.as_bytes());
    }

    fn report_suppressed(&self) {
        let suppressed = self
            .limiter
            .lock()
            .ok()
            .and_then(|mut limiter| limiter.take_suppressed(now().0));
        if let Some(suppressed) = suppressed {
            let lines = suppressed.values().sum::<u64>().to_string();
            let mut fields = vec![("lines", lines)];
            let kinds: Vec<_> = suppressed
                .iter()
                .map(|(kind, n)| format!("{kind}:{n}"))
                .collect();
            fields.push(("kinds", kinds.join(",")));
            self.write("warn", "log lines suppressed by the rate limit", &fields);
        }
    }
}

impl<S: Subscriber> Layer<S> for LineLayer {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let mut fields = Fields::default();
        event.record(&mut fields);
        let level = *event.metadata().level();
        let is_warning = level <= tracing::Level::WARN;
        let kind = fields.kind.as_deref().unwrap_or(&fields.message);
        self.0.report_suppressed();
        let admitted = self
            .0
            .limiter
            .lock()
            .is_ok_and(|mut limiter| limiter.admit(now().0, is_warning, kind));
        if admitted {
            self.0.write(
                &level.to_string().to_lowercase(),
                &fields.message,
                &fields.others,
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

/// Handle to the installed log, for changes of its settings.
pub struct Log {
    writer: Arc<Writer>,
    level: reload::Handle<LevelFilter, Registry>,
}

impl Log {
    /// Installs the global `tracing` subscriber. Only the first call in a process has an effect.
    pub fn install(settings: &Settings) -> Self {
        let writer = Arc::new(Writer::default());
        writer
            .json
            .store(settings.format == Format::Json, Ordering::Relaxed);
        let (filter, level) = reload::Layer::new(filter(settings.level));
        let subscriber = Registry::default()
            .with(filter)
            .with(LineLayer(Arc::clone(&writer)));
        // Fails if a subscriber is already installed, as in tests that start several servers.
        let _ = tracing::subscriber::set_global_default(subscriber);
        Log { writer, level }
    }

    /// Applies new settings of format and level.
    pub fn set(&self, settings: &Settings) {
        self.writer
            .json
            .store(settings.format == Format::Json, Ordering::Relaxed);
        // Fails only if the subscriber has been dropped.
        let _ = self.level.modify(|level| *level = filter(settings.level));
    }

    /// Logs the number of suppressed lines even if no further event is logged.
    pub fn report_suppressed(&self) {
        self.writer.report_suppressed();
    }
}

#[cfg(test)]
mod tests;
