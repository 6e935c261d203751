use super::*;

const DAY: u64 = 86_400;
const RULE: Rule = Rule {
    renew_percent: 67,
    jitter_percent: 5,
};

#[test]
fn the_due_time_is_deterministic_and_within_the_window() {
    let validity = Validity {
        not_before: 0,
        not_after: 90 * DAY,
    };
    let window = Window {
        start: 50 * DAY,
        end: 60 * DAY,
    };
    let due_of = |id: &str, window| due(&validity, window, RULE, id);
    for i in 0..200 {
        let id = format!("n{i}.example");
        assert!((window.start..window.end).contains(&due_of(&id, Some(window))));
        assert!(
            (62 * 90 * DAY / 100..=67 * 90 * DAY / 100).contains(&due_of(&id, None)),
            "{}",
            due_of(&id, None)
        );
        assert_eq!(due_of(&id, None), due_of(&id, None));
    }
    let spread: std::collections::HashSet<_> =
        (0..200).map(|i| due_of(&i.to_string(), None)).collect();
    assert!(
        spread.len() > 190,
        "too many certificates are due at the same time"
    );
    // A window after the expiry is limited to the latest renewal time.
    let late = Window {
        start: 100 * DAY,
        end: 101 * DAY,
    };
    assert_eq!(due_of("a", Some(late)), 90 * DAY * 95 / 100);
    // Short lifetimes follow the same percentages.
    let short = Validity {
        not_before: 1_000,
        not_after: 1_000 + 6 * DAY,
    };
    let at = due(&short, None, RULE, "a") - 1_000;
    assert!((6 * DAY * 62 / 100..=6 * DAY * 67 / 100).contains(&at));
}

#[test]
fn ranks_are_unique_per_front_and_delays_are_bounded() {
    let fronts: Vec<String> = (1..=7).map(|i| format!("n{i}")).collect();
    let mut first = [0; 7];
    for name in 0..700 {
        let id = format!("x{name}.example");
        let of = |me: &String| HashRanking {
            front_name: me.clone(),
            fronts: fronts.clone(),
            takeover_delay: 3_600 * SECOND,
        };
        let mut ranks: Vec<_> = fronts.iter().map(|f| of(f).rank(&id)).collect();
        first[ranks.iter().position(|r| *r == 0).unwrap()] += 1;
        assert!(fronts
            .iter()
            .all(|f| of(f).delay(&id, 7_000) <= 3_500 * SECOND));
        assert!(fronts
            .iter()
            .all(|f| of(f).delay(&id, 0) <= 6 * FIRST_ORDER_DELAY));
        ranks.sort_unstable();
        assert_eq!(ranks, (0..7).collect::<Vec<_>>());
    }
    assert!(
        first.iter().all(|n| (50..150).contains(n)),
        "the first rank is distributed unevenly: {first:?}"
    );
    let alone = HashRanking {
        front_name: "n1".into(),
        fronts: vec![],
        takeover_delay: SECOND,
    };
    assert_eq!(alone.delay("a", 5), 0);
}
