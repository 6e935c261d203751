//! Measures daily use on loopback: how long `health` and `counters` take at full load, what a hundred replacements under
//! load cost clients, and the memory and descriptors of both processes together. `make measure-daily` runs it; the figures
//! stand in `docs/design/daily.md`.
#[path = "../tests/common/mod.rs"]
mod common;
use common::operations::*;
use common::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Instant;

const CALLS: usize = 400;
const REPLACEMENTS: usize = 100;

/// Memory in KB and descriptors of a process.
fn held(process: &Process) -> (u64, usize) {
    let folder = format!("/proc/{}", process.child.id());
    let status = std::fs::read_to_string(format!("{folder}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kb = line
        .and_then(|l| l.split_whitespace().next()?.parse().ok())
        .unwrap_or(0);
    (
        kb,
        std::fs::read_dir(format!("{folder}/fd")).map_or(0, Iterator::count),
    )
}

fn main() {
    let stage = TestFront::new(|_| {});
    stage
        .caches
        .iter()
        .chain([&stage.origin])
        .for_each(|member| drop(serve_hits(member)));
    let platform = InheritedListener::new(&stage.config);
    let (mut old, mut ops) = platform.start();
    let (over, failures) = (Arc::new(AtomicBool::new(false)), Arc::default());
    let clients = start_load(
        platform.listener.local_addr().unwrap(),
        &over,
        &failures,
        32,
    );
    // Warm: connections are made and the members known.
    while counters(ops)["handled.page-bits.passed"] < 10_000 {}
    let before = counters(ops)["handled.page-bits.passed"];
    let began = Instant::now();
    for word in ["health", "counters"] {
        let mut took: Vec<_> = (0..CALLS)
            .map(|_| {
                let began = Instant::now();
                assert!(operator_command(ops, word).starts_with("+OK"));
                began.elapsed().as_micros()
            })
            .collect();
        took.sort_unstable();
        let of = |share: usize| took[(CALLS * share / 100).min(CALLS - 1)];
        println!(
            "{word}: p50 {} us, p99 {} us, max {} us",
            of(50),
            of(99),
            of(100)
        );
    }
    let served = counters(ops)["handled.page-bits.passed"] - before;
    println!(
        "beside {:.0} requests a second",
        served as f64 / began.elapsed().as_secs_f64()
    );
    let (mut most, mut ends) = ((0, 0), Vec::new());
    for _ in 0..REPLACEMENTS {
        let (new, new_ops) = platform.start();
        wait_for_line(&new.log, "waits for another process");
        let began = Instant::now();
        old.signal("-TERM");
        wait_for_line(&new.log, "accepts clients");
        let both = [held(&old), held(&new)];
        most = (
            most.0.max(both[0].0 + both[1].0),
            most.1.max(both[0].1 + both[1].1),
        );
        assert!(old.child.wait().unwrap().success());
        ends.push(began.elapsed().as_millis());
        (old, ops) = (new, new_ops);
    }
    assert!(operator_command(ops, "health").starts_with("+OK"));
    over.store(true, Ordering::SeqCst);
    let answered: u32 = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .sum();
    ends.sort_unstable();
    println!(
        "{REPLACEMENTS} replacements beside {answered} answers: {} met a closed door",
        failures.lock().unwrap().len()
    );
    println!(
        "the old process ends after {} ms (median), {} ms at most",
        ends[REPLACEMENTS / 2],
        ends[REPLACEMENTS - 1]
    );
    println!(
        "both processes together: {} KB and {} descriptors at most",
        most.0, most.1
    );
}
