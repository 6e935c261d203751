use super::*;
use std::time::Duration;

fn in_ms(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}

#[test]
fn a_name_is_resolved() {
    let found = resolve("127.0.0.1", 443, in_ms(10_000)).unwrap();
    assert_eq!(found, ["127.0.0.1:443".parse().unwrap()]);
}

#[test]
fn lookups_that_do_not_end_fail_at_the_deadline_and_are_limited() {
    static RUNNING: AtomicUsize = AtomicUsize::new(0);
    let mut releases = Vec::new();
    let mut blocked_lookup = || {
        let (release, released) = channel::<()>();
        releases.push(release);
        run_lookup(&RUNNING, in_ms(20), move || {
            // Blocks until the test drops the sender.
            let _ = released.recv();
            Ok(Vec::new())
        })
    };
    for _ in 0..MAX_LOOKUPS {
        let error = blocked_lookup().unwrap_err();
        assert_eq!(error.kind(), io::ErrorKind::TimedOut);
    }
    let error = blocked_lookup().unwrap_err();
    assert!(error.to_string().contains("have not ended"), "{error}");
    // Lookups are possible again once the blocked ones have ended.
    drop(releases);
    let until = in_ms(20_000);
    while RUNNING.load(Ordering::Relaxed) > 0 {
        assert!(Instant::now() < until, "blocked look-ups did not end");
        thread::yield_now();
    }
    assert!(run_lookup(&RUNNING, in_ms(10_000), || Ok(Vec::new())).is_ok());
}
