//! Two events that cross, each crossing forced: a scripted peer holds a byte, an answer or an end back until the other event
//! is seen to have happened, or the front is stopped while both come. `docs/design/races.md` lists the pairs.
mod common;
use common::*;

#[test]
fn a_copy_is_called_current_only_by_a_node_that_names_the_clients_own() {
    let stage = Stage::new(|_| {});
    let mut client = stage.client();
    // It holds another copy than the one that is named; it holds none; it writes.
    for (n, class, fields) in
        [(1, "page-bits", &[("have", "aaaa")][..]), (2, "page-bits", &[]), (3, "book-car", &[])]
    {
        client.ask(n, class, "5000", fields, b"");
        let (_, mut first) = any_link(&stage);
        let fetch = first.hear().unwrap();
        first.say(&fetch[1], "VALID", "-", "");
        if class == "page-bits" {
            let (_, mut other) = any_link(&stage);
            let fetch = other.hear().unwrap();
            other.say(&fetch[1], "HIT", "-", "whole");
            assert!(client.hear().unwrap().ends_with("whole"));
        } else {
            // It may have run: nobody is told that it did.
            assert!(client.hear().unwrap().starts_with("type 11 stream 3: \\x03"));
        }
    }
}

#[test]
fn the_key_of_a_request_is_passed_on_with_each_of_its_attempts() {
    let stage = Stage::new(|config| {
        let class = &mut config["settings"]["classes"][2];
        class["semantics"] = "token".into();
        class["group"] = "all".into();
    });
    let mut client = stage.client();
    client.ask(1, "book-car", "3000", &[("unique", "09c73d25ce9e55c8f6f6fd00cb6a8bae")], b"keys");
    let named = |fetch: &[String]| fetch[2].split(',').any(|f| f == "nonce=09c73d25ce9e55c8f6f6fd00cb6a8bae");
    let mut origin = link(&stage.origin);
    let first = origin.hear().unwrap();
    drop(origin);
    let mut origin = link(&stage.origin);
    let second = origin.hear().unwrap();
    assert!(named(&first) && named(&second), "{first:?} {second:?}");
    origin.say(&second[1], "HIT", "-", "booked");
    assert!(client.hear().unwrap().ends_with("booked"));
}
