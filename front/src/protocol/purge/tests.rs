use super::*;
use cranesill_purges::PurgeTarget;

#[test]
fn a_batch_is_encoded_as_a_command_and_a_confirmation_is_decoded_only_once_complete() {
    let target = PurgeTarget::Tag("vitara".into());
    let purge = Purge {
        number: 8,
        at_ms: 5,
        target,
        id: "a".into(),
        who: "b".into(),
        why: "c".into(),
    };
    let command = batch(7, 0xfeed, 7, 8, std::slice::from_ref(&purge));
    let text = command.head.escape_ascii().to_string();
    assert!(
        text.starts_with("*4\\r\\n$5\\r\\npurge\\r\\n$16\\r\\n0000000000000007"),
        "{text}"
    );
    assert!(
        text.contains("ledger=000000000000feed,after=7,upto=8"),
        "{text}"
    );
    let encoded =
        b"*4\r\n$16\r\n0000000000000007\r\n$4\r\nDONE\r\n$30\r\nledger=000000000000feed,upto=8\r\n$0\r\n\r\n";
    for cut in 0..encoded.len() {
        assert!(
            decode(&encoded[..cut]).unwrap_or(None).is_none(),
            "cut at {cut}"
        );
    }
    let (confirmation, used) = decode(encoded).unwrap().unwrap();
    assert_eq!(
        (confirmation, used),
        (
            Confirmation {
                id: 7,
                log_identity: 0xfeed,
                upto: 8,
                empty: false
            },
            encoded.len()
        )
    );
    let fault = b"*4\r\n$16\r\n0000000000000007\r\n$5\r\nFAULT\r\n$1\r\n-\r\n$0\r\n\r\n";
    assert!(decode(fault).is_err());
}
