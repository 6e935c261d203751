use super::*;

#[test]
fn timer_purpose_is_returned_once() {
    let mut timers = Timers::default();
    let (a, b) = (timers.set("a"), timers.set("b"));
    assert_ne!(a, b);
    assert_eq!(
        (timers.take(b), timers.take(b), timers.take(a)),
        (Some("b"), None, Some("a"))
    );
}
