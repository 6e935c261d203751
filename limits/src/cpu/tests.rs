use super::*;

#[test]
fn over_a_long_time_no_more_than_the_share_and_the_savings_are_used() {
    let mut share = CpuShare::new(0, 25);
    let (mut now, mut taken, mut rng) = (0, 0u64, 9u64);
    while now < 20_000_000 {
        rng = rng
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        let cost = 50 + (rng >> 33) % 3_000;
        if share.may_start(now) {
            share.charge(cost);
            taken += cost;
            now += cost;
        } else {
            assert!(share.next_start() > now, "the caller would spin");
            now = share.next_start();
            assert!(
                share.may_start(now),
                "work may start at the returned timestamp"
            );
        }
    }
    // The burst, the share, and one piece that overdraws the balance.
    assert!(taken <= MAX_SAVED / 4 + 20_000_000 / 4 + 3_050, "{taken}");
    assert!(
        taken >= 20_000_000 / 4 - 3_050,
        "all of the share can be used: {taken}"
    );
}

#[test]
fn idle_time_saves_no_more_than_one_burst() {
    let mut share = CpuShare::new(0, 50);
    assert!(share.may_start(3_600_000_000));
    share.charge(MAX_SAVED / 2 + 1);
    assert!(!share.may_start(3_600_000_000));
    share.set_percent(3_600_000_000, 100);
    assert!(
        !share.may_start(3_600_000_000),
        "a debt survives a new share"
    );
    assert!(share.may_start(3_600_000_002));
}
