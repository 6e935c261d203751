use super::*;

#[test]
fn checksums_and_patterns_follow_the_protocol() {
    assert_eq!(crc32(b"123456789"), 0xcbf4_3926);
    assert!(pattern_matches(
        b"car-*/7f?a*",
        b"car-video/7f3a9c21e0b4d655/3"
    ));
    assert!(!pattern_matches(
        b"car-*/7f?a",
        b"car-video/7f3a9c21e0b4d655/3"
    ));
    assert!(parse_record(&[9; 40]).is_none() && parse_record(&[]).is_none());
}
