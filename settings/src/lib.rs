//! Reads a deployment's settings: a JSON object that the simulator sends to an instance, and that a front reads from its
//! configuration file.
//!
//! Unknown keys are ignored, and a missing key takes its default. A value of the wrong type or out of range is an error
//! that contains its path.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod check;
mod error;
mod json;
mod read;

pub use error::{Problem, SettingsError, SettingsFault};

use cranesill::api::{LoadReport, Micros, Settings};
use serde_json::Value;

/// Positions of the metrics in a load report. A metric without a position is not reported.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportLayout {
    in_flight: Option<usize>,
    link: Option<usize>,
}

impl ReportLayout {
    /// Reads the metrics of a load report; `None` if it has no values. A metric that is missing, negative or not finite
    /// is `None`.
    pub fn read(&self, values: &[f32]) -> Option<LoadReport> {
        let value = |index: Option<usize>| index.and_then(|index| values.get(index));
        let metric = |index| {
            value(index)
                .map(|value| f64::from(*value))
                .filter(|value| value.is_finite() && *value >= 0.0)
        };
        (!values.is_empty()).then(|| LoadReport {
            in_flight: metric(self.in_flight),
            link: metric(self.link),
        })
    }
}

/// Names for the indexes that the simulator's protocol uses. The socket protocols carry these names instead.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Request classes, by index.
    pub classes: Vec<String>,
    /// Zones, by index.
    pub zones: Vec<String>,
    /// Kinds of endpoints, by index.
    pub kinds: Vec<String>,
    /// Fields of a load report, by position.
    pub report: Vec<String>,
}

/// Limits on connections and requests.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Idle time after which cache nodes close a connection.
    pub idle_timeout: Micros,
    /// Maximum number of concurrent attempts on one connection.
    pub streams_per_connection: usize,
    /// Time after the announcement of a purge in which attempts decided before the purge may still be sent.
    pub purge_grace: Micros,
    /// Maximum number of pending requests of one instance.
    pub max_open_requests: usize,
    /// Time that a client waits for a response over all its retries, by class.
    pub client_timeouts: Vec<Micros>,
}

/// The settings of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Input of the decision logic.
    pub settings: Settings,
    /// Positions of the metrics in a load report.
    pub layout: ReportLayout,
    /// Names of the indexes that the decision logic uses.
    pub names: Names,
    /// Limits on connections and requests.
    pub limits: Limits,
}

/// Parses the JSON text of the settings.
///
/// # Errors
/// Returns an error if the text is not JSON, or if [`read()`] rejects its value.
pub fn parse(text: &[u8]) -> Result<Deployment, SettingsError> {
    read(&serde_json::from_slice(text)?)
}

/// Reads the settings from a JSON value.
///
/// # Errors
/// Returns an error if the value is not an object, or one with all invalid values.
pub fn read(settings: &Value) -> Result<Deployment, SettingsError> {
    if !settings.is_object() {
        return Err(SettingsError::NotAnObject);
    }
    let faults = check::faults(settings);
    if !faults.is_empty() {
        return Err(SettingsError::Invalid(faults));
    }
    Ok(read::deployment(settings))
}
