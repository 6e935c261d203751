//! Concurrency limit of an endpoint or of the link into the zone: how many requests this front may have in flight.
//!
//! The limit grows while responses arrive in time and is cut when they are late or rejected, like the congestion
//! window of a transport protocol. This prevents congestion collapse, where all responses arrive too late.
use super::units::{indicator, EWMA_WEIGHT, MILLISECOND};
use crate::api::{Micros, Timestamp};

/// Initial limit of all fronts together, as a multiple of the full capacity of the endpoint or link.
pub(crate) const INITIAL_LIMIT_FACTOR: f64 = 3.0;
/// Lower bound of the limit of one front, unless its quota of the full capacity is smaller.
pub(crate) const MIN_LIMIT: f64 = 2.0;
/// Slots by which the limits of all fronts together grow per round, i.e. per as many in-time responses as the limit.
pub(crate) const GROWTH_SLOTS_PER_ROUND: f64 = 4.0;
/// Lower bound of the growth of a limit per round, as a fraction of this front's quota.
const MIN_GROWTH_FRACTION: f64 = 0.05;
/// Factor by which congestion cuts a limit, at most once per `CUT_INTERVAL`.
const CUT_FACTOR: f64 = 0.85;
const CUT_INTERVAL: Micros = 300 * MILLISECOND;
/// Ratio of late responses from which an endpoint is congested.
const CONGESTION_LATE_RATIO: f64 = 0.1;

/// What a response indicates about the load of the endpoint or link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadSignal {
    InTime,
    /// The response was late. The limit is not cut below the full quota for this alone, since response sizes vary and
    /// may be unknown.
    Late,
    /// A rejection or a load report showed overload.
    Overloaded,
}

impl LoadSignal {
    pub fn from_timeliness(in_time: bool) -> Self {
        if in_time {
            LoadSignal::InTime
        } else {
            LoadSignal::Late
        }
    }
}

/// Use of the fractional part of a limit: one more request is admitted for that fraction of the time.
#[derive(Clone, Debug, Default)]
struct FractionalSlot {
    taken_at: Timestamp,
    /// Minimum time between two uses of the fractional part.
    interval: Micros,
}

/// Requests that this front has in flight at an endpoint or on the link, and their limit.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    pub in_flight: u32,
    pub limit: f64,
    /// Lower bound of the limit.
    pub min_limit: f64,
    /// This front's quota of the full capacity; 0 if unknown.
    pub full_quota: f64,
    cut_at: Option<Timestamp>,
    /// Moving average of the ratio of late responses.
    late_ratio: f64,
    /// Moving average of the time that a request is in flight, in microseconds.
    service_time_us: f64,
    fractional_slot: FractionalSlot,
}

impl ConcurrencyLimit {
    /// Creates the limit of an endpoint of which this front's quota is `full_quota`, with `in_flight` requests already
    /// there.
    pub fn for_endpoint(full_quota: f64, in_flight: u32, service_time_us: f64) -> Self {
        ConcurrencyLimit {
            in_flight,
            limit: INITIAL_LIMIT_FACTOR * full_quota,
            min_limit: MIN_LIMIT.min(full_quota),
            service_time_us,
            full_quota,
            ..ConcurrencyLimit::default()
        }
    }

    /// Whether one more request may be in flight.
    pub fn has_capacity(&self, now: Timestamp) -> bool {
        self.has_scaled_capacity(now, 1.0)
    }

    /// Whether one more request may be in flight under a limit multiplied by `factor`.
    pub fn has_scaled_capacity(&self, now: Timestamp, factor: f64) -> bool {
        let in_flight = f64::from(self.in_flight);
        let limit = self.limit * factor;
        let interval = (self.fractional_slot.interval as f64 / factor) as Micros;
        let next_slot_at = self.fractional_slot.taken_at.saturating_add(interval);
        in_flight + 1.0 <= limit || (in_flight < limit && now >= next_slot_at)
    }

    /// Whether the requests in flight reach `multiple` times the limit.
    pub fn reaches(&self, multiple: f64) -> bool {
        f64::from(self.in_flight) >= self.limit * multiple
    }

    pub fn is_uncongested(&self) -> bool {
        self.late_ratio < CONGESTION_LATE_RATIO
    }

    pub fn late_ratio(&self) -> f64 {
        self.late_ratio
    }

    /// Whether the limit has ever been cut.
    pub fn was_cut(&self) -> bool {
        self.cut_at.is_some()
    }

    /// Takes a slot. If it was the fractional slot, returns the time until that is available again.
    pub fn acquire(&mut self, now: Timestamp) -> Option<Micros> {
        let fraction = self.limit - f64::from(self.in_flight);
        self.in_flight += 1;
        (0.0 < fraction && fraction < 1.0).then(|| {
            let interval = (self.service_time_us / fraction) as Micros;
            self.fractional_slot = FractionalSlot {
                taken_at: now,
                interval,
            };
            interval
        })
    }

    /// Returns a slot that was taken for `duration`.
    pub fn release(&mut self, duration: Micros) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.service_time_us += (duration as f64 - self.service_time_us) * EWMA_WEIGHT;
    }

    /// Grows or cuts the limit after a response; `growth` is the number of slots that it grows per round.
    pub fn adapt(&mut self, now: Timestamp, signal: LoadSignal, growth: f64) {
        let late = indicator(signal != LoadSignal::InTime);
        self.late_ratio += (late - self.late_ratio) * EWMA_WEIGHT;
        match signal {
            LoadSignal::InTime => self.grow(growth),
            LoadSignal::Late if self.is_uncongested() => {}
            LoadSignal::Late => self.cut(now, self.min_limit.max(self.full_quota)),
            LoadSignal::Overloaded => self.cut(now, self.min_limit),
        }
    }

    /// Grows the limit if at least half of it is in use.
    fn grow(&mut self, growth: f64) {
        if f64::from(self.in_flight + 1) > self.limit / 2.0 {
            self.limit += growth.max(MIN_GROWTH_FRACTION * self.full_quota) / self.limit;
        }
    }

    fn cut(&mut self, now: Timestamp, min_limit: f64) {
        if now < self.cut_at.unwrap_or(0) + CUT_INTERVAL {
            return;
        }
        let in_use = self.limit.min(f64::from(self.in_flight + 1));
        self.limit = (in_use * CUT_FACTOR).max(min_limit);
        self.cut_at = Some(now);
    }
}
