//! Units and weights that several decisions share.
use crate::api::Micros;

/// Microseconds in a millisecond.
pub(crate) const MILLISECOND: Micros = 1_000;
/// Microseconds in a second, for figures per second.
pub(crate) const SECOND_US: f64 = 1e6;
/// Weight of a new value in exponentially weighted moving averages.
pub(crate) const EWMA_WEIGHT: f64 = 0.05;
/// Less time left than this is too little to send anything.
pub(crate) const MIN_TIME_LEFT: Micros = 5 * MILLISECOND;

/// 1 for true, 0 for false, to be averaged.
pub(crate) fn indicator(value: bool) -> f64 {
    f64::from(u8::from(value))
}
