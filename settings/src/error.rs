//! Errors in a deployment's settings.
use thiserror::Error;

/// Settings that cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not JSON.
    #[error("settings: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The JSON value is not an object.
    #[error("settings: not an object")]
    NotAnObject,
    /// Values that are invalid, at least one.
    #[error("{}", join(.0))]
    Invalid(Vec<SettingsFault>),
}

fn join(faults: &[SettingsFault]) -> String {
    let lines: Vec<String> = faults.iter().map(SettingsFault::to_string).collect();
    lines.join("; ")
}

/// An invalid value and its path.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{path}: {problem}")]
pub struct SettingsFault {
    /// Path of the value, such as `settings.classes[2].aim`.
    pub path: String,
    /// The violated constraint.
    pub problem: Problem,
}

/// The constraint that a value violates.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Problem {
    /// An object is expected.
    #[error("not an object")]
    NotAnObject,
    /// A string is expected.
    #[error("not a string")]
    NotAString,
    /// A boolean is expected.
    #[error("not a boolean")]
    NotABoolean,
    /// A number is expected.
    #[error("not a number")]
    NotANumber,
    /// The number is out of range.
    #[error("{value:?}: out of range from 0 to {max}")]
    OutOfRange {
        /// The number in the settings.
        value: f64,
        /// The greatest allowed number.
        max: f64,
    },
    /// An array is expected.
    #[error("not an array")]
    NotAnArray,
    /// The array is too long.
    #[error("more than {max} entries")]
    TooManyEntries {
        /// The greatest allowed length.
        max: usize,
    },
    /// An index into the list of kinds, or -1, is expected.
    #[error("not an index into settings.kinds, nor -1 for none")]
    NotAKindIndex,
    /// The string is not one of the allowed ones.
    #[error("{excerpt}: expected one of {}", allowed.join(", "))]
    NotAllowed {
        /// The beginning of the value as JSON.
        excerpt: String,
        /// The allowed strings.
        allowed: &'static [&'static str],
    },
    /// The zone of the front is not in the list of zones.
    #[error("{zone}: not an index into settings.zones")]
    NoSuchZone {
        /// The value as JSON.
        zone: String,
    },
    /// An array with one entry per class has more entries than there are classes.
    #[error("more entries than settings.classes")]
    MoreThanClasses,
}
