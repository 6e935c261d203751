//! Faults after idle periods, during long outages and in combination.
mod common;
use common::closing::close_all;
use common::*;
use cranesill_rig::{Behavior, ClusterSize, Observation, ServiceMode, State};
use serde_json::Value;
use std::io::Write;
use std::net::TcpListener;
use std::path::Path;
use std::time::{Duration, Instant};

fn start_cluster(shape: ClusterSize, seed: u64) -> cranesill_rig::TestCluster {
    let base: Value = serde_json::from_str(include_str!("../examples/config.json")).unwrap();
    cranesill_rig::TestCluster::start(
        Path::new(env!("CARGO_BIN_EXE_cranesill")),
        shape,
        &base,
        None,
        seed,
    )
}

const SHAPE: ClusterSize = ClusterSize {
    fronts: 4,
    caches: 4,
    parents: 2,
    link_groups: 1,
};

/// Longer than clients' and nodes' idle connections are kept.
const IDLE_PERIOD: Duration = Duration::from_secs(15);

#[test]
fn faults_after_a_long_idle_period_violate_no_invariant() {
    let mut cluster = start_cluster(SHAPE, 31);
    let clients = cluster.start_clients(31);
    cluster.wait_served("initial responses", 200);
    clients.stop();
    std::thread::sleep(IDLE_PERIOD);
    // Together with the first requests: a node is silent, one drains, connections break, a front restarts.
    cluster.nodes.set(0, Behavior::Silent);
    let drained = cluster.set_node_state(1, State::Draining);
    (0..cluster.node_count()).for_each(|index| cluster.reset_connections(0, index));
    cluster.kill(&[3]);
    cluster.restart(&[3]);
    let clients = cluster.start_clients(32);
    cluster.history.wait_for(
        "event received by all fronts",
        4,
        |seen| matches!(seen, Observation::EventSent(_, n) if *n == drained),
    );
    cluster.wait_served("responses after the idle period", 400);
    clients.stop();
    cluster.assert_no_violations(31);
}

#[test]
fn long_discovery_outage_with_restarts_and_drains_violates_no_invariant() {
    let mut cluster = start_cluster(SHAPE, 33);
    let clients = cluster.start_clients(33);
    cluster.wait_served("initial responses", 200);
    cluster.list_service.set(ServiceMode::Down);
    let down = Instant::now();
    cluster.kill(&[0, 1]);
    cluster.restart(&[0, 1]);
    while down.elapsed() < IDLE_PERIOD {
        cluster.wait_served("responses without the list service", 50);
    }
    // The service returns together with drains of half of the caches and a restart.
    cluster.publish_all(&[(0, State::Draining), (1, State::Draining)]);
    cluster.list_service.set(ServiceMode::Serve);
    cluster.kill(&[2]);
    cluster.restart(&[2]);
    cluster.wait_served("responses after the outage", 400);
    clients.stop();
    cluster.assert_no_violations(33);
}

#[test]
fn attempt_and_hedged_request_that_fail_together_yield_one_response() {
    let setup =
        TestFront::new(|config| config["settings"]["policyLimits"]["mayDuplicate"] = true.into());
    let mut client = setup.client();
    client.request(1, "page-bits", "20000", &[], b"");
    let (_, mut first) = accept_any_node(&setup);
    first.receive().unwrap();
    // The first node is silent, so a hedged request follows.
    let (_, mut second) = accept_any_node(&setup);
    second.receive().unwrap();
    setup.while_stopped(|| {
        for node in [&first, &second] {
            socket2::SockRef::from(node.0.get_ref())
                .set_linger(Some(Duration::ZERO))
                .unwrap();
        }
        close_all([first, second].map(|node| node.0.into_inner()));
    });
    let (_, mut third) = accept_any_node(&setup);
    let fetch = third.receive().unwrap();
    third.respond(&fetch[1], "HIT", "-", "in the end");
    assert!(client.receive().unwrap().ends_with("in the end"));
    client.send(20, 2, &[0]);
    assert!(
        client.receive().unwrap().starts_with("type 21"),
        "more than one response"
    );
}

