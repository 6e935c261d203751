//! Stories of daily use: operators' calls on the second address, members out by hand, drains, and a process that is
//! replaced under load.
mod common;
use common::desk::*;
use common::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// By then a drained front holds no idle connection.
const EMPTY: Duration = Duration::from_secs(4);

#[test]
fn each_call_has_its_answer_and_what_is_no_call_harms_nobody() {
    let stage = Stage::new(with_ops);
    let at = ops_of(&stage.log);
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
    let told: Vec<_> = calls.iter().map(|bytes| say(at, bytes, false)).collect();
    let half = say(at, b"heal", true);
    assert_eq!(say(at, b"", true), "", "nothing said, nothing answered");
    insta::assert_debug_snapshot!((told, half));
    // Without an address nothing listens.
    let stage = Stage::new(|_| {});
    assert!(!stage
        .log
        .try_iter()
        .any(|line| line.contains("operator listener open")));
}

#[test]
fn hundreds_that_say_nothing_do_not_keep_out_one_that_asks() {
    let stage = Stage::new(with_ops);
    let at = ops_of(&stage.log);
    let silent: Vec<_> = (0..300u32)
        .map(|i| {
            let mut socket = TcpStream::connect(at).unwrap();
            // Some have begun.
            socket
                .write_all(if i % 3 == 0 { b"coun" } else { b"" })
                .unwrap();
            socket
        })
        .collect();
    assert_eq!(call(at, "health"), "+OK serving\n");
    assert_eq!(figures(at)["known_cache_nodes"], 3);
    drop(silent);
}

#[test]
fn without_descriptors_a_silent_caller_gives_its_own_up_to_one_that_asks() {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    let stage = Stage::new(|_| {});
    let mut config = stage.config.clone();
    with_ops(&mut config);
    config["listen"] = "127.0.0.1:0".into();
    file.write_all(config.to_string().as_bytes()).unwrap();
    let mut shell = std::process::Command::new("sh");
    shell
        .args(["-c", "ulimit -n 24; exec \"$0\" serve \"$1\""])
        .arg(binary())
        .arg(file.path());
    let mut front = shell.stderr(std::process::Stdio::piped()).spawn().unwrap();
    let log = follow(&mut front, file.into_temp_path());
    let process = Process { front, log };
    let at = ops_of(&process.log);
    let silent: Vec<_> = (0..60).map(|_| TcpStream::connect(at).unwrap()).collect();
    assert_eq!(call(at, "health"), "+OK serving\n");
    drop(silent);
}

#[test]
fn the_figures_are_what_clients_and_members_saw() {
    let stage = Stage::new(with_ops);
    let at = ops_of(&stage.log);
    let asked = stage
        .caches
        .iter()
        .map(answering)
        .chain([answering(&stage.origin)])
        .collect::<Vec<_>>();
    let (mut client, mut seen) = (stage.client(), BTreeMap::<&str, u64>::new());
    for stream in 1..=30 {
        match stream % 5 {
            // A class that there is not is in no count; one whose id is taken is answered by the front itself.
            0 => client.ask(stream, "no-such", "2000", &[], b""),
            1 => client.ask(stream, "book-car", "2000", &[], b"keys"),
            _ => client.ask(stream, "page-bits", "2000", &[], b""),
        }
        let told = client.hear().unwrap();
        let code = told.split(": ").nth(1).unwrap();
        let name = match (stream % 5, &code[..4]) {
            (0, _) => continue,
            (1, "\\x01") => "handled.book-car.passed",
            (_, "\\x01") => "handled.page-bits.passed",
            _ => panic!("{told}"),
        };
        *seen.entry(name).or_default() += 1;
    }
    // A request that its client takes back is in no count, and no longer in progress.
    client.ask(31, "page-bits", "2000", &[], b"");
    client.send(12, 31, b"");
    client.send(20, 32, &[0]);
    while !client.hear().unwrap().contains("stream 32") {}
    let told = figures(at);
    let tries: u32 = asked.iter().map(|n| n.load(Ordering::SeqCst)).sum();
    for (name, n) in seen {
        let slack = u64::from(name == "handled.page-bits.passed");
        assert!(
            told[name] >= n && told[name] <= n + slack,
            "{name}: {} and not {n}",
            told[name]
        );
    }
    assert!(
        told["upstream_tries"].abs_diff(tries.into()) <= 1,
        "{} and {tries}",
        told["upstream_tries"]
    );
    assert_eq!((told["in_progress"], told["skipped_cache_nodes"]), (0, 0));
    call(at, "cordon s-00000011");
    assert_eq!(figures(at)["skipped_cache_nodes"], 1);
}

