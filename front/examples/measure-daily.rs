//! Measures routine operations on loopback: the latency of `health` and `counters` under full load, failed client requests
//! during 100 replacements of the process, and the memory and descriptors of both processes together. `make measure-daily` runs it;
//! the results are in `docs/design/daily.md`.
#[path = "../tests/common/mod.rs"]
mod common;
use common::operations::*;
use common::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Instant;

const CALLS_PER_COMMAND: usize = 400;
const REPLACEMENTS: usize = 100;

/// Resident memory in KB and number of open descriptors of a process.
fn memory_kb_and_descriptors(process: &Process) -> (u64, usize) {
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
    let front = TestFront::new(|_| {});
    front
        .caches
        .iter()
        .chain([&front.origin])
        .for_each(|endpoint| drop(serve_hits(endpoint)));
    let service_manager = InheritedListener::new(&front.config);
    let (mut old, mut ops) = service_manager.start();
    let (stop, failures) = (Arc::new(AtomicBool::new(false)), Arc::default());
    let clients = start_load(
        service_manager.listener.local_addr().unwrap(),
        &stop,
        &failures,
        32,
    );
    // Warm up until connections are open and every endpoint has been used.
    while counters(ops)["handled.page-bits.passed"] < 10_000 {}
    let before = counters(ops)["handled.page-bits.passed"];
    let started = Instant::now();
    for word in ["health", "counters"] {
        let mut latencies_us: Vec<_> = (0..CALLS_PER_COMMAND)
            .map(|_| {
                let started = Instant::now();
                assert!(operator_command(ops, word).starts_with("+OK"));
                started.elapsed().as_micros()
            })
            .collect();
        latencies_us.sort_unstable();
        let percentile = |percent: usize| {
            latencies_us[(CALLS_PER_COMMAND * percent / 100).min(CALLS_PER_COMMAND - 1)]
        };
        println!(
            "{word}: p50 {} us, p99 {} us, max {} us",
            percentile(50),
            percentile(99),
            percentile(100)
        );
    }
    let served = counters(ops)["handled.page-bits.passed"] - before;
    println!(
        "under a load of {:.0} requests per second",
        served as f64 / started.elapsed().as_secs_f64()
    );
    let (mut max, mut end_times_ms) = ((0, 0), Vec::new());
    for _ in 0..REPLACEMENTS {
        let (new, new_ops) = service_manager.start();
        wait_for_line(&new.log, "waits for another process");
        let started = Instant::now();
        old.signal("-TERM");
        wait_for_line(&new.log, "accepts clients");
        let both = [
            memory_kb_and_descriptors(&old),
            memory_kb_and_descriptors(&new),
        ];
        max = (
            max.0.max(both[0].0 + both[1].0),
            max.1.max(both[0].1 + both[1].1),
        );
        assert!(old.child.wait().unwrap().success());
        end_times_ms.push(started.elapsed().as_millis());
        (old, ops) = (new, new_ops);
    }
    assert!(operator_command(ops, "health").starts_with("+OK"));
    stop.store(true, Ordering::SeqCst);
    let responses: u32 = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .sum();
    end_times_ms.sort_unstable();
    println!(
        "{REPLACEMENTS} replacements with {responses} successful requests: {} requests failed",
        failures.lock().unwrap().len()
    );
    println!(
        "the old process exits after {} ms (median), {} ms at most",
        end_times_ms[REPLACEMENTS / 2],
        end_times_ms[REPLACEMENTS - 1]
    );
    println!(
        "both processes together: {} KB and {} descriptors at most",
        max.0, max.1
    );
}
