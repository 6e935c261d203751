use super::*;

/// The expected order, computed by a full sort.
fn sorted(key: u64, endpoints: &[(u64, f64)]) -> Vec<usize> {
    let mut all: Vec<_> = endpoints
        .iter()
        .enumerate()
        .map(|(at, (id, weight))| (rendezvous(key, *id, *weight), *id, at))
        .collect();
    all.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
    all.into_iter().map(|(_, _, at)| at).collect()
}

fn ranking(endpoints: &[(u64, f64)]) -> Ranking {
    let mut ranking = Ranking::default();
    endpoints
        .iter()
        .enumerate()
        .for_each(|(at, (id, weight))| ranking.insert(EndpointId(*id), *weight, at));
    ranking
}

fn walked(ranking: &mut Ranking, key: u64) -> Vec<usize> {
    let mut order = ranking.order(key);
    (0..)
        .map_while(|position| order.get(ranking, position))
        .collect()
}

#[test]
fn order_equals_a_full_sort_for_any_endpoint_count_and_weights() {
    let weights: [fn(u64) -> f64; 3] = [|_| 8.0, |n| (1 + n % 3) as f64, |n| 0.1 + n as f64 * 0.37];
    for weight in weights {
        for count in [0, 1, 2, 15, 16, 17, 63, 64, 200, 900] {
            let endpoints: Vec<_> = (0..count).map(|n| (0x101 + n, weight(n))).collect();
            let mut ranking = ranking(&endpoints);
            for object in 0..20 {
                let key = crate::policy::rendezvous_hash::mix(object, count);
                assert_eq!(
                    walked(&mut ranking, key),
                    sorted(key, &endpoints),
                    "{count} endpoints, {object}"
                );
            }
        }
    }
}

#[test]
fn cached_orders_are_invalidated_by_a_change_of_endpoints() {
    let mut endpoints: Vec<_> = (0..40).map(|n| (n, 2.0)).collect();
    let mut ranking = ranking(&endpoints);
    let first = walked(&mut ranking, 7);
    assert_eq!(walked(&mut ranking, 7), first);
    let (id, weight) = endpoints[first[0]];
    ranking.remove(EndpointId(id), weight);
    assert_eq!(walked(&mut ranking, 7), first[1..]);
    endpoints.push((99, 5.0));
    ranking.insert(EndpointId(id), weight, first[0]);
    ranking.insert(EndpointId(99), 5.0, 40);
    assert_eq!(walked(&mut ranking, 7), sorted(7, &endpoints));
    assert_eq!(ranking.weight(), 85.0);
}

#[test]
fn order_cache_is_bounded() {
    let mut ranking = ranking(&[(1, 1.0), (2, 1.0)]);
    (0..10_000).for_each(|key| drop(ranking.order(key)));
    assert!(ranking.cache.current.len() + ranking.cache.previous.len() <= 2 * MAX_CACHED_ORDERS);
}
