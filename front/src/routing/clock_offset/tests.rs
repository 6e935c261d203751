use super::*;

const S: Micros = 1_000_000;

#[test]
fn a_converted_timestamp_is_never_too_early_whatever_the_clock() {
    // Discovery's clock starts at 1,000 s; messages take from 40 to 240 ms, after an interruption up to 8 s.
    for clock in [0, 9 * S as i64, -9 * S as i64, 3_600 * S as i64, 450_000] {
        let mut clock_offset = ClockOffset::default();
        let here = |at: Timestamp| at.saturating_add_signed(clock);
        for n in 0..4_000u64 {
            let (at, late) = (
                1_000 * S + n * S,
                if n % 500 < 8 { 8 * S - n % 500 * S } else { 0 },
            );
            let delay = 40_000 + n * 7_919 % 200_000 + late;
            clock_offset.observe(here(at + delay), at);
            let taken = clock_offset.to_local(at);
            assert!(
                taken >= here(at),
                "clock {clock}, purge {n}: taken for older than it is"
            );
            assert!(
                taken <= here(at + delay),
                "no timestamp is later than its arrival"
            );
            if n > 200 {
                assert!(
                    taken <= here(at + 100_000),
                    "clock {clock}, purge {n}: {}",
                    taken - here(at)
                );
            }
        }
    }
}

#[test]
fn a_clock_that_drifts_is_followed_and_silence_forgets_nothing() {
    let mut clock_offset = ClockOffset::default();
    for n in 0..3_000u64 {
        // A hundredth faster, with a message each second: two windows of drift at most.
        let (now, at) = (1_000 * S + n * S + n * 10_000, 1_000 * S + n * S);
        clock_offset.observe(now, at);
        let late = (now - clock_offset.to_local(at)) as f64 / 1e6;
        assert!(late <= 1.3, "{late} s at {n}");
    }
    let before = clock_offset.max_ahead();
    clock_offset.observe(5_000 * S, 4_960 * S);
    assert!(
        (before..before + 1_300_000).contains(&clock_offset.max_ahead()),
        "{before} {}",
        clock_offset.max_ahead()
    );
}

#[test]
fn a_clock_that_is_behind_is_known_to_be_by_as_much_as_messages_show() {
    let mut clock_offset = ClockOffset::default();
    assert_eq!(clock_offset.behind_ms(), 0, "nothing was observed");
    clock_offset.observe(10_000_000, 9_900_000);
    assert_eq!(clock_offset.behind_ms(), 0, "late news, or a clock ahead");
    clock_offset.observe(10_000_000, 3_610_000_000 - 200_000);
    assert_eq!(clock_offset.behind_ms(), 3_599_800);
}
