//! Why the adapter stops.
use crate::wire::WireError;
use cranesill_settings::SettingsError;
use thiserror::Error;

/// Why the adapter stops.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// The input or the output failed, or the input is malformed.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The settings of an instance cannot be read.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
