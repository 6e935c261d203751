use super::*;
use crate::routing::{FillInstructions, ObjectKey};

#[test]
fn a_fetch_command_encodes_the_request_and_the_fill_options() {
    let transaction = TransactionId::new("9b1f03aa5c7e2d41").unwrap();
    let object = ObjectKey {
        text: "7f3a9c21e0b4d655".into(),
        id: 0,
    };
    let fill = FillInstructions {
        source: Some(EndpointId(0xc41f7a)),
        rank: 2,
        max_age: 1_500_999,
        coalesce: true,
        cached_only: false,
        revalidate: true,
    };
    let mut command = Fetch {
        transaction,
        class: "page-bits".into(),
        object: Some(object),
        part: 3,
        deadline: 1_250_000,
        write_by: Timestamp::MAX,
        fill: Some(fill),
        cached_tag: Some("4be0".into()),
        idempotency_key: Some("09c7".into()),
        write: false,
        execution: None,
        body: b"".as_slice().into(),
    };
    let encode = |command: &Fetch| {
        let out = fetch(command, 250_000);
        String::from_utf8([&out.head, &out.body[..], out.tail].concat()).unwrap()
    };
    let with_fill = encode(&command);
    (command.fill, command.cached_tag, command.body) = (None, None, b"car".as_slice().into());
    command.idempotency_key = None;
    let aborted = String::from_utf8(abort(transaction).head).unwrap();
    insta::assert_debug_snapshot!([with_fill, encode(&command), aborted]);
}

#[test]
fn a_reply_is_decoded_only_once_complete() {
    let fields = "ver=ab,born=5,tell=pulled_far,waited=12.5,meter=concurrent:7;x1:0.61;odd:x";
    let encoded = [
        &b"*4\r\n$16\r\n9b1f03aa5c7e2d41\r\n$3\r\nHIT\r\n"[..],
        format!("${}\r\n{fields}\r\n", fields.len()).as_bytes(),
        b"$6\r\n\r\n$9\r\n\r\n*",
    ]
    .concat();
    for cut in 0..encoded.len() - 1 {
        assert!(decode(&encoded[..cut]).unwrap().is_none(), "cut at {cut}");
    }
    let decoded = decode(&encoded).unwrap().unwrap();
    assert_eq!(
        (decoded.id, decoded.length),
        (&b"9b1f03aa5c7e2d41"[..], encoded.len() - 1)
    );
    insta::assert_debug_snapshot!(decoded.reply);
}

#[test]
fn malformed_replies_are_rejected_and_malformed_fields_are_dropped() {
    for input in
        // Neither an id of a thousand bytes nor a fifth string may leave the decoder waiting for more input.
        [
            &b"+OK\r\n"[..],
            b"*5\r\n",
            b"*4\r\n$-1\r\n",
            b"*4\r\n$999999999999",
            b"*4\r\n$1000\r\n",
        ]
    {
        assert!(decode(input).is_err(), "{}", String::from_utf8_lossy(input));
    }
    assert!(decode(b"*4\r\n$1\r\nabc").is_err());
    for (fields, has_identity) in [
        ("ver=a,born=5", true),
        ("ver=,born=5", false),
        ("ver=ab,born=x", false),
    ] {
        let n = fields.len();
        let encoded = format!("*4\r\n$1\r\na\r\n$3\r\nHIT\r\n${n}\r\n{fields}\r\n$0\r\n\r\n");
        let reply = decode(encoded.as_bytes()).unwrap().unwrap().reply;
        assert_eq!(
            reply.tag.is_some() && reply.created_at_ms.is_some(),
            has_identity,
            "{fields}"
        );
    }
}

// Guards against replies longer than the longest object, which do not fit into a frame to a client.
#[test]
fn a_reply_with_more_bytes_than_an_object_may_have_is_rejected_by_its_length() {
    let reply = |length: usize| {
        format!("*4\r\n$1\r\na\r\n$3\r\nHIT\r\n$13\r\nver=ab,born=5\r\n${length}\r\n").into_bytes()
    };
    let longest = [reply(240_000), vec![b'o'; 240_000], b"\r\n".to_vec()].concat();
    let decoded = decode(&longest).unwrap().unwrap();
    assert_eq!(decoded.reply.body.len(), 240_000);
    for length in [240_001, 262_137, 262_138, 262_144, 3_000_000] {
        assert!(decode(&reply(length)).is_err(), "{length} bytes");
    }
}
