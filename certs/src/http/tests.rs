use super::*;

fn parse_split(bytes: &[u8], at: usize) -> Result<Option<Response>, &'static str> {
    let mut reader = Reader::new(Method::Get, 100);
    match reader.feed(&bytes[..at])? {
        Some(response) => Ok(Some(response)),
        None => reader.feed(&bytes[at..]),
    }
}

#[test]
fn a_response_parses_the_same_however_its_bytes_are_split() {
    let texts: [&[u8]; 3] = [
        b"HTTP/1.1 200 OK\r\nReplay-Nonce: n1\r\nContent-Length: 5\r\nRetry-After: 7\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nLOCATION: https://a/1\r\n\r\n3;x=y\r\nhel\r\n2\r\nlo\r\n0\r\nX: y\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nDate: Sun, 06 Nov 1994 08:49:37 GMT\r\nRetry-After: Sun, 06 Nov 1994 08:50:37 GMT\r\n\r\n",
    ];
    for text in texts {
        let expected = parse_split(text, text.len()).unwrap().unwrap();
        (0..text.len()).for_each(|at| {
            assert_eq!(
                parse_split(text, at).unwrap().unwrap(),
                expected,
                "split at {at}"
            )
        });
    }
    assert_eq!(parse_split(texts[1], 9).unwrap().unwrap().body, b"hello");
    let last = parse_split(texts[2], 9).unwrap().unwrap();
    assert_eq!((last.retry_after, last.date), (Some(60), Some(784_111_777)));
}

#[test]
fn only_a_response_without_a_length_ends_with_the_connection() {
    let mut reader = Reader::new(Method::Get, 100);
    assert_eq!(reader.feed(b"HTTP/1.1 200 OK\r\n\r\nabc").unwrap(), None);
    assert_eq!(reader.end().unwrap().unwrap().body, b"abc");
    for short in [
        &b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc"[..],
        b"HTTP/1.1 2",
        b"",
    ] {
        let mut reader = Reader::new(Method::Get, 100);
        assert_eq!(reader.feed(short).unwrap(), None);
        assert!(reader.end().is_err());
    }
    let mut reader = Reader::new(Method::Head, 100);
    assert!(reader
        .feed(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
        .unwrap()
        .is_some());
}

#[test]
fn responses_with_invalid_or_conflicting_framing_are_rejected() {
    for bad in [
        "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n".to_string(),
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n".into(),
        "HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\n".into(),
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n".into(),
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n".into(),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n".into(),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffff\r\n".into(),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcX\r\n".into(),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\nabc\r\n".into(),
        format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}",
            "1".repeat(300)
        ),
        format!("HTTP/1.1 200 OK\r\n\r\n{}", "x".repeat(101)),
        format!("HTTP/1.1 200 OK\r\nX: {}", "y".repeat(MAX_HEAD_BYTES)),
        format!("HTTP/1.1 200 OK\r\n{}\r\n", "X: y\r\n".repeat(65)),
        "SSH-2.0-x\r\n".into(),
    ] {
        let mut reader = Reader::new(Method::Get, 100);
        assert!(
            reader.feed(bad.as_bytes()).is_err(),
            "{}",
            &bad[..60.min(bad.len())]
        );
    }
}

#[test]
fn corrupted_bytes_neither_panic_nor_exceed_the_body_limit() {
    let text =
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n";
    let mut rng = 5u64;
    for _ in 0..50_000 {
        let mut bytes = text.to_vec();
        for _ in 0..3 {
            rng = rng
                .wrapping_mul(6364136223846793005)
                .wrapping_add(1442695040888963407);
            let at = (rng >> 33) as usize % bytes.len();
            bytes[at] = (rng >> 20) as u8;
        }
        let mut reader = Reader::new(Method::Get, 100);
        if let Ok(Some(response)) = reader.feed(&bytes) {
            assert!(response.body.len() <= 100);
        }
        let _ = reader.end();
    }
}
