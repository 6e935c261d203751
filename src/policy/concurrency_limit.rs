//! Concurrency limit of an endpoint or of the link into the zone: how many requests this front may have in flight.
//!
//! The limit grows while answers come in time and is cut when they come late or are rejected, like the window of a
//! transport protocol. Guards against a jam in which all answers come too late.
use super::units::{indicator, EWMA_WEIGHT, MILLISECOND};
use crate::api::{Micros, Timestamp};

/// Requests that all fronts may have in flight at first, over the full capacity of an endpoint or link.
pub(crate) const INITIAL_LIMIT_FACTOR: f64 = 3.0;
/// Requests that one front may always have in flight, unless its share of the full capacity is less.
pub(crate) const MIN_LIMIT: f64 = 2.0;
/// Slots by which the limits of all fronts together grow in a round of answers in time.
pub(crate) const GROWTH_SLOTS_PER_ROUND: f64 = 4.0;
/// Share of the full capacity by which a limit grows at least in such a round.
const MIN_GROWTH_FRACTION: f64 = 0.05;
/// Factor by which a jam cuts a limit, at most once in `CUT_INTERVAL`.
const CUT_FACTOR: f64 = 0.85;
const CUT_INTERVAL: Micros = 300 * MILLISECOND;
/// Ratio of late answers up to which an endpoint is calm.
const CONGESTION_LATE_RATIO: f64 = 0.1;

/// What an answer says about the load of the endpoint or link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadSignal {
    /// It came in time.
    InTime,
    /// It came late. Sizes vary and are not always known, so this alone leaves the full share.
    Late,
    /// A rejection or a load report: a sure sign of too much load.
    Overloaded,
}

impl LoadSignal {
    /// In time, or late.
    pub fn from_timeliness(in_time: bool) -> Self {
        if in_time {
            LoadSignal::InTime
        } else {
            LoadSignal::Late
        }
    }
}

/// The fraction of a limit is kept to by turns: one more request may be in flight for that share of the time.
#[derive(Clone, Debug, Default)]
struct FractionalSlot {
    taken_at: Timestamp,
    /// The next turn may start this long after the last one.
    interval: Micros,
}

/// Requests that this front has in flight somewhere, and how many it may have.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    pub in_flight: u32,
    pub limit: f64,
    /// The limit is never cut below this.
    pub min_limit: f64,
    /// This front's share of the full capacity; 0 when that is not known.
    pub full_quota: f64,
    cut_at: Option<Timestamp>,
    /// Moving average of the ratio of late answers.
    late_ratio: f64,
    /// Moving average of the time that a request is in flight, in microseconds.
    service_time_us: f64,
    fractional_slot: FractionalSlot,
}

impl ConcurrencyLimit {
    /// A limit for an endpoint of which this front has `full_quota`, with requests `in_flight` from before.
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

    /// The same under a limit that is larger by this factor: turns come as much sooner.
    pub fn has_scaled_capacity(&self, now: Timestamp, factor: f64) -> bool {
        let in_flight = f64::from(self.in_flight);
        let limit = self.limit * factor;
        let interval = (self.fractional_slot.interval as f64 / factor) as Micros;
        let next_slot_at = self.fractional_slot.taken_at.saturating_add(interval);
        in_flight + 1.0 <= limit || (in_flight < limit && now >= next_slot_at)
    }

    /// Whether this multiple of the limit is in flight.
    pub fn exceeds(&self, multiple: f64) -> bool {
        f64::from(self.in_flight) >= self.limit * multiple
    }

    /// Whether few answers are late.
    pub fn is_uncongested(&self) -> bool {
        self.late_ratio < CONGESTION_LATE_RATIO
    }

    /// Moving average of the ratio of late answers.
    pub fn late_ratio(&self) -> f64 {
        self.late_ratio
    }

    /// Whether the limit was ever cut.
    pub fn was_cut(&self) -> bool {
        self.cut_at.is_some()
    }

    /// Takes a slot, and returns how long the next turn is away if this one was a turn.
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

    /// Gives a slot back that was taken for this long.
    pub fn release(&mut self, duration: Micros) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.service_time_us += (duration as f64 - self.service_time_us) * EWMA_WEIGHT;
    }

    /// Grows or cuts the limit after an answer; `growth` is by how many slots it grows in a round of answers in time.
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

    /// Grows a limit that is in use for at least half.
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
