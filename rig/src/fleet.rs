//! Processes of the program.
use crate::socket_faults::SocketFaults;
use serde_json::Value;
use std::io::Write;
use std::net::SocketAddr;
use std::os::unix::fs::FileExt;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// What the machine of one process does, as the library that is loaded into it is told (`shim/`).
pub struct FaultInjector {
    words: std::fs::File,
}

impl FaultInjector {
    fn new(file: &Path) -> Self {
        let words = std::fs::File::options()
            .create(true)
            .truncate(true)
            .read(true)
            .write(true)
            .open(file);
        let machine = FaultInjector {
            words: words.expect("a file"),
        };
        (0..crate::socket_faults::WORD_COUNT).for_each(|index| machine.set_word(index, 0));
        machine
    }

    fn set_word(&self, index: u64, word: i64) {
        self.words
            .write_all_at(&word.to_ne_bytes(), index * 8)
            .expect("a file");
    }

    /// Its wall clock is ahead by so many milliseconds, or behind.
    pub fn set_clock_offset(&self, ahead_ms: i64) {
        self.set_word(0, ahead_ms);
    }

    /// Files under [`Fleet::disk`] can't be written; syncs of them fail.
    pub fn set_disk_faults(&self, full: bool, unsynced: bool) {
        self.set_word(1, i64::from(full) | i64::from(unsynced) << 1);
    }

    /// System calls on its sockets fail or are cut short like this; `None`: they do what the system does.
    pub fn set_socket_faults(&self, faults: Option<&SocketFaults>) {
        // The mask comes last and goes first: no call sees half of what is said.
        self.set_word(crate::socket_faults::FAILING_CALLS, 0);
        let words = faults.map(SocketFaults::words).unwrap_or_default();
        words
            .into_iter()
            .rev()
            .for_each(|(index, word)| self.set_word(index, word));
    }

    /// How many system calls on its sockets have failed by [`FaultInjector::sockets`] since it was made.
    pub fn socket_fault_count(&self) -> i64 {
        let mut word = [0; 8];
        self.words
            .read_exact_at(&mut word, crate::socket_faults::FAILURE_COUNT * 8)
            .expect("a file");
        i64::from_ne_bytes(word)
    }

    /// A sync of such a file takes this long.
    pub fn set_sync_delay(&self, duration: Duration) {
        self.set_word(2, duration.as_millis() as i64);
    }
}

/// The library that is loaded into each process: it is built beside this.
fn shim_library() -> PathBuf {
    let exe = std::env::current_exe().expect("a program");
    let candidates = exe
        .ancestors()
        .skip(1)
        .take(2)
        .flat_map(|at| [at.to_path_buf(), at.join("deps")]);
    let mut found = candidates.map(|at| at.join("libcranesill_shim.so"));
    found
        .find(|at| at.exists())
        .expect("libcranesill_shim.so is built with the rig")
}

/// Some processes of the program, each with a configuration of its own. All are ended with this.
pub struct Fleet {
    binary: PathBuf,
    folder: tempfile::TempDir,
    settings: bool,
    shim: PathBuf,
    /// Of each process, dead or alive.
    pub injectors: Vec<FaultInjector>,
    processes: Vec<Option<Child>>,
    /// How often each was started.
    starts: Vec<usize>,
}

impl Fleet {
    /// Starts so many processes at once, each with what `config` makes of its number.
    ///
    /// `settings` are the daemon's own; `{nnnn}` in them is the number of the process in four digits, `{disk}` a folder for its
    /// files; `None`: it is started without.
    pub fn start(
        binary: &Path,
        count: usize,
        settings: Option<&Value>,
        config: impl Fn(usize) -> Value,
    ) -> Self {
        Fleet::start_with_clocks(binary, count, settings, &[], config)
    }

