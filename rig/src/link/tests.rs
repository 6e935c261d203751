use super::*;

/// A link with both ends of a connection over it: connecting and accepting side.
fn pair() -> (Link, TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let link = Link::new(listener.local_addr().unwrap());
    let caller = TcpStream::connect(link.address).unwrap();
    let (called, _) = listener.accept().unwrap();
    for socket in [&caller, &called] {
        socket.set_read_timeout(Some(crate::WAIT_TIMEOUT)).unwrap();
    }
    (link, caller, called)
}

fn receives(mut socket: &TcpStream, text: &[u8]) -> bool {
    let mut got = vec![0; text.len()];
    socket.read_exact(&mut got).is_ok() && got == text
}

fn receives_nothing(mut socket: &TcpStream) -> bool {
    socket
        .set_read_timeout(Some(Duration::from_millis(150)))
        .unwrap();
    let nothing =
        matches!(socket.read(&mut [0; 8]), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
    socket.set_read_timeout(Some(crate::WAIT_TIMEOUT)).unwrap();
    nothing
}

#[test]
fn directions_are_cut_independently_and_held_bytes_are_delivered_after_healing() {
    let (link, mut caller, mut called) = pair();
    caller.write_all(b"one").unwrap();
    assert!(receives(&called, b"one"));
    link.set(Transmission::Pass, Transmission::Cut);
    caller.write_all(b"two").unwrap();
    called.write_all(b"held").unwrap();
    assert!(receives(&called, b"two") && receives_nothing(&caller));
    link.set(Transmission::Cut, Transmission::Pass);
    assert!(
        receives(&caller, b"held"),
        "held bytes were not delivered after healing"
    );
    caller.write_all(b"three").unwrap();
    assert!(receives_nothing(&called));
    link.heal();
    assert!(receives(&called, b"three"));
}

#[test]
fn reset_ends_open_connections_and_refuse_rejects_new_ones() {
    let (link, caller, called) = pair();
    link.refuse(true);
    let until = Instant::now() + crate::WAIT_TIMEOUT;
    while TcpStream::connect(link.address).is_ok() {
        assert!(Instant::now() < until, "the link still accepts connections");
    }
    assert!(
        receives_nothing(&caller),
        "an open connection transferred bytes or was closed by refuse"
    );
    link.reset();
    assert!(!receives(&caller, b"x") && !receives(&called, b"x"));
    link.heal();
    while TcpStream::connect(link.address).is_err() {
        assert!(
            Instant::now() < until,
            "the healed link still refuses connections"
        );
    }
}

#[test]
fn delay_and_throttle_apply_as_soon_as_they_are_set() {
    let (link, mut caller, called) = pair();
    // The transfer ensures that the relay is waiting in a read when the setting changes.
    caller.write_all(b"x").unwrap();
    assert!(receives(&called, b"x"));
    for transmission in [
        Transmission::Delay(Duration::from_millis(300)),
        Transmission::Throttle(1_000),
    ] {
        link.set(transmission, Transmission::Pass);
        let began = Instant::now();
        caller.write_all(&[7; 300]).unwrap();
        assert!(receives(&called, &[7; 300]));
        assert!(
            began.elapsed() >= Duration::from_millis(250),
            "{transmission:?}: {:?}",
            began.elapsed()
        );
    }
}
