use super::*;
use std::io::{Read, Write};

#[test]
fn only_complete_frames_extend_the_silence_deadline() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut reactor = Reactor::new().unwrap();
    let mut discovery = Discovery::new(
        0,
        listener.local_addr().unwrap(),
        7,
        CallSchedule::new(
            0,
            cranesill_startup::FleetPosition {
                number: 0,
                fronts: 3,
            },
            1,
            None,
        ),
        false,
    );
    assert!(discovery.deadline <= 200_000);
    discovery.poll(0, &reactor, 5);
    assert!(
        discovery.deadline <= 1_000_000,
        "a connection that is not established times out early"
    );
    let (mut service, _) = listener.accept().unwrap();
    let mut hello = [0; 8];
    while discovery.deadline <= 1_000_000 {
        reactor.wait(0, Some(1_000_000)).unwrap();
        discovery.ready(0);
    }
    service.read_exact(&mut hello).unwrap();
    assert_eq!(
        (u64::from_be_bytes(hello), discovery.deadline),
        (7, MAX_SILENCE)
    );
    // A complete frame extends the deadline, a partial one does not.
    let empty = [&[0, 0, 0, 9][..], &7u64.to_be_bytes(), &[0]].concat();
    for (now, bytes) in [
        (1_000_000, &empty[..]),
        (2_000_000, &empty[..5]),
        (3_000_000, &empty[5..9]),
    ] {
        service.write_all(bytes).unwrap();
        reactor.wait(0, Some(20_000_000)).unwrap();
        assert!(discovery.ready(now).is_empty());
        assert_eq!(discovery.deadline, 1_000_000 + MAX_SILENCE);
    }
}