#[test]
fn rapid_reloads_lose_no_event_and_no_request() {
    let setup = TestFront::new(|_| {});
    let (mut old, _) = accept_feed(&setup.feed);
    old.write_all(&feed_event(2, 4, &[0; 10])).unwrap();
    let mut client = setup.client();
    client.request(1, "page-bits", "20000", &[], b"");
    let (_, mut cache) = accept_any_node(&setup);
    let fetch = cache.receive().unwrap();
    let feeds: Vec<_> = (0..8)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    for moved in &feeds {
        let mut config = setup.config.clone();
        config["feed"] = moved.local_addr().unwrap().to_string().into();
        // Replaced atomically, as a partially written file is another test's subject.
        let aside = setup.file.with_extension("new");
        std::fs::write(&aside, config.to_string()).unwrap();
        std::fs::rename(&aside, &setup.file).unwrap();
        setup.signal("-HUP");
    }
    // The last address counts, and the feed resumes after the last event.
    let (mut new, last) = accept_feed(&feeds[7]);
    assert_eq!(last, 2);
    let nodes = [0, 1]
        .map(|i| node_record(CACHE_IDS[i], setup.caches[i].local_addr().unwrap(), 1, 0))
        .concat();
    new.write_all(&feed_event(3, 2, &nodes)).unwrap();
    cache.respond(&fetch[1], "HIT", "-", "undisturbed");
    assert!(client.receive().unwrap().ends_with("undisturbed"));
    std::thread::sleep(Duration::from_millis(500));
    client.request(2, "page-bits", "20000", &[], b"");
    let mut origin = accept_node(&setup.origin);
    let fetch = origin.receive().unwrap();
    origin.respond(&fetch[1], "HIT", "-", "by the last list");
    assert!(client.receive().unwrap().ends_with("by the last list"));
}

/// A reload that finds the address of the list service unchanged must not close a connection on which events are in flight.
#[test]
fn repeated_reload_of_one_address_keeps_the_connection_to_the_list_service() {
    let setup = TestFront::new(|_| {});
    drop(accept_feed(&setup.feed));
    let moved = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = setup.config.clone();
    config["feed"] = moved.local_addr().unwrap().to_string().into();
    std::fs::write(&setup.file, config.to_string()).unwrap();
    setup.signal("-HUP");
    let (mut feed, _) = accept_feed(&moved);
    wait_for_line(&setup.log, "SIGHUP: configuration read");
    setup.signal("-HUP");
    wait_for_line(&setup.log, "SIGHUP: configuration read");
    // The turn of the reload is over once a later request is answered.
    assert!(setup.readiness().unwrap().starts_with("type 21"));
    let mut client = setup.client();
    let nodes = [0, 1]
        .map(|i| node_record(CACHE_IDS[i], setup.caches[i].local_addr().unwrap(), 1, 0))
        .concat();
    // Both arrive in one turn, in which the event is applied first.
    setup.while_stopped(|| {
        feed.write_all(&feed_event(2, 2, &nodes)).unwrap();
        client.request(1, "page-bits", "20000", &[], b"");
    });
    const ORIGIN: usize = 2;
    let (node, _connection) = accept_any_node(&setup);
    assert_eq!(node, ORIGIN, "an event on the open connection was lost");
}

#[test]
fn requests_with_short_deadlines_are_answered_in_time_by_silent_nodes() {
    let setup = TestFront::new(|_| {});
    // Nodes that accept connections and never respond.
    for at in [&setup.caches[0], &setup.caches[1], &setup.origin] {
        let at = at.try_clone().unwrap();
        std::thread::spawn(move || {
            let mut all = Vec::new();
            for stream in at.incoming().map_while(Result::ok) {
                all.push(stream);
            }
        });
    }
    let mut client = setup.client();
    for (stream, limit) in (1u32..).zip([1u64, 3, 10, 30, 100]) {
        for class in ["page-bits", "book-car"] {
            let stream = 2 * stream + u32::from(class == "book-car");
            let sent_at = Instant::now();
            client.request(
                stream,
                class,
                &limit.to_string(),
                &[("part", &stream.to_string())],
                b"keys",
            );
            assert!(
                client
                    .receive()
                    .unwrap()
                    .starts_with(&format!("type 11 stream {stream}")),
                "{limit} {class}"
            );
            // A response half a second after the deadline would be lost.
            assert!(
                sent_at.elapsed() < Duration::from_millis(limit + 500),
                "{limit} {class}"
            );
        }
    }
}
