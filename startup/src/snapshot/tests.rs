use super::*;

#[test]
fn only_a_newer_list_of_the_same_service_and_of_lately_is_served_from() {
    let found = Dated { source: 7, number: 9, at_ms: 100_000 };
    assert_eq!(judge(100_000, found, 7, 8, 5_000), Ok(()));
    assert_eq!(judge(105_000, found, 7, 8, 5_000), Ok(()));
    assert_eq!(judge(105_001, found, 7, 8, 5_000), Err(Aside::Old(1)));
    assert_eq!(judge(100_000, found, 6, 8, 5_000), Err(Aside::Other));
    assert_eq!(judge(100_000, found, 7, 9, 5_000), Err(Aside::Known));
    assert_eq!(judge(40_000, found, 7, 8, 5_000), Ok(()), "a clock that was set back a little");
    assert_eq!(judge(39_999, found, 7, 8, 5_000), Err(Aside::Future));
}