    /// The same on injectors whose wall clocks are ahead by so many milliseconds.
    pub fn start_with_clocks(
        binary: &Path,
        count: usize,
        settings: Option<&Value>,
        clocks: &[i64],
        config: impl Fn(usize) -> Value,
    ) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let (binary, starts) = (binary.to_path_buf(), vec![1; count]);
        let machine = |n: usize| FaultInjector::new(&folder.path().join(format!("{n}.machine")));
        let injectors: Vec<_> = (0..count).map(machine).collect();
        injectors
            .iter()
            .zip(clocks)
            .for_each(|(machine, ahead)| machine.set_clock_offset(*ahead));
        std::fs::create_dir(folder.path().join("disk")).expect("a folder");
        let (has_settings, processes) = (settings.is_some(), Vec::new());
        let shim = shim_library();
        let mut fleet = Fleet {
            binary,
            folder,
            settings: has_settings,
            shim,
            injectors,
            processes,
            starts,
        };
        for n in 0..count {
            let file = std::fs::File::create(fleet.config_file(n))
                .and_then(|mut f| f.write_all(config(n).to_string().as_bytes()));
            file.expect("a file");
            if let Some(settings) = settings {
                let text = settings.to_string().replace("{nnnn}", &format!("{n:04}"));
                let text = text.replace("{disk}", &fleet.disk_dir().display().to_string());
                std::fs::write(fleet.settings_file(n), text).expect("a file");
            }
        }
        // What is slow is done before: they start in step.
        fleet.processes = (0..count).map(|n| Some(fleet.spawn(n))).collect();
        fleet
    }

    /// Where files of the processes lie whose disk is in the test's hand.
    pub fn disk_dir(&self) -> PathBuf {
        self.folder.path().join("disk")
    }

    fn config_file(&self, n: usize) -> PathBuf {
        self.folder.path().join(format!("{n}.json"))
    }

    fn settings_file(&self, n: usize) -> PathBuf {
        self.folder.path().join(format!("{n}.settings.json"))
    }

    fn spawn(&self, n: usize) -> Child {
        let mut command = Command::new(&self.binary);
        command.arg("serve");
        if self.settings {
            command.arg("--settings").arg(self.settings_file(n));
        }
        command
            .arg(self.config_file(n))
            .stdin(Stdio::null())
            .stdout(Stdio::null());
        command
            .env("LD_PRELOAD", &self.shim)
            .env("CRANESILL_SHIM_FILES", self.disk_dir());
        command.env(
            "CRANESILL_SHIM",
            self.folder.path().join(format!("{n}.machine")),
        );
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.path().join(format!("{n}.log")));
        command.stderr(log.expect("a log"));
        // SAFETY: between fork and exec one system call is made that takes numbers alone and allocates nothing.
        unsafe {
            command.pre_exec(
                || match libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) {
                    0 => Ok(()),
                    _ => Err(std::io::Error::last_os_error()),
                },
            );
        }
        command.spawn().expect("the program starts")
    }

    /// The id of a process that lives.
    pub fn id(&self, n: usize) -> Option<u32> {
        self.processes[n].as_ref().map(Child::id)
    }

    /// How many there are, dead or alive.
    pub fn len(&self) -> usize {
        self.processes.len()
    }

    /// The process id of a front that runs.
    pub fn process_id(&self, n: usize) -> Option<u32> {
        self.processes[n].as_ref().map(Child::id)
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.processes.is_empty()
    }

    /// Sends some of them a signal.
    pub fn signal(&self, numbers: impl IntoIterator<Item = usize>, signal: i32) {
        for child in numbers
            .into_iter()
            .filter_map(|n| self.processes[n].as_ref())
        {
            // SAFETY: the call takes numbers alone; the process was begun here and has not been waited for.
            unsafe { libc::kill(child.id() as i32, signal) };
        }
    }

    /// Kills some outright and waits for their ends.
    pub fn kill(&mut self, numbers: impl IntoIterator<Item = usize>) {
        for n in numbers {
            if let Some(mut child) = self.processes[n].take() {
                child
                    .kill()
                    .and_then(|()| child.wait().map(drop))
                    .expect("it was begun here");
            }
        }
    }

    /// Starts some anew that were killed, with the same configuration.
    pub fn restart(&mut self, numbers: impl IntoIterator<Item = usize>) {
        for n in numbers {
            if self.processes[n].is_none() {
                self.processes[n] = Some(self.spawn(n));
                self.starts[n] += 1;
            }
        }
    }

    /// What one has logged.
    pub fn log(&self, n: usize) -> String {
        std::fs::read_to_string(self.folder.path().join(format!("{n}.log"))).unwrap_or_default()
    }

    /// Where the latest process of a front listens, once it does.
    pub fn address(&self, n: usize) -> SocketAddr {
        let until = Instant::now() + crate::WAIT_TIMEOUT;
        loop {
            let log = self.log(n);
            let lines: Vec<_> = log
                .lines()
                .filter(|line| line.contains(" listening "))
                .collect();
            let at = lines
                .get(self.starts[n] - 1)
                .and_then(|line| line.split_once(" at=")?.1.split(' ').next());
            if let Some(at) = at.and_then(|at| at.parse().ok()) {
                return at;
            }
            assert!(Instant::now() < until, "front {n} does not listen: {log}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Those that have ended by themselves, each with its log.
    pub fn exited(&mut self) -> Vec<(usize, String)> {
        let mut exited = Vec::new();
        for (n, child) in self.processes.iter_mut().enumerate() {
            if child
                .as_mut()
                .is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
            {
                exited.push(n);
            }
        }
        exited.into_iter().map(|n| (n, self.log(n))).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.processes.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
