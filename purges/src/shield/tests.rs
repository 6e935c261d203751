use super::*;

#[test]
fn the_rate_is_never_exceeded_and_high_priority_requests_pass_first() {
    let mut shield = Shield::new(0, 100.0);
    let (mut high, mut low) = (0, 0);
    for step in 0..100_000u64 {
        // 10 s of requests: 1,000 per second at the lowest priority and 100 per second at the highest.
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
        "nearly all requests of the highest priority pass: {high} {low}"
    );
}

#[test]
fn a_request_passes_after_its_retry_after() {
    let mut shield = Shield::new(0, 10.0);
    while shield.try_pass(0, 0.0) {}
    let wait = shield.retry_after(0.0);
    assert!(wait > 0 && !shield.try_pass(wait / 2, 0.0));
    let wait = wait / 2 + shield.retry_after(0.0);
    assert!(shield.try_pass(wait, 0.0));
}
