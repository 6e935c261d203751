use super::*;

#[test]
fn shares_follow_weights_and_removal_moves_only_objects_of_the_removed_endpoint() {
    let endpoints = [(11u64, 1.0), (12, 2.0), (13, 1.0)];
    let best = |object: u64, among: &[(u64, f64)]| {
        let score = |m: &(u64, f64)| rendezvous(object, m.0, m.1);
        among
            .iter()
            .max_by(|a, b| score(a).total_cmp(&score(b)))
            .unwrap()
            .0
    };
    let mut won = [0u32; 3];
    for object in 0..8000 {
        let winner = best(object, &endpoints);
        won[(winner - 11) as usize] += 1;
        if winner != 13 {
            assert_eq!(best(object, &endpoints[..2]), winner);
        }
    }
    assert!(
        (1800..2200).contains(&won[0]) && (3700..4300).contains(&won[1]),
        "{won:?}"
    );
}
