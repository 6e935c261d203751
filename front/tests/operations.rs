//! Operation of a front: operator commands, cordoned nodes, quiescing, and replacement of the process under load.
mod common;
use common::operations::*;
use common::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time within which a quiesced front has closed its idle connections.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(4);

#[test]
fn operator_commands_are_answered_and_invalid_ones_do_no_harm() {
    let setup = TestFront::new(with_operator_address);
    let at = operator_address(&setup.log);
    let calls: [&[u8]; 13] = [
        b"health\n",
        b"health\r\n",
        b"cordon s-000000ff\n",
        b"cordon s-00000011\n",
        b"cordon s-00000011\n",
        b"uncordon s-00000011\n",
        b"uncordon s-00000011\n",
        b"resume\n",
        b"quiesce\nresume\n",
        b"\xff\xfe\n",
        b"cordon\n",
        b"halt\n",
        &[b'x'; 5_000],
    ];
    let received: Vec<_> = calls
        .iter()
        .map(|bytes| exchange(at, bytes, false))
        .collect();
    let half = exchange(at, b"heal", true);
    assert_eq!(
        exchange(at, b"", true),
        "",
        "an empty command has no answer"
    );
    insta::assert_debug_snapshot!((received, half));
    // Without an operator address the front does not listen for operators.
    let setup = TestFront::new(|_| {});
    assert!(!setup
        .log
        .try_iter()
        .any(|line| line.contains("operator listener open")));
}

#[test]
fn silent_operator_connections_do_not_block_a_command() {
    let setup = TestFront::new(with_operator_address);
    let at = operator_address(&setup.log);
    let silent: Vec<_> = (0..300u32)
        .map(|i| {
            let mut socket = TcpStream::connect(at).unwrap();
            // A third of them sends part of a command.
            socket
                .write_all(if i % 3 == 0 { b"coun" } else { b"" })
                .unwrap();
            socket
        })
        .collect();
    assert_eq!(operator_command(at, "health"), "+OK serving\n");
    assert_eq!(counters(at)["known_cache_nodes"], 3);
    drop(silent);
}

#[test]
fn without_descriptors_a_silent_operator_connection_is_closed_for_a_new_one() {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    let setup = TestFront::new(|_| {});
    let mut config = setup.config.clone();
    with_operator_address(&mut config);
    config["listen"] = "127.0.0.1:0".into();
    file.write_all(config.to_string().as_bytes()).unwrap();
    let mut shell = std::process::Command::new("sh");
    shell
        .args(["-c", "ulimit -n 24; exec \"$0\" serve \"$1\""])
        .arg(binary())
        .arg(file.path());
    let mut front = shell.stderr(std::process::Stdio::piped()).spawn().unwrap();
    let log = read_log(&mut front, file.into_temp_path());
    let process = Process { child: front, log };
    let at = operator_address(&process.log);
    let silent: Vec<_> = (0..60).map(|_| TcpStream::connect(at).unwrap()).collect();
    assert_eq!(operator_command(at, "health"), "+OK serving\n");
    drop(silent);
}

