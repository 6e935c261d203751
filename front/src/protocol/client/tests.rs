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
fn a_request_is_decoded_only_once_complete() {
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
        ("unknown", "x"),
    ];
    let encoded = request(&fields, b"body");
    for cut in 0..encoded.len() {
        assert!(decode(&encoded[..cut]).unwrap().is_none(), "cut at {cut}");
    }
    let Some((Message::Request(7, payload), used)) = decode(&encoded).unwrap() else {
        panic!()
    };
    assert_eq!(used, encoded.len());
    insta::assert_debug_snapshot!(decode_request(payload));
    for cut in 0..payload.len() - 4 {
        assert!(decode_request(&payload[..cut]).is_err(), "cut at {cut}");
    }
}

#[test]
fn frames_out_of_bounds_and_malformed_fields_are_rejected() {
    for head in [[0, 0, 0, 4], [0, 4, 0, 1], [0xff; 4]] {
        assert!(decode(&head).is_err());
    }
    assert!(decode(&[0, 0, 0, 5, 99, 0, 0, 0, 1]).is_err());
    assert!(decode(&[0, 0, 0, 5, 10, 0, 0, 0, 0]).is_err());
    let error_of = |name: &str, value: &str| {
        let fields = [
            ("verb", "v"),
            ("txn", "9b1f03aa5c7e2d41"),
            ("limit", "5"),
            (name, value),
        ];
        decode_request(&request(&fields, b"")[9..])
            .unwrap_err()
            .to_string()
    };
    let messages = [
        error_of("txn", "+b1f03aa5c7e2d41"),
        error_of("limit", "-1"),
        error_of("group", "256"),
        error_of("have", "a,b"),
    ];
    // A comma would inject further fields into the command to a cache node.
    assert_eq!(
        error_of("unique", "a,from=s-00000001"),
        "unique is not 1 to 64 letters and digits"
    );
    // The standard library would accept a sign; cache nodes limit the length of tags and bodies.
    for (name, value) in [
        ("part", "+1"),
        ("limit", ""),
        ("part", "4294967296"),
        ("have", &"a".repeat(65)),
    ] {
        error_of(name, value);
    }
    for (name, value) in [
        ("ram", ""),
        ("ram", "."),
        ("ram", "1e9"),
        ("ram", "inf"),
        ("ram", "-1"),
        ("ram", "1000000000.5"),
    ] {
        error_of(name, value);
    }
    let fields = [("verb", "v"), ("txn", "9b1f03aa5c7e2d41"), ("limit", "5")];
    assert!(decode_request(&request(&fields, &[7; 48_000])[9..]).is_ok());
    assert!(decode_request(&request(&fields, &[7; 48_001])[9..]).is_err());
    insta::assert_debug_snapshot!(messages);
}

// Guards against a frame that no client can read: all other requests on its connection were lost with it.
#[test]
fn a_response_that_does_not_fit_into_a_frame_is_not_encoded() {
    let served = |length: usize| Response::Served(vec![7; length].into());
    let longest = answer(7, served(MAX_ANSWER_BODY_BYTES)).unwrap();
    let length = u32::from_be_bytes(longest.head[..LENGTH_BYTES].try_into().unwrap());
    assert_eq!(length, 262_144);
    assert_eq!(
        longest.head.len() + longest.body.len(),
        LENGTH_BYTES + 262_144
    );
    for length in [MAX_ANSWER_BODY_BYTES + 1, 262_144, 300_000] {
        let error = answer(7, served(length)).unwrap_err();
        assert_eq!(error, BodyTooLong { length });
    }
}
