use super::*;

#[test]
fn long_term_use_is_limited_to_the_share_plus_one_burst() {
    let mut share = CpuShare::new(0, 25);
    let (mut now, mut used, mut rng) = (0, 0u64, 9u64);
    while now < 20_000_000 {
        rng = rng
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        let cost = 50 + (rng >> 33) % 3_000;
        if share.may_start(now) {
            share.charge(cost);
            used += cost;
            now += cost;
        } else {
            assert!(
                share.next_start() > now,
                "the returned timestamp must be in the future"
            );
            now = share.next_start();
            assert!(
                share.may_start(now),
                "work may start at the returned timestamp"
            );
        }
    }
    // The bound is the burst, the share of 20 s, and one unit of work that overdraws the balance.
    assert!(used <= BURST_WINDOW / 4 + 20_000_000 / 4 + 3_050, "{used}");
    assert!(
        used >= 20_000_000 / 4 - 3_050,
        "the share can be used completely: {used}"
    );
}

#[test]
fn idle_time_accrues_at_most_one_burst() {
    let mut share = CpuShare::new(0, 50);
    assert!(share.may_start(3_600_000_000));
    share.charge(BURST_WINDOW / 2 + 1);
    assert!(!share.may_start(3_600_000_000));
    share.set_percent(3_600_000_000, 100);
    assert!(
        !share.may_start(3_600_000_000),
        "a negative balance is kept when the percentage changes"
    );
    assert!(share.may_start(3_600_000_002));
}
