use super::*;

const IDLE: Micros = 1_000;

fn connection_set(max_endpoints: usize) -> ConnectionSet {
    let mut connections = ConnectionSet::default();
    connections.set_limits(max_endpoints, IDLE);
    connections
}

#[test]
fn set_is_full_at_the_maximum_number_of_caches() {
    let mut connections = connection_set(2);
    connections.record_send(0, 7);
    connections.record_send(10, 7);
    assert!(!connections.is_full());
    connections.record_send(20, 9);
    assert!(connections.is_full());
    assert_eq!(connections.endpoints().collect::<Vec<_>>(), [7, 9]);
    // The connection to cache 7 reaches its idle timeout.
    connections.expire(10 + IDLE - 1);
    assert!(connections.is_full());
    connections.expire(10 + IDLE);
    assert!(!connections.is_full());
    assert_eq!(connections.endpoints().collect::<Vec<_>>(), [9]);
}

#[test]
fn removing_a_cache_frees_a_place_in_the_set() {
    let mut connections = connection_set(1);
    connections.record_send(0, 3);
    assert!(connections.is_full());
    connections.remove(3);
    assert!(!connections.is_full());
}

#[test]
fn unlimited_set_is_never_full_and_stores_nothing() {
    let mut connections = connection_set(0);
    (0..1_000).for_each(|endpoint| connections.record_send(0, endpoint));
    assert!(!connections.is_full());
    assert_eq!(connections.endpoints().count(), 0);
}

#[test]
fn quota_grows_when_fronts_use_a_subset_of_the_caches() {
    let mut connections = connection_set(4);
    (0..3).for_each(|endpoint| connections.record_send(0, endpoint));
    assert_eq!(connections.quota_factor(0, 100), 1.0);
    connections.record_send(0, 3);
    assert_eq!(connections.quota_factor(0, 100), 25.0);
    assert_eq!(connections.quota_factor(9, 100), 1.0);
    assert_eq!(connections.quota_factor(0, 2), 1.0);
}
