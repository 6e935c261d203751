use super::*;

#[test]
fn truncated_corrupted_and_newer_files_are_rejected() {
    let health = |id: u64, down| LearnedHealth {
        endpoint: EndpointId(id),
        started: 7,
        slow_start_at: 9,
        down,
        connection_lost: down,
    };
    let learned = vec![health(0x11, true), health(0x12, false)];
    let text = encode_learned(5, &learned);
    assert_eq!(decode_learned(text.as_bytes()), Ok((5, learned)));
    for cut in 0..text.len() {
        assert!(
            decode_learned(&text.as_bytes()[..cut]).is_err(),
            "cut after {cut}"
        );
    }
    for at in 0..text.len() {
        let mut bytes = text.clone().into_bytes();
        bytes[at] ^= 1;
        assert!(decode_learned(&bytes).is_err(), "byte {at}");
    }
    let newer = text.replace("v1", "v2");
    assert_eq!(
        decode_learned(newer.as_bytes()),
        Err(StoredFileError::OtherVersion)
    );
    assert_eq!(
        cordoned_endpoint(&cordon_file_name(EndpointId(0x00c41f7a))),
        Some(EndpointId(0x00c41f7a))
    );
    for name in [
        "v2.out.s-00c41f7a",
        "v1.out.s-00c41f7",
        "v1.out.s-00c41f7a~",
        "v1.in.s-00c41f7a",
        "",
    ] {
        assert_eq!(cordoned_endpoint(name), None, "{name}");
    }
}
