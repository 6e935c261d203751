use super::*;

#[test]
fn max_in_window_finds_the_busiest_window() {
    let history = History::default();
    let mut all = history.all.0.lock().unwrap();
    for (ms, seen) in [
        (0, Observation::Call),
        (5_000, Observation::Call),
        (5_050, Observation::Call),
        (5_080, Observation::Call),
        (9_000, Observation::SubscriptionEnded),
    ] {
        all.push((Duration::from_millis(ms), seen));
    }
    drop(all);
    let s = Duration::from_secs;
    let calls = |seen: &Observation| *seen == Observation::Call;
    assert_eq!(
        history.max_in_window(s(0), s(10), s(1) / 10, calls),
        (3, s(5))
    );
    assert_eq!(history.max_in_window(s(6), s(10), s(1), calls), (0, s(6)));
    assert_eq!(
        history.wait_for("calls", 4, calls),
        Duration::from_millis(5_080)
    );
}
