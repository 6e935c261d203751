//! The log: lines on standard error.
use cranesill::api::{Span, Time};

const SECOND: Span = 1_000_000;
/// Lines a second at most: guards the one core against a storm of news.
const LINES_MOST: u32 = 50;

/// Writes lines, not too many.
#[derive(Debug, Default)]
pub struct Log {
    since: Time,
    lines: u32,
}

impl Log {
    /// Writes a line, or counts it as left out.
    pub fn line(&mut self, now: Time, text: &str) {
        if now >= self.since + SECOND {
            if self.lines > LINES_MOST {
                eprintln!("{} lines left out", self.lines - LINES_MOST);
            }
            (self.since, self.lines) = (now, 0);
        }
        self.lines += 1;
        if self.lines <= LINES_MOST {
            eprintln!("{}.{:06} {text}", now / SECOND, now % SECOND);
        }
    }
}