#[test]
fn counters_match_what_clients_and_nodes_observed() {
    let setup = TestFront::new(with_operator_address);
    let at = operator_address(&setup.log);
    let request_counts = setup
        .caches
        .iter()
        .map(serve_hits)
        .chain([serve_hits(&setup.origin)])
        .collect::<Vec<_>>();
    let (mut client, mut seen) = (setup.client(), BTreeMap::<&str, u64>::new());
    for stream in 1..=30 {
        match stream % 5 {
            // Unknown classes are not counted.
            0 => client.request(stream, "no-such", "2000", &[], b""),
            1 => client.request(stream, "book-car", "2000", &[], b"keys"),
            _ => client.request(stream, "page-bits", "2000", &[], b""),
        }
        let received = client.receive().unwrap();
        let code = received.split(": ").nth(1).unwrap();
        let name = match (stream % 5, &code[..4]) {
            (0, _) => continue,
            (1, "\\x01") => "handled.book-car.passed",
            (_, "\\x01") => "handled.page-bits.passed",
            _ => panic!("{received}"),
        };
        *seen.entry(name).or_default() += 1;
    }
    // Cancelled requests are neither counted nor in progress.
    client.request(31, "page-bits", "2000", &[], b"");
    client.send(12, 31, b"");
    client.send(20, 32, &[0]);
    while !client.receive().unwrap().contains("stream 32") {}
    let received = counters(at);
    let attempts: u32 = request_counts
        .iter()
        .map(|n| n.load(Ordering::SeqCst))
        .sum();
    for (name, n) in seen {
        let slack = u64::from(name == "handled.page-bits.passed");
        assert!(
            received[name] >= n && received[name] <= n + slack,
            "{name}: counter {}, clients saw {n}",
            received[name]
        );
    }
    assert!(
        received["upstream_tries"].abs_diff(attempts.into()) <= 1,
        "counter {}, nodes saw {attempts}",
        received["upstream_tries"]
    );
    assert_eq!(
        (received["in_progress"], received["skipped_cache_nodes"]),
        (0, 0)
    );
    operator_command(at, "cordon s-00000011");
    assert_eq!(counters(at)["skipped_cache_nodes"], 1);
}

#[test]
fn quiesced_front_disconnects_idle_clients_and_accepts_again_after_resume() {
    let setup = TestFront::new(with_operator_address);
    let at = operator_address(&setup.log);
    let (mut idle, mut busy) = (setup.client(), setup.client());
    let mut received = Vec::new();
    idle.send(20, 1, &[0]);
    received.extend(idle.receive());
    busy.request(1, "book-car", "20000", &[], b"keys");
    let mut origin = accept_node(&setup.origin);
    let fetch = origin.receive().unwrap();
    let began = Instant::now();
    received.push(operator_command(at, "quiesce"));
    received.push(operator_command(at, "quiesce"));
    received.push(operator_command(at, "health"));
    // Both clients are asked to reconnect; the idle one is closed, the other one after its response.
    received.extend(idle.receive());
    assert_eq!(idle.receive(), None);
    assert!(
        began.elapsed() < DRAIN_TIMEOUT,
        "the idle connection was closed after {DRAIN_TIMEOUT:?}"
    );
    received.extend(busy.receive());
    busy.send(20, 2, &[0]);
    received.extend(busy.receive());
    origin.respond(&fetch[1], "HIT", "-", "booked");
    received.extend(busy.receive());
    assert_eq!(busy.receive(), None);
    received.push(operator_command(at, "resume"));
    received.push(operator_command(at, "health"));
    received.extend(setup.readiness());
    insta::assert_debug_snapshot!(received);
}

#[test]
fn terminated_while_quiesced_answers_open_requests_and_cannot_be_resumed() {
    let mut setup = TestFront::new(with_operator_address);
    let at = operator_address(&setup.log);
    let mut client = setup.client();
    client.request(1, "book-car", "20000", &[], b"keys");
    let mut origin = accept_node(&setup.origin);
    let fetch = origin.receive().unwrap();
    operator_command(at, "quiesce");
    setup.signal("-TERM");
    wait_for_line(&setup.log, "leaving");
    let received = ["resume", "quiesce", "health"].map(|word| operator_command(at, word));
    assert_eq!(
        received,
        [
            "-ERR leaving: another process takes over\n",
            "+OK quiesced\n",
            "-ERR leaving\n"
        ]
    );
    origin.respond(&fetch[1], "HIT", "-", "booked");
    let answers: Vec<_> = std::iter::from_fn(|| client.receive()).collect();
    assert_eq!(
        answers,
        ["type 30 stream 0: ", "type 11 stream 1: \\x01\\x00booked"]
    );
    assert!(setup.child.wait().unwrap().success());
}

