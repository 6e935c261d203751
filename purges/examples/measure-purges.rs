//! Benchmarks purge matching, the purge log and its journal. Run with `make measure-purges`; `docs/design/purges.md` has
//! the results.
use cranesill_purges::journal::{self, JournalFile, OpenedJournal};
use cranesill_purges::log::{Command, Prepared, PurgeLog};
use cranesill_purges::matching::{compile_patterns, PurgeMatcher, RequestAttributes, TagIndex};
use cranesill_purges::{request_key, Purge, PurgeTarget};
use std::io;
use std::time::{Duration, Instant};

struct MemoryFile(Vec<u8>);

impl JournalFile for MemoryFile {
    fn read(&mut self) -> io::Result<Option<Vec<u8>>> {
        Ok(Some(self.0.clone()))
    }
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.extend(bytes);
        Ok(())
    }
    fn sync(&mut self) -> io::Result<()> {
        Ok(())
    }
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0 = bytes.to_vec();
        Ok(())
    }
}

fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ')
        .nth(1)
        .and_then(|p| p.parse::<u64>().ok())
        .unwrap_or(0)
        * 4_096
}

fn purge(number: u64, target: PurgeTarget) -> Purge {
    let id = number.to_string().into();
    Purge {
        number,
        at_ms: number,
        target,
        id,
        who: "ops".into(),
        why: "new photos".into(),
    }
}

fn measure_floor(matcher: &PurgeMatcher, index: &TagIndex, case: &str) {
    let iterations = 400_000u64;
    let (mut sum, started_at) = (0u64, Instant::now());
    for i in 0..iterations {
        let object = i.wrapping_mul(0x9e37_79b9_7f4a_7c15) % 200_000;
        let key = request_key("page-bits", object, (i % 4) as u32);
        let request = RequestAttributes {
            object,
            group: (i % 256) as u32,
            tags: index.tags(object),
            key: &key,
        };
        sum = sum.wrapping_add(matcher.floor(0, &request));
    }
    let nanos_per_request = started_at.elapsed().as_nanos() as f64 / iterations as f64;
    println!(
        "{case}: {nanos_per_request:.0} ns per request, including the request key (checksum {sum})"
    );
}

fn main() {
    let index = measure_index();
    measure_matching(&index);
    let log = measure_journal();
    measure_disk(&log);
}

fn measure_index() -> TagIndex {
    const MODELS: [&str; 4] = ["vitara", "swift", "alto", "dzire"];
    let mut index = TagIndex::new(4 << 20);
    let before = resident_bytes();
    let started_at = Instant::now();
    for object in 0..200_000u64 {
        index.record(object, Some(&[MODELS[object as usize % 4], "blue"]));
    }
    let known = (0..200_000).filter(|o| index.tags(*o).is_some()).count();
    println!(
        "tag index of 4 MiB: {known} of 200000 objects known, {:.0} ns per recorded object, {} more bytes resident",
        started_at.elapsed().as_nanos() as f64 / 2e5,
        resident_bytes().saturating_sub(before)
    );
    index
}

fn measure_matching(index: &TagIndex) {
    let mut matcher = PurgeMatcher::default();
    measure_floor(&matcher, index, "no purge");
    for number in 1..=10_000u64 {
        let target = match number % 3 {
            0 => PurgeTarget::Object(number * 17),
            1 => PurgeTarget::Group((number % 256) as u32),
            _ => PurgeTarget::Tag(format!("tag-{number}").into()),
        };
        matcher.add(&purge(number, target), 0);
    }
    measure_floor(&matcher, index, "10,000 purges");
    let mut max_duration = Duration::ZERO;
    for number in 10_001..=11_000u64 {
        let pattern = match number % 3 {
            0 => format!("car-video/{number:x}*/*"),
            1 => format!("page-*/*{number:x}/?"),
            _ => format!("*/{:016x}/*", number * 31),
        };
        matcher.add(&purge(number, PurgeTarget::Pattern(pattern.into())), 0);
        if let Some(job) = matcher.take_compile_job() {
            let started_at = Instant::now();
            let set = compile_patterns(job);
            max_duration = max_duration.max(started_at.elapsed());
            matcher.install(set);
        }
    }
    measure_floor(&matcher, index, "10,000 purges and 1,000 patterns");
    println!(
        "compilation of the patterns on a worker thread: at most {} us; {} bytes resident",
        max_duration.as_micros(),
        resident_bytes()
    );
}

/// Fills a log and its in-memory journal with a million purges, and reads the journal back.
fn measure_journal() -> PurgeLog {
    let before = resident_bytes();
    let started_at = Instant::now();
    let mut log = PurgeLog::new(7);
    let mut file = MemoryFile(Vec::new());
    journal::rewrite(&mut file, &log).unwrap();
    for n in 0..1_000_000u64 {
        let command = Command {
            target: PurgeTarget::Object(n),
            id: n.to_string().into(),
            who: "ops".into(),
            why: "new photos".into(),
            all: false,
        };
        let Ok(Prepared::New(purge)) = log.prepare(n, &command) else {
            panic!()
        };
        journal::append_purge(&mut file, &purge).unwrap();
        log.append(7, purge).unwrap();
    }
    println!(
        "log of a million purges: {} bytes in the journal, {} bytes resident, {:.0} ns per append without disk",
        file.0.len(),
        resident_bytes().saturating_sub(before),
        started_at.elapsed().as_nanos() as f64 / 1e6
    );
    drop(log);
    let started_at = Instant::now();
    let Ok(OpenedJournal::Complete { log, .. }) = journal::open(&mut file) else {
        panic!()
    };
    println!(
        "reading the journal: {} ms for {} purges",
        started_at.elapsed().as_millis(),
        log.last_number()
    );
    log
}

fn measure_disk(log: &PurgeLog) {
    let directory = std::env::temp_dir().join(format!("measure-purges-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let mut file = std::fs::File::create(directory.join("journal")).unwrap();
    let bytes = journal::encode_record(log.get(1).unwrap());
    let mut durations = Vec::new();
    for _ in 0..500 {
        let started_at = Instant::now();
        io::Write::write_all(&mut file, &bytes).unwrap();
        file.sync_data().unwrap();
        durations.push(started_at.elapsed().as_micros());
    }
    durations.sort_unstable();
    println!(
        "append and sync of one purge on this disk: p50 {} us, p99 {} us",
        durations[250], durations[495]
    );
    std::fs::remove_dir_all(&directory).unwrap();
}
