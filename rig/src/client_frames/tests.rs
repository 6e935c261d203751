use super::*;

#[test]
fn a_request_consists_of_its_length_type_stream_fields_and_body() {
    let frame = request_frame(0x0102_0304, &[("verb", "v"), ("txn", "")], b"keys");
    let expected = [
        &[0, 0, 0, 24, 10, 1, 2, 3, 4, 2][..],
        b"\x04verb\x00\x01v",
        b"\x03txn\x00\x00",
        b"keys",
    ];
    assert_eq!(frame, expected.concat());
}
