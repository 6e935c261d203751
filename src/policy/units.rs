//! Units and constants shared by several decisions.
use crate::api::Micros;

/// Microseconds per millisecond.
pub(crate) const MILLISECOND: Micros = 1_000;
/// Microseconds per second, as a float for rates.
pub(crate) const SECOND_US: f64 = 1e6;
/// Weight of a new value in an exponentially weighted moving average.
pub(crate) const EWMA_WEIGHT: f64 = 0.05;
/// Minimum time before the deadline at which an attempt is still sent.
pub(crate) const MIN_TIME_LEFT: Micros = 5 * MILLISECOND;

/// 1 for true and 0 for false, as input to an average.
pub(crate) fn indicator(value: bool) -> f64 {
    f64::from(u8::from(value))
}
