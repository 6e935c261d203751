//! What can be wrong with a deployment's settings.
use thiserror::Error;

/// Why settings cannot be read.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not JSON.
    #[error("settings: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The JSON value is not an object.
    #[error("settings: not an object")]
    NotAnObject,
    /// All faults of the values.
    #[error("{}", join(.0))]
    Invalid(Vec<SettingsFault>),
}

fn join(faults: &[SettingsFault]) -> String {
    let lines: Vec<String> = faults.iter().map(SettingsFault::to_string).collect();
    lines.join("; ")
}

/// A fault with the path of the value.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{path}: {problem}")]
pub struct SettingsFault {
    /// Where the value is, as in `settings.classes[2].aim`.
    pub path: String,
    /// What is wrong with it.
    pub problem: Problem,
}

/// What is wrong with a value.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Problem {
    /// An object is expected.
    #[error("not an object")]
    NotAnObject,
    /// A string is expected.
    #[error("not a text")]
    NotAText,
    /// A boolean is expected.
    #[error("not true or false")]
    NotABoolean,
    /// A number is expected.
    #[error("not a number")]
    NotANumber,
    /// The number is out of bounds.
    #[error("{value:?}: not from 0 to {max}")]
    OutOfRange {
        /// The number.
        value: f64,
        /// The greatest that is allowed.
        max: f64,
    },
    /// A list is expected.
    #[error("not a list")]
    NotAList,
    /// The list is too long.
    #[error("over {max} entries")]
    TooManyEntries {
        /// The greatest length that is allowed.
        max: usize,
    },
    /// An index into the list of kinds, or -1, is expected.
    #[error("not the place of a kind, or -1 for none")]
    NotAKind,
    /// The word is none of those that are known.
    #[error("{word}: none of {}", known.join(", "))]
    UnknownWord {
        /// The value as JSON, abbreviated.
        word: String,
        /// The words that are known.
        known: &'static [&'static str],
    },
    /// The zone of the front is not in the list of zones.
    #[error("{zone}: not a place in settings.zones")]
    NoSuchZone {
        /// The value as JSON.
        zone: String,
    },
    /// A list by class has more entries than there are classes.
    #[error("more entries than settings.classes")]
    MoreThanClasses,
}
