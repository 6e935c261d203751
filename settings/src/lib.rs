//! Reads a deployment's settings: the JSON object that an instance gets from the simulator and a front from its
//! configuration.
//!
//! Unknown keys are ignored; a missing key gets the wire's default; a value of the wrong kind or out of bounds is an
//! error that names its path.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod check;
mod error;
mod json;
mod read;

pub use error::{Problem, SettingsError, SettingsFault};

use cranesill::api::{LoadReport, Micros, Settings};
use serde_json::Value;

/// Which of the values of a load report is which figure.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportLayout {
    in_flight: Option<usize>,
    link: Option<usize>,
}

impl ReportLayout {
    /// Names the values of a report. Those that are missing, negative or not a number are left out.
    pub fn read(&self, values: &[f32]) -> Option<LoadReport> {
        let value = |index: Option<usize>| index.and_then(|index| values.get(index));
        let figure = |index| {
            value(index)
                .map(|value| f64::from(*value))
                .filter(|value| value.is_finite() && *value >= 0.0)
        };
        (!values.is_empty()).then(|| LoadReport {
            in_flight: figure(self.in_flight),
            link: figure(self.link),
        })
    }
}

/// Names that stand on sockets where the simulator's wire has numbers: each list is in the wire's order.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Request classes.
    pub classes: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of endpoints.
    pub kinds: Vec<String>,
    /// Values of a load report.
    pub report: Vec<String>,
}

/// Limits of connections and open requests.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Cache nodes close connections that were idle for this long.
    pub idle_timeout: Micros,
    /// Attempts that one connection carries at once.
    pub streams_per_connection: usize,
    /// What was decided before a purge may be sent for this long after the purge was announced.
    pub purge_grace: Micros,
    /// Requests that an instance may have open.
    pub max_open_requests: usize,
    /// How long a client waits at most, over all its retries; by class.
    pub client_timeouts: Vec<Micros>,
}

/// The settings, as far as any part of the project uses them.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// For the decisions.
    pub settings: Settings,
    /// Which of the values of a load report is which figure.
    pub layout: ReportLayout,
    /// Names for what is an index in the decisions.
    pub names: Names,
    /// For connections and open requests.
    pub limits: Limits,
}

/// Parses the JSON text of the settings.
///
/// # Errors
/// Text that is not JSON, and whatever [`read()`] rejects.
pub fn parse(text: &[u8]) -> Result<Deployment, SettingsError> {
    read(&serde_json::from_slice(text)?)
}

/// Reads settings that are parsed already.
///
/// # Errors
/// A value that is not an object, or all faults of its values.
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
