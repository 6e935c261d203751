//! Whether a list that lies on disk is to be served from.
use std::fmt;

/// What is known of a list without reading all of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dated {
    /// Which list it is: where it is asked for, and what its records refer to.
    pub source: u64,
    /// The last event in it.
    pub number: u64,
    /// When it was known so, in Unix milliseconds.
    pub at_ms: u64,
}

/// Why it is left aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Aside {
    /// It is of another list.
    Other,
    /// The configuration knows as much.
    Known,
    /// It is older than may be served from, by so many seconds.
    Old(u64),
    /// It is of the future.
    Future,
}

impl fmt::Display for Aside {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Aside::Other => write!(f, "it is of another list"),
            Aside::Known => write!(f, "the configuration knows as much"),
            Aside::Old(by) => write!(f, "it is {by} s older than may be served from"),
            Aside::Future => write!(f, "it is of the future"),
        }
    }
}

/// Clocks of one machine may be set back by this between two starts.
const AHEAD_MOST_MS: u64 = 60_000;

/// Whether a snapshot is to be served from by a front that starts now and knows so much of that list by its configuration.
pub fn judge(now_ms: u64, found: Dated, source: u64, known: u64, serve_ms: u64) -> Result<(), Aside> {
    if found.source != source {
        return Err(Aside::Other);
    }
    if found.number <= known {
        return Err(Aside::Known);
    }
    if found.at_ms > now_ms.saturating_add(AHEAD_MOST_MS) {
        return Err(Aside::Future);
    }
    match now_ms.saturating_sub(found.at_ms).saturating_sub(serve_ms) {
        0 => Ok(()),
        by => Err(Aside::Old(by.div_ceil(1_000))),
    }
}

#[cfg(test)]
mod tests;