#[test]
fn no_request_fails_while_processes_are_replaced_under_load() {
    let setup = TestFront::new(|_| {});
    let request_counts: Vec<_> = setup.caches.iter().map(serve_hits).collect();
    serve_hits(&setup.origin);
    let inherited = InheritedListener::new(&setup.config);
    let (mut old, mut ops) = inherited.start();
    wait_for_line(&old.log, "accepts clients");
    let (stop, failures) = (Arc::new(AtomicBool::new(false)), Arc::default());
    let clients = start_load(
        inherited.listener.local_addr().unwrap(),
        &stop,
        &failures,
        4,
    );
    // A cordoned node stays cordoned across processes, also one cordoned in between.
    assert_eq!(operator_command(ops, "cordon s-00000011"), "+OK out\n");
    let out = request_counts[0].load(Ordering::SeqCst);
    for round in 0..3 {
        let (new, new_ops) = inherited.start();
        wait_for_line(&new.log, "waits for another process");
        assert_eq!(
            operator_command(new_ops, "health"),
            "+OK serving\n",
            "health of the waiting process"
        );
        assert_eq!(counters(new_ops)["skipped_cache_nodes"], 1);
        // The new process accepts no clients while the old one does.
        for n in 0..60 {
            let mut client =
                Client(TcpStream::connect(inherited.listener.local_addr().unwrap()).unwrap());
            client.request(
                0x7000_0000 + 100 * round + n,
                "page-bits",
                "20000",
                &[],
                b"",
            );
            assert!(client.receive().unwrap().contains("bytes"));
        }
        assert_eq!(counters(new_ops)["handled.page-bits.passed"], 0);
        if round == 2 {
            assert_eq!(
                request_counts[0].load(Ordering::SeqCst),
                out,
                "a cordoned node received requests"
            );
            // Sent to the old process only.
            operator_command(ops, "uncordon s-00000011");
            operator_command(ops, "cordon s-00000012");
        }
        old.signal("-TERM");
        wait_for_line(&new.log, "accepts clients");
        assert!(old.child.wait().unwrap().success());
        (old, ops) = (new, new_ops);
    }
    let before = request_counts
        .iter()
        .map(|n| n.load(Ordering::SeqCst))
        .collect::<Vec<_>>();
    // After a kill the next process takes over without a message from the old one.
    let (new, _) = inherited.start();
    wait_for_line(&new.log, "waits for another process");
    stop.store(true, Ordering::SeqCst);
    let answered: u32 = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .sum();
    assert_eq!(*failures.lock().unwrap(), Vec::<String>::new());
    assert!(answered > 100, "too little load: {answered} responses");
    old.signal("-KILL");
    wait_for_line(&new.log, "accepts clients");
    let mut client = Client(TcpStream::connect(inherited.listener.local_addr().unwrap()).unwrap());
    client.request(1, "page-bits", "20000", &[], b"");
    assert!(client.receive().unwrap().contains("bytes"));
    assert_eq!(
        request_counts[1].load(Ordering::SeqCst),
        before[1],
        "the node cordoned last received requests"
    );
    assert!(
        request_counts[0].load(Ordering::SeqCst) > out,
        "the uncordoned node received no requests"
    );
}

#[test]
fn new_process_serves_while_its_operator_address_is_in_use_and_listens_there_later() {
    // A failure to bind would leave the service without a successor: the old process keeps the operator address until it exits, and
    // an outgoing connection may occupy the port for a short time.
    let setup = TestFront::new(|_| {});
    setup
        .caches
        .iter()
        .chain([&setup.origin])
        .for_each(|instance| drop(serve_hits(instance)));
    let inherited = InheritedListener::new(&setup.config);
    let (mut old, at) = inherited.start();
    let mut config = inherited.config.clone();
    config["ops"] = at.to_string().into();
    let mut new = inherited.start_with(&config);
    wait_for_line(&new.log, "address for operators is in use");
    wait_for_line(&new.log, "waits for another process");
    assert_eq!(
        operator_command(at, "health"),
        "+OK serving\n",
        "the old process answers"
    );
    old.signal("-TERM");
    wait_for_line(&new.log, "accepts clients");
    let mut client = Client(TcpStream::connect(inherited.listener.local_addr().unwrap()).unwrap());
    client.request(1, "page-bits", "20000", &[], b"");
    assert!(client.receive().unwrap().contains("bytes"));
    assert!(old.child.wait().unwrap().success());
    wait_for_line(&new.log, "operator listener open");
    assert_eq!(
        counters(at)["handled.page-bits.passed"],
        1,
        "the new process answers"
    );
    new.signal("-TERM");
    assert!(new.child.wait().unwrap().success());
    // Without a process to replace, an address in use is a configuration error.
    let mut config = setup.config.clone();
    config["ops"] = setup.address.to_string().into();
    let (mut front, _file) = start(&config);
    let mut errors = String::new();
    front
        .stderr
        .take()
        .unwrap()
        .read_to_string(&mut errors)
        .unwrap();
    assert!(
        !front.wait().unwrap().success() && errors.contains("cranesill: ops: "),
        "{errors}"
    );
}

