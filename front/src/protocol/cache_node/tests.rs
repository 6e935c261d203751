use super::*;
use crate::routing::{FillSource, ObjectKey};

#[test]
fn a_fetch_says_what_was_asked_and_how_a_miss_is_filled() {
    let txn = TransactionId::new("9b1f03aa5c7e2d41").unwrap();
    let item = ObjectKey {
        text: "7f3a9c21e0b4d655".into(),
        id: 0,
    };
    let fill = FillSource {
        source: Some(EndpointId(0xc41f7a)),
        rank: 2,
        max_age: 1_500_999,
        coalesce: true,
        cached_only: false,
        revalidate: true,
    };
    let mut ask = Fetch {
        transaction: txn,
        class: "page-bits".into(),
        object: Some(item),
        part: 3,
        deadline: 1_250_000,
        write_by: Timestamp::MAX,
        fill: Some(fill),
        cached_tag: Some("4be0".into()),
        idempotency_key: Some("09c7".into()),
        write: false,
        body: b"".as_slice().into(),
    };
    let text = |ask: &Fetch| {
        let out = fetch(ask, 250_000);
        String::from_utf8([&out.head, &out.body[..], out.tail].concat()).unwrap()
    };
    let read = text(&ask);
    (ask.fill, ask.cached_tag, ask.body) = (None, None, b"car".as_slice().into());
    ask.idempotency_key = None;
    let aborted = String::from_utf8(abort(txn).head).unwrap();
    insta::assert_debug_snapshot!([read, text(&ask), aborted]);
}

#[test]
fn an_answer_is_read_once_its_last_byte_is_there() {
    let fields = "ver=ab,born=5,tell=pulled_far,waited=12.5,meter=concurrent:7;x1:0.61;odd:x";
    let whole = [
        &b"*4\r\n$16\r\n9b1f03aa5c7e2d41\r\n$3\r\nHIT\r\n"[..],
        format!("${}\r\n{fields}\r\n", fields.len()).as_bytes(),
        b"$6\r\n\r\n$9\r\n\r\n*",
    ]
    .concat();
    for cut in 0..whole.len() - 1 {
        assert!(decode(&whole[..cut]).unwrap().is_none(), "cut at {cut}");
    }
    let decoded = decode(&whole).unwrap().unwrap();
    assert_eq!(
        (decoded.id, decoded.length),
        (&b"9b1f03aa5c7e2d41"[..], whole.len() - 1)
    );
    insta::assert_debug_snapshot!(decoded.reply);
}

#[test]
fn lengths_out_of_bounds_are_unreadable() {
    for bad in
        // An id of a thousand bytes or a fifth string would be waited for in vain.
        [
            &b"+OK\r\n"[..],
            b"*5\r\n",
            b"*4\r\n$-1\r\n",
            b"*4\r\n$999999999999",
            b"*4\r\n$1000\r\n",
        ]
    {
        assert!(decode(bad).is_err(), "{}", String::from_utf8_lossy(bad));
    }
    assert!(decode(b"*4\r\n$1\r\nabc").is_err());
    for (fields, named) in [
        ("ver=a,born=5", true),
        ("ver=,born=5", false),
        ("ver=ab,born=x", false),
    ] {
        let n = fields.len();
        let answer = format!("*4\r\n$1\r\na\r\n$3\r\nHIT\r\n${n}\r\n{fields}\r\n$0\r\n\r\n");
        let reply = decode(answer.as_bytes()).unwrap().unwrap().reply;
        assert_eq!(
            reply.tag.is_some() && reply.created_at_ms.is_some(),
            named,
            "{fields}"
        );
    }
}
