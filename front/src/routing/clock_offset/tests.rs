use super::*;

const SECOND: Micros = 1_000_000;

#[test]
fn a_converted_timestamp_is_never_too_early() {
    // Timestamps start at 1,000 s. Messages are delayed by 40 to 240 ms, and by up to 8 s more after an outage.
    for clock in [
        0,
        9 * SECOND as i64,
        -9 * SECOND as i64,
        3_600 * SECOND as i64,
        450_000,
    ] {
        let mut clock_offset = ClockOffset::default();
        let local = |at: Timestamp| at.saturating_add_signed(clock);
        for n in 0..4_000u64 {
            let (at, extra_delay) = (
                1_000 * SECOND + n * SECOND,
                if n % 500 < 8 {
                    8 * SECOND - n % 500 * SECOND
                } else {
                    0
                },
            );
            let delay = 40_000 + n * 7_919 % 200_000 + extra_delay;
            clock_offset.observe(local(at + delay), at);
            let converted = clock_offset.to_local(at);
            assert!(
                converted >= local(at),
                "clock {clock}, purge {n}: converted timestamp is too early"
            );
            assert!(
                converted <= local(at + delay),
                "clock {clock}, purge {n}: converted timestamp is later than its arrival"
            );
            if n > 200 {
                assert!(
                    converted <= local(at + 100_000),
                    "clock {clock}, purge {n}: {}",
                    converted - local(at)
                );
            }
        }
    }
}

#[test]
fn drift_is_tracked_and_the_offset_survives_a_long_silence() {
    let mut clock_offset = ClockOffset::default();
    for n in 0..3_000u64 {
        // The local clock is 1 % fast and a message arrives each second: the error is at most the drift of two windows.
        let (now, at) = (
            1_000 * SECOND + n * SECOND + n * 10_000,
            1_000 * SECOND + n * SECOND,
        );
        clock_offset.observe(now, at);
        let error_s = (now - clock_offset.to_local(at)) as f64 / 1e6;
        assert!(error_s <= 1.3, "{error_s} s at {n}");
    }
    let before = clock_offset.max_ahead();
    clock_offset.observe(5_000 * SECOND, 4_960 * SECOND);
    assert!(
        (before..before + 1_300_000).contains(&clock_offset.max_ahead()),
        "{before} {}",
        clock_offset.max_ahead()
    );
}

#[test]
fn a_clock_that_is_behind_is_detected_from_the_least_delay() {
    let mut clock_offset = ClockOffset::default();
    assert_eq!(clock_offset.behind_ms(), 0, "nothing was observed");
    clock_offset.observe(10_000_000, 9_900_000);
    assert_eq!(
        clock_offset.behind_ms(),
        0,
        "a delayed message, or a clock that is ahead"
    );
    clock_offset.observe(10_000_000, 3_610_000_000 - 200_000);
    assert_eq!(clock_offset.behind_ms(), 3_599_800);
}
