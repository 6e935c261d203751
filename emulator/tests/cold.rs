//! What must hold for any seed, and how growth looks.
use cranesill_emulator::{handshakes, Cold, Held, Outage, Use, Way, S};

const BUDGET: Way = Way::Budget {
    per_s: 10,
    most: 5_500_000,
};

#[test]
fn a_thousand_seeds_keep_the_budget_and_are_all_served_within_the_bound() {
    for seed in 0..1_000 {
        let outage = Outage {
            fronts: 40,
            back: 20 * S,
            room: 1_000,
            seed,
        };
        let found = outage.play(BUDGET);
        assert!(
            found.calls_a_second <= 12.0 && found.worst_second <= 20,
            "seed {seed}: {found:?}"
        );
        assert!(found.worst_100_ms <= 12, "seed {seed}: {found:?}");
        assert!(
            found.all_served_s.is_some_and(|s| s <= 6.5),
            "seed {seed}: {found:?}"
        );
    }
}

#[test]
fn a_service_with_room_for_few_is_kept_down_without_a_budget_and_not_with_one() {
    let outage = Outage {
        fronts: 3_000,
        back: 10 * S,
        room: 100,
        seed: 1,
    };
    let (without, with) = (
        outage.play(Way::NoBudget),
        outage.play(Way::Budget {
            per_s: 50,
            most: 60 * S,
        }),
    );
    assert!(
        without.in_vain > 10_000 && without.all_served_s.is_none(),
        "{without:?}"
    );
    assert!(
        with.all_served_s.is_some_and(|s| s < 90.0) && with.in_vain < 600,
        "{with:?}"
    );
    // Doubling in step is no way out: all come at the same moments.
    let step = outage.play(Way::Doubling { most: 60 * S });
    assert!(step.in_vain > 10 * with.in_vain.max(1), "{step:?}");
}

#[test]
fn connections_to_one_node_follow_the_budget_and_not_the_fleet() {
    for fronts in [100, 300, 1_000] {
        let ramp = handshakes(fronts, 200, 100.0, Use::Ramp { per_s: 20 }, 1);
        let demand = handshakes(fronts, 200, 100.0, Use::OnDemand, 1);
        // Those that each front uses at once come on top: two of two hundred.
        let early = fronts as usize / 100 * 3 + 8;
        assert!(ramp.worst_second <= 20 + early, "{fronts}: {ramp:?}");
        assert!(
            demand.worst_second >= fronts as usize / 4,
            "{fronts}: {demand:?}"
        );
    }
}

#[test]
fn all_fronts_and_all_nodes_cold_at_one_moment_push_nobody_over_and_serve_on_whatever_the_fleet() {
    let play = |fronts: u32, seed: u64, held: Held| {
        Cold {
            fronts,
            caches: 8,
            load: 0.6,
            seconds: 20,
            seed,
        }
        .play(held)
    };
    for seed in 0..12 {
        let fronts = [8, 40, 150][seed as usize % 3];
        let found = play(fronts, seed, Held::Shares);
        assert!(
            found.fell == 0 && found.worst_load < 0.75,
            "seed {seed}, {fronts} fronts: {found:?}"
        );
        assert!(
            found.served_last > 0.99 && found.attempts < 1.2,
            "seed {seed}, {fronts} fronts: {found:?}"
        );
        assert!(
            found.served_first > 0.6,
            "seed {seed}, {fronts} fronts: {found:?}"
        );
    }
    // What was not taken: the guard is found to be gone.
    let (alone, warm) = (play(400, 1, Held::Alone), play(400, 1, Held::Not));
    let shares = play(400, 1, Held::Shares);
    assert!(
        alone.worst_load > 1.5 * shares.worst_load
            && alone.served_first < shares.served_first / 2.0,
        "{alone:?}"
    );
    assert!(
        warm.worst_load > 1.5 * shares.worst_load && warm.served_first < shares.served_first / 2.0,
        "{warm:?}"
    );
}
