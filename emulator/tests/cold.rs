//! Bounds on the load of the list service and the nodes during a start of the whole fleet.
use cranesill_emulator::{
    simulate_connections, CallPolicy, ColdFleet, ConnectPolicy, Outage, SlowStartPolicy, SECOND,
};

const BUDGET: CallPolicy = CallPolicy::Budget {
    calls_per_s: 10,
    max_wait: 5_500_000,
};

#[test]
fn calls_stay_within_the_budget_and_all_fronts_are_served_within_the_bound_for_1000_seeds() {
    for seed in 0..1_000 {
        let outage = Outage {
            fronts: 40,
            restored_at: 20 * SECOND,
            capacity_per_s: 1_000,
            seed,
        };
        let found = outage.simulate(BUDGET);
        assert!(
            found.calls_per_s <= 12.0 && found.worst_second <= 20,
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
fn a_call_budget_lets_a_service_with_little_capacity_recover() {
    let outage = Outage {
        fronts: 3_000,
        restored_at: 10 * SECOND,
        capacity_per_s: 100,
        seed: 1,
    };
    let (without, with) = (
        outage.simulate(CallPolicy::NoBudget),
        outage.simulate(CallPolicy::Budget {
            calls_per_s: 50,
            max_wait: 60 * SECOND,
        }),
    );
    assert!(
        without.wasted_calls > 10_000 && without.all_served_s.is_none(),
        "{without:?}"
    );
    assert!(
        with.all_served_s.is_some_and(|s| s < 90.0) && with.wasted_calls < 600,
        "{with:?}"
    );
    // With exponential backoff without jitter the calls arrive in bursts.
    let backoff = outage.simulate(CallPolicy::Backoff {
        max_wait: 60 * SECOND,
    });
    assert!(
        backoff.wasted_calls > 10 * with.wasted_calls.max(1),
        "{backoff:?}"
    );
}

#[test]
fn connections_per_second_to_one_node_do_not_grow_with_the_fleet() {
    for fronts in [100, 300, 1_000] {
        let ramp = simulate_connections(
            fronts,
            200,
            100.0,
            ConnectPolicy::SlowStart {
                connections_per_s: 20,
            },
            1,
        );
        let demand = simulate_connections(fronts, 200, 100.0, ConnectPolicy::OnDemand, 1);
        // Each front connects to two of the 200 nodes immediately, outside of the ramp.
        let early = fronts as usize / 100 * 3 + 8;
        assert!(ramp.worst_second <= 20 + early, "{fronts}: {ramp:?}");
        assert!(
            demand.worst_second >= fronts as usize / 4,
            "{fronts}: {demand:?}"
        );
    }
}

#[test]
fn a_cold_start_of_all_fronts_and_nodes_overloads_no_node_and_serves_clients_for_any_fleet_size() {
    let simulate = |fronts: u32, seed: u64, policy: SlowStartPolicy| {
        ColdFleet {
            fronts,
            caches: 8,
            load: 0.6,
            seconds: 20,
            seed,
        }
        .simulate(policy)
    };
    for seed in 0..12 {
        let fronts = [8, 40, 150][seed as usize % 3];
        let found = simulate(fronts, seed, SlowStartPolicy::FleetShare);
        assert!(
            found.failed_nodes == 0 && found.worst_load < 0.75,
            "seed {seed}, {fronts} fronts: {found:?}"
        );
        assert!(
            found.served_last > 0.99 && found.attempts_per_request < 1.2,
            "seed {seed}, {fronts} fronts: {found:?}"
        );
        assert!(
            found.served_first > 0.6,
            "seed {seed}, {fronts} fronts: {found:?}"
        );
    }
    // The test detects that the slow start is missing or ignores the size of the fleet.
    let (alone, warm) = (
        simulate(400, 1, SlowStartPolicy::PerFront),
        simulate(400, 1, SlowStartPolicy::Disabled),
    );
    let shares = simulate(400, 1, SlowStartPolicy::FleetShare);
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
