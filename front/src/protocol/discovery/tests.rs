use super::*;

fn frame(revision: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let length = (9 + payload.len()) as u32;
    [
        &length.to_be_bytes(),
        &revision.to_be_bytes()[..],
        &[kind],
        payload,
    ]
    .concat()
}

#[test]
fn events_are_decoded_only_once_complete() {
    let record = [
        0, 0xc4, 0x1f, 0x7a, 10, 1, 0, 9, 0x1f, 0x90, 1, 2, 1, 0, 5, 0, 0, 0x10, 0x68,
    ];
    let record = [&record[..], &1_764_576_000_123u64.to_be_bytes()].concat();
    let purge = [
        0x7f3a_9c21_e0b4_d655u64.to_be_bytes(),
        1_764_576_000_123u64.to_be_bytes(),
    ]
    .concat();
    let group = [&[0, 17][..], &1_764_576_000_480u64.to_be_bytes()].concat();
    let frames = [
        (41, 1, record),
        (42, 3, purge),
        (43, 4, group),
        (43, 0, vec![]),
    ];
    let decoded: Vec<_> = frames
        .iter()
        .map(|(revision, kind, payload)| {
            let encoded = frame(*revision, *kind, payload);
            (0..encoded.len()).for_each(|cut| assert_eq!(decode(&encoded[..cut]).unwrap(), None));
            let frame = decode(&encoded).unwrap().unwrap();
            (frame.revision, frame.event, frame.length)
        })
        .collect();
    insta::assert_debug_snapshot!(decoded);
}

#[test]
fn malformed_frames_are_rejected() {
    let malformed = [
        frame(1, 1, &[0; 26]),
        frame(1, 3, &[0; 15]),
        frame(1, 9, &[]),
        vec![0, 0, 0, 8],
        vec![255; 4],
    ];
    malformed
        .iter()
        .for_each(|bytes| assert!(decode(bytes).is_err(), "{bytes:?}"));
    let mut record = [0; 27];
    record[10] = 3;
    assert!(decode(&frame(1, 2, &record)).is_err());
}
