use super::*;

fn request(fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut payload = vec![fields.len() as u8];
    fields
        .iter()
        .for_each(|(name, value)| payload.extend(&field(name, value)[1..]));
    frame(10, 7, &payload, body.into())
        .head
        .into_iter()
        .chain(body.iter().copied())
        .collect()
}

#[test]
fn a_request_is_read_once_its_last_byte_is_there() {
    let fields = [
        ("verb", "page-bits"),
        ("txn", "9b1f03aa5c7e2d41"),
        ("limit", "1500"),
        ("item", "7F3a9c21e0b4d655"),
        ("part", "3"),
        ("group", "17"),
        ("ram", "412.5"),
        ("have", "4be0c1927d55a6f3"),
        ("unique", "09c73d25ce9e55c8f6f6fd00cb6a8bae"),
        ("odd", "x"),
    ];
    let whole = request(&fields, b"body");
    for cut in 0..whole.len() {
        assert!(decode(&whole[..cut]).unwrap().is_none(), "cut at {cut}");
    }
    let Some((Message::Request(7, payload), used)) = decode(&whole).unwrap() else {
        panic!()
    };
    assert_eq!(used, whole.len());
    insta::assert_debug_snapshot!(decode_request(payload));
    for cut in 0..payload.len() - 4 {
        assert!(decode_request(&payload[..cut]).is_err(), "cut at {cut}");
    }
}

#[test]
fn frames_out_of_bounds_are_unreadable_and_bad_fields_are_named() {
    for head in [[0, 0, 0, 4], [0, 4, 0, 1], [0xff; 4]] {
        assert!(decode(&head).is_err());
    }
    assert!(decode(&[0, 0, 0, 5, 99, 0, 0, 0, 1]).is_err());
    assert!(decode(&[0, 0, 0, 5, 10, 0, 0, 0, 0]).is_err());
    let bad = |name: &str, value: &str| {
        let good = [
            ("verb", "v"),
            ("txn", "9b1f03aa5c7e2d41"),
            ("limit", "5"),
            (name, value),
        ];
        decode_request(&request(&good, b"")[9..])
            .unwrap_err()
            .to_string()
    };
    let told = [
        bad("txn", "+b1f03aa5c7e2d41"),
        bad("limit", "-1"),
        bad("group", "256"),
        bad("have", "a,b"),
    ];
    // It would become fields of its own towards a node.
    assert_eq!(bad("unique", "a,from=s-00000001"), "unique is no bare key");
    // The standard library would take a sign; members would not read a tag or a body of any length.
    for (name, value) in [
        ("part", "+1"),
        ("limit", ""),
        ("part", "4294967296"),
        ("have", &"a".repeat(65)),
    ] {
        bad(name, value);
    }
    for (name, value) in [
        ("ram", ""),
        ("ram", "."),
        ("ram", "1e9"),
        ("ram", "inf"),
        ("ram", "-1"),
        ("ram", "1000000000.5"),
    ] {
        bad(name, value);
    }
    let good = [("verb", "v"), ("txn", "9b1f03aa5c7e2d41"), ("limit", "5")];
    assert!(decode_request(&request(&good, &[7; 48_000])[9..]).is_ok());
    assert!(decode_request(&request(&good, &[7; 48_001])[9..]).is_err());
    insta::assert_debug_snapshot!(told);
}
