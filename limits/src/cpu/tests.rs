use super::*;

#[test]
fn over_any_long_span_no_more_than_the_share_and_what_was_laid_by_is_taken() {
    let mut budget = CoreTime::new(0, 25);
    let (mut now, mut taken, mut rng) = (0, 0u64, 9u64);
    while now < 20_000_000 {
        rng = rng.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let cost = 50 + (rng >> 33) % 3_000;
        if budget.may(now) {
            budget.took(cost);
            taken += cost;
            now += cost;
        } else {
            assert!(budget.next() > now, "it would be asked again and again");
            now = budget.next();
            assert!(budget.may(now), "the moment told is the one");
        }
    }
    // The burst, the share, and one piece that runs into debt.
    assert!(taken <= LAID_BY_MOST / 4 + 20_000_000 / 4 + 3_050, "{taken}");
    assert!(taken >= 20_000_000 / 4 - 3_050, "what it may take it gets: {taken}");
}

#[test]
fn rest_lays_by_no_more_than_a_burst() {
    let mut budget = CoreTime::new(0, 50);
    assert!(budget.may(3_600_000_000));
    budget.took(LAID_BY_MOST / 2 + 1);
    assert!(!budget.may(3_600_000_000));
    budget.set(3_600_000_000, 100);
    assert!(!budget.may(3_600_000_000), "a debt outlives a new share");
    assert!(budget.may(3_600_000_002));
}
