use super::*;

#[test]
fn key_is_removed_with_its_last_occurrence() {
    let mut count = Multiset::default();
    count.add(7);
    count.add(7);
    count.remove(&7);
    assert!(count.contains(&7));
    count.remove(&7);
    count.remove(&7);
    assert!(!count.contains(&7));
}
