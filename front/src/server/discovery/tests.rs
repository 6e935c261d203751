use super::*;
use cranesill_startup::CallBudget;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

const EMPTY_FRAME: [u8; 13] = [0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 7, 0];

fn call_schedule(budget: Option<CallBudget>) -> CallSchedule {
    let position = cranesill_startup::FleetPosition {
        number: 0,
        fronts: 3,
    };
    CallSchedule::new(0, position, 1, budget)
}

/// A client that knows revision 7 and has established its connection to `listener`.
fn connected(listener: &TcpListener, reactor: &mut Reactor) -> (Discovery, TcpStream) {
    let address = listener.local_addr().unwrap();
    let mut discovery = Discovery::new(0, address, 7, call_schedule(None), false);
    discovery.poll(0, reactor, 5);
    let (mut service, _) = listener.accept().unwrap();
    while !discovery.established {
        reactor.wait(0, Some(1_000_000)).unwrap();
        discovery.ready(0);
    }
    service.read_exact(&mut [0; 8]).unwrap();
    (discovery, service)
}

#[test]
fn moving_to_the_same_address_keeps_an_open_connection_and_its_silence_deadline() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut reactor = Reactor::new().unwrap();
    let (mut discovery, mut service) = connected(&listener, &mut reactor);
    assert!(!discovery.move_to(1_000_000, listener.local_addr().unwrap()));
    assert!(discovery.has_connection(5));
    assert_eq!(discovery.deadline, MAX_SILENCE);
    service.write_all(&EMPTY_FRAME).unwrap();
    reactor.wait(0, Some(20_000_000)).unwrap();
    discovery.ready(2_000_000);
    assert!(discovery.is_connected());
    // A silent connection still ends at its deadline.
    let silent_at = discovery.deadline;
    discovery.move_to(silent_at - 1, listener.local_addr().unwrap());
    discovery.poll(silent_at, &reactor, 6);
    assert!(!discovery.has_connection(5));
}

#[test]
fn moving_to_the_same_address_keeps_a_connection_that_is_being_established() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let reactor = Reactor::new().unwrap();
    let mut discovery = Discovery::new(0, address, 7, call_schedule(None), false);
    discovery.poll(0, &reactor, 5);
    let timeout_at = discovery.deadline;
    assert!(!discovery.move_to(1_000, address));
    assert!(discovery.has_connection(5));
    assert_eq!(
        (discovery.deadline, discovery.calls_started),
        (timeout_at, 1)
    );
}

#[test]
fn moving_to_the_same_address_during_an_outage_keeps_the_schedule_of_calls() {
    let budget = CallBudget {
        calls_per_s: 0.1,
        max_wait: 60_000_000,
        urgent_period: 0,
    };
    // The port is closed, so that each call is refused.
    let address = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let mut reactor = Reactor::new().unwrap();
    let mut discovery = Discovery::new(0, address, 7, call_schedule(Some(budget)), false);
    let mut now = 0;
    for key in 5..8 {
        now = discovery.deadline;
        discovery.poll(now, &reactor, key);
        while discovery.has_connection(key) {
            reactor.wait(now, Some(now + 1_000_000)).unwrap();
            discovery.ready(now);
        }
    }
    let next_call = discovery.deadline;
    assert!(next_call > now + 1_000_000, "{next_call} after {now}");
    assert!(!discovery.move_to(now + 1, address));
    assert_eq!(discovery.deadline, next_call);
    // Another address is called at once.
    let other = TcpListener::bind("127.0.0.1:0").unwrap();
    assert!(discovery.move_to(now + 2, other.local_addr().unwrap()));
    assert_eq!(discovery.deadline, now + 2);
}

#[test]
fn moving_to_another_address_replaces_the_connection_at_once() {
    let listeners = [0, 1].map(|_| TcpListener::bind("127.0.0.1:0").unwrap());
    let mut reactor = Reactor::new().unwrap();
    let (mut discovery, mut service) = connected(&listeners[0], &mut reactor);
    assert!(discovery.move_to(1_000_000, listeners[1].local_addr().unwrap()));
    assert_eq!(discovery.deadline, 1_000_000);
    assert_eq!(service.read(&mut [0; 1]).unwrap(), 0);
    discovery.poll(1_000_000, &reactor, 6);
    assert!(discovery.has_connection(6));
    listeners[1].accept().unwrap();
}

#[test]
fn only_complete_frames_extend_the_silence_deadline() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut reactor = Reactor::new().unwrap();
    let address = listener.local_addr().unwrap();
    let mut discovery = Discovery::new(0, address, 7, call_schedule(None), false);
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
    for (now, bytes) in [
        (1_000_000, &EMPTY_FRAME[..]),
        (2_000_000, &EMPTY_FRAME[..5]),
        (3_000_000, &EMPTY_FRAME[5..9]),
    ] {
        service.write_all(bytes).unwrap();
        reactor.wait(0, Some(20_000_000)).unwrap();
        assert!(discovery.ready(now).is_empty());
        assert_eq!(discovery.deadline, 1_000_000 + MAX_SILENCE);
    }
}