#[test]
fn a_drained_front_says_no_lets_go_of_its_clients_and_takes_others_later() {
    let stage = Stage::new(with_ops);
    let at = ops_of(&stage.log);
    let (mut idle, mut busy) = (stage.client(), stage.client());
    let mut told = Vec::new();
    idle.send(20, 1, &[0]);
    told.extend(idle.hear());
    busy.ask(1, "book-car", "20000", &[], b"keys");
    let mut origin = link(&stage.origin);
    let fetch = origin.hear().unwrap();
    let began = Instant::now();
    told.push(call(at, "quiesce"));
    told.push(call(at, "quiesce"));
    told.push(call(at, "health"));
    // Both are told to open nothing new; the idle one is closed, the other has its answer first.
    told.extend(idle.hear());
    assert_eq!(idle.hear(), None);
    assert!(
        began.elapsed() < EMPTY,
        "an idle connection is let go in time"
    );
    told.extend(busy.hear());
    busy.send(20, 2, &[0]);
    told.extend(busy.hear());
    origin.say(&fetch[1], "HIT", "-", "booked");
    told.extend(busy.hear());
    assert_eq!(busy.hear(), None);
    told.push(call(at, "resume"));
    told.push(call(at, "health"));
    told.extend(stage.readiness());
    insta::assert_debug_snapshot!(told);
}

#[test]
fn a_drained_front_that_is_told_to_end_answers_what_is_open_and_takes_nobody_back() {
    let mut stage = Stage::new(with_ops);
    let at = ops_of(&stage.log);
    let mut client = stage.client();
    client.ask(1, "book-car", "20000", &[], b"keys");
    let mut origin = link(&stage.origin);
    let fetch = origin.hear().unwrap();
    call(at, "quiesce");
    stage.signal("-TERM");
    until(&stage.log, "leaving");
    let told = ["resume", "quiesce", "health"].map(|word| call(at, word));
    assert_eq!(
        told,
        [
            "-ERR leaving: another process takes over\n",
            "+OK quiesced\n",
            "-ERR leaving\n"
        ]
    );
    origin.say(&fetch[1], "HIT", "-", "booked");
    let answers: Vec<_> = std::iter::from_fn(|| client.hear()).collect();
    assert_eq!(
        answers,
        ["type 30 stream 0: ", "type 11 stream 1: \\x01\\x00booked"]
    );
    assert!(stage.front.wait().unwrap().success());
}

