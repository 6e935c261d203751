use super::*;

#[test]
fn checksums_and_patterns_are_those_of_the_protocol_page() {
    assert_eq!(crc(b"123456789"), 0xcbf4_3926);
    assert!(matches(b"car-*/7f?a*", b"car-video/7f3a9c21e0b4d655/3"));
    assert!(!matches(b"car-*/7f?a", b"car-video/7f3a9c21e0b4d655/3"));
    assert!(record(&[9; 40]).is_none() && record(&[]).is_none());
}
