use super::*;

#[test]
fn over_any_span_no_more_than_the_rate_goes_past_and_what_is_worth_most_comes_first() {
    let mut shield = Shield::new(0, 100.0);
    let (mut high, mut low) = (0, 0);
    for step in 0..100_000u64 {
        // A thousand of each worth a second, for ten seconds of what would be a purge of everything.
        let now = step * 100;
        if step % 10 == 0 {
            low += u32::from(shield.try_pass(now, 0.0));
        }
        if step % 100 == 0 {
            high += u32::from(shield.try_pass(now, 1.0));
        }
    }
    assert!(high + low <= 1_100, "{high} {low}");
    assert!(
        high >= 990,
        "what is worth most gets nearly all it asks for: {high} {low}"
    );
}

#[test]
fn the_wait_told_is_enough() {
    let mut shield = Shield::new(0, 10.0);
    while shield.try_pass(0, 0.0) {}
    let wait = shield.retry_after(0.0);
    assert!(wait > 0 && !shield.try_pass(wait / 2, 0.0));
    let wait = wait / 2 + shield.retry_after(0.0);
    assert!(shield.try_pass(wait, 0.0));
}
