use super::*;

const LIMIT: usize = 4_000;

/// Adds bodies of one client until the next is not admitted, and returns their bytes.
fn fill(memory: &mut BodyMemory, client: usize, bytes: usize) -> usize {
    let mut occupied = 0;
    while memory.admits(client, bytes, LIMIT) {
        memory.charge(client, bytes);
        occupied += bytes;
    }
    occupied
}

#[test]
fn a_client_leaves_as_much_memory_free_as_its_bodies_occupy() {
    let mut memory = BodyMemory::default();
    assert_eq!(fill(&mut memory, 1, 100), LIMIT / 2);
    assert_eq!(fill(&mut memory, 2, 100), LIMIT / 4);
    // A client that has no body yet may take what is free.
    assert!(memory.admits(3, LIMIT / 4, LIMIT));
    assert!(!memory.admits(3, LIMIT / 4 + 1, LIMIT));
}

#[test]
fn requests_without_a_body_are_admitted_even_if_the_memory_is_full() {
    let mut memory = BodyMemory::default();
    memory.charge(1, LIMIT + 1);
    assert!(memory.admits(1, 0, LIMIT) && memory.admits(2, 0, LIMIT));
    assert!(!memory.admits(2, 1, LIMIT));
}

#[test]
fn all_memory_is_released_in_any_order() {
    let mut memory = BodyMemory::default();
    let bodies = [(1, 30), (2, 0), (1, 50), (3, 7), (2, 11)];
    for (client, bytes) in bodies {
        memory.charge(client, bytes);
    }
    assert_eq!(memory.total(), 98);
    for (client, bytes) in [(2, 11), (1, 30), (3, 7), (1, 50), (2, 0)] {
        memory.release(client, bytes);
    }
    assert_eq!(memory.total(), 0);
    assert!(memory.by_client.is_empty());
}
