use super::*;
use cranesill_purges::PurgeTarget;

#[test]
fn messages_are_decoded_only_once_complete_and_malformed_ones_are_rejected() {
    let sent_hello = Hello {
        log_identity: 7,
        last: 9,
    };
    let bytes = hello(sent_hello);
    (0..HELLO_BYTES).for_each(|cut| assert_eq!(decode_hello(&bytes[..cut]).unwrap(), None));
    assert_eq!(decode_hello(&bytes).unwrap(), Some(sent_hello));
    assert!(decode_hello(b"GET /").is_err());
    let target = PurgeTarget::Pattern("a/*".into());
    let purge = Purge {
        number: 10,
        at_ms: 5,
        target,
        id: "a".into(),
        who: "b".into(),
        why: "c".into(),
    };
    let sent = Frame {
        reset: false,
        log_identity: 7,
        base: 2,
        head: 10,
        purges: vec![purge.clone(), purge],
    };
    let bytes = frame(&sent);
    (0..bytes.len())
        .for_each(|cut| assert_eq!(decode_frame(&bytes[..cut]).unwrap(), None, "cut at {cut}"));
    assert_eq!(decode_frame(&bytes).unwrap(), Some((sent, bytes.len())));
    let mut rng = 3u64;
    for _ in 0..30_000 {
        let mut corrupted = bytes.clone();
        for _ in 0..3 {
            rng = rng
                .wrapping_mul(6364136223846793005)
                .wrapping_add(1442695040888963407);
            let position = (rng >> 33) as usize % corrupted.len();
            corrupted[position] = (rng >> 20) as u8;
        }
        assert!(decode_frame(&corrupted)
            .ok()
            .flatten()
            .is_none_or(|f| f.1 <= corrupted.len()));
        let _ = decode_hello(&corrupted);
    }
    let mut oversized = bytes;
    oversized[25..29].copy_from_slice(&u32::MAX.to_le_bytes());
    assert!(decode_frame(&oversized).is_err());
}