#[test]
fn processes_are_replaced_under_load_and_no_request_meets_a_closed_door() {
    let stage = Stage::new(|_| {});
    let asked: Vec<_> = stage.caches.iter().map(answering).collect();
    answering(&stage.origin);
    let held = Held::new(&stage.config);
    let (mut old, mut ops) = held.start();
    until(&old.log, "accepts clients");
    let (over, failures) = (Arc::new(AtomicBool::new(false)), Arc::default());
    let clients = load(held.listener.local_addr().unwrap(), &over, &failures, 4);
    // A member that is out by hand stays out, by whichever process, and so does one taken out in between.
    assert_eq!(call(ops, "cordon s-00000011"), "+OK out\n");
    let out = asked[0].load(Ordering::SeqCst);
    for round in 0..3 {
        let (new, new_ops) = held.start();
        until(&new.log, "waits for another process");
        assert_eq!(
            call(new_ops, "health"),
            "+OK serving\n",
            "it says yes beside the old one"
        );
        assert_eq!(figures(new_ops)["skipped_cache_nodes"], 1);
        // It takes no clients while the old one does, however many come.
        for n in 0..60 {
            let mut client =
                Client(TcpStream::connect(held.listener.local_addr().unwrap()).unwrap());
            client.ask(
                0x7000_0000 + 100 * round + n,
                "page-bits",
                "20000",
                &[],
                b"",
            );
            assert!(client.hear().unwrap().contains("bytes"));
        }
        assert_eq!(figures(new_ops)["handled.page-bits.passed"], 0);
        if round == 2 {
            assert_eq!(
                asked[0].load(Ordering::SeqCst),
                out,
                "nothing went to the member that was out"
            );
            // Said to the old process, and to none other.
            call(ops, "uncordon s-00000011");
            call(ops, "cordon s-00000012");
        }
        old.signal("-TERM");
        until(&new.log, "accepts clients");
        assert!(old.front.wait().unwrap().success());
        (old, ops) = (new, new_ops);
    }
    let before = asked
        .iter()
        .map(|n| n.load(Ordering::SeqCst))
        .collect::<Vec<_>>();
    // Killed outright, the next one needs nobody's word.
    let (new, _) = held.start();
    until(&new.log, "waits for another process");
    over.store(true, Ordering::SeqCst);
    let answered: u32 = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .sum();
    assert_eq!(*failures.lock().unwrap(), Vec::<String>::new());
    assert!(answered > 100, "the load must be one: {answered}");
    old.signal("-KILL");
    until(&new.log, "accepts clients");
    let mut client = Client(TcpStream::connect(held.listener.local_addr().unwrap()).unwrap());
    client.ask(1, "page-bits", "20000", &[], b"");
    assert!(client.hear().unwrap().contains("bytes"));
    assert_eq!(
        asked[1].load(Ordering::SeqCst),
        before[1],
        "the other one is out now"
    );
    assert!(
        asked[0].load(Ordering::SeqCst) > out,
        "and the first is back"
    );
}

#[test]
fn a_new_process_whose_operators_address_is_taken_serves_all_the_same_and_answers_there_once_it_is_free(
) {
    // A start that ended with one line left the front without a next process: the old one keeps its address until its end,
    // and any connection of the machine may have been given the port for a moment.
    let stage = Stage::new(|_| {});
    stage
        .caches
        .iter()
        .chain([&stage.origin])
        .for_each(|member| drop(answering(member)));
    let held = Held::new(&stage.config);
    let (mut old, at) = held.start();
    let mut config = held.config.clone();
    config["ops"] = at.to_string().into();
    let mut new = held.begin(&config);
    until(&new.log, "address for operators is in use");
    until(&new.log, "waits for another process");
    assert_eq!(call(at, "health"), "+OK serving\n", "the old one answers");
    old.signal("-TERM");
    until(&new.log, "accepts clients");
    let mut client = Client(TcpStream::connect(held.listener.local_addr().unwrap()).unwrap());
    client.ask(1, "page-bits", "20000", &[], b"");
    assert!(client.hear().unwrap().contains("bytes"));
    assert!(old.front.wait().unwrap().success());
    until(&new.log, "operator listener open");
    assert_eq!(
        figures(at)["handled.page-bits.passed"],
        1,
        "it is the new one that answers now"
    );
    new.signal("-TERM");
    assert!(new.front.wait().unwrap().success());
    // Where nobody stands beside it, an address that is taken is an error of the configuration.
    let mut config = stage.config.clone();
    config["ops"] = stage.address.to_string().into();
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
fn what_is_no_listening_socket_ends_the_start_with_one_line() {
    let stage = Stage::new(|_| {});
    let refused = |fd: &str| {
        let (mut front, _file) = start_in(&stage.config, None, &[("RELAY_ACCEPT_FD", fd)]);
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
    let plain = TcpStream::connect(stage.address).unwrap();
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
    // Named and not handed over: the program's own first descriptor gets that number, and is not to be taken for it.
    let mut file = tempfile::NamedTempFile::new().unwrap();
    file.write_all(stage.config.to_string().as_bytes()).unwrap();
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