#[test]
fn invalid_accept_descriptor_ends_the_start_with_one_line() {
    let setup = TestFront::new(|_| {});
    let refused = |fd: &str| {
        let (mut front, _file) = start_with_env(&setup.config, None, &[("RELAY_ACCEPT_FD", fd)]);
        let mut errors = String::new();
        front
            .stderr
            .take()
            .unwrap()
            .read_to_string(&mut errors)
            .unwrap();
        assert!(!front.wait().unwrap().success());
        let errors: Vec<_> = errors.lines().map(str::to_string).collect();
        assert_eq!(errors.len(), 1, "{errors:?}");
        assert!(
            errors[0].starts_with("cranesill: RELAY_ACCEPT_FD: "),
            "{errors:?}"
        );
    };
    let (socket, _other) = std::os::unix::net::UnixStream::pair().unwrap();
    let plain = TcpStream::connect(setup.address).unwrap();
    let file = tempfile::tempfile().unwrap();
    socket2::SockRef::from(&socket).set_cloexec(false).unwrap();
    socket2::SockRef::from(&plain).set_cloexec(false).unwrap();
    let number = |fd: &dyn std::os::fd::AsRawFd| fd.as_raw_fd().to_string();
    for fd in [
        "1".into(),
        "900".into(),
        "-3".into(),
        "x".into(),
        number(&socket),
        number(&plain),
        number(&file),
    ] {
        refused(&fd);
    }
    // The descriptor is not inherited: the program's own first descriptor gets that number and must not be used as the listener.
    let mut file = tempfile::NamedTempFile::new().unwrap();
    file.write_all(setup.config.to_string().as_bytes()).unwrap();
    let script = "exec 3<&- 4<&- 5<&-; exec \"$0\" serve \"$1\"";
    for fd in ["3", "4", "5"] {
        let mut shell = std::process::Command::new("sh");
        shell
            .args(["-c", script])
            .arg(binary())
            .arg(file.path())
            .env("RELAY_ACCEPT_FD", fd);
        let done = shell.output().unwrap();
        let errors = String::from_utf8(done.stderr).unwrap();
        assert_eq!(
            errors,
            format!("cranesill: RELAY_ACCEPT_FD: {fd}: it is not open\n")
        );
    }
}

/// A process that ends must leave alone the control socket of a process that has replaced it.
#[test]
fn control_socket_of_a_later_process_stays_when_the_earlier_one_exits() {
    let folder = tempfile::tempdir().unwrap();
    let socket = folder.path().join("control");
    let settings = folder.path().join("settings.json");
    let text = serde_json::json!({"control": {"path": &socket}}).to_string();
    std::fs::write(&settings, text).unwrap();
    let start = || {
        let front = TestFront::with(|_| {}, Some(&settings));
        wait_for_line(&front.log, "control socket open");
        front
    };
    let mut earlier = start();
    std::fs::remove_file(&socket).unwrap();
    let mut later = start();
    let exit = |front: &mut TestFront| {
        front.signal("-TERM");
        assert_eq!(front.child.wait().unwrap().code(), Some(0));
    };
    exit(&mut earlier);
    let status = std::process::Command::new(binary())
        .args(["ctl", "status", "--socket"])
        .arg(&socket)
        .output()
        .unwrap();
    assert_eq!(status.status.code(), Some(0), "{status:?}");
    // Its own socket is removed.
    exit(&mut later);
    assert!(!socket.exists());
}
