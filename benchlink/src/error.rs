//! Errors that stop the adapter.
use crate::wire::WireError;
use cranesill_settings::SettingsError;
use thiserror::Error;

/// Error that stops the adapter.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Reading or writing failed, or the input is malformed.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The settings of an instance are invalid.
    #[error("cannot start instance {instance}: {source}")]
    Settings {
        instance: u32,
        source: SettingsError,
    },
}
