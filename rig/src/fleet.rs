//! Processes of the program and the faults that the preloaded library injects into them.
use crate::socket_faults::SocketFaults;
use serde_json::Value;
use std::io::Write;
use std::net::SocketAddr;
use std::os::unix::fs::FileExt;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Controls clock, disk and socket faults of one process through the file that the preloaded library maps (`shim/`).
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
            words: words.expect("open the fault file"),
        };
        (0..crate::socket_faults::WORD_COUNT).for_each(|index| machine.set_word(index, 0));
        machine
    }

    fn set_word(&self, index: u64, word: i64) {
        self.words
            .write_all_at(&word.to_ne_bytes(), index * 8)
            .expect("write the fault file");
    }

    /// Shifts the wall clock of the process by this many milliseconds.
    pub fn set_clock_offset(&self, ahead_ms: i64) {
        self.set_word(0, ahead_ms);
    }

    /// Sets whether writes to files under [`Fleet::disk_dir`] fail with a full disk, and whether syncs fail.
    pub fn set_disk_faults(&self, full: bool, unsynced: bool) {
        self.set_word(1, i64::from(full) | i64::from(unsynced) << 1);
    }

    /// Makes system calls on TCP sockets fail or transfer fewer bytes; `None` restores normal operation.
    pub fn set_socket_faults(&self, faults: Option<&SocketFaults>) {
        // The set of failing calls is cleared first and written last, so that no call uses a partial configuration.
        self.set_word(crate::socket_faults::FAILING_CALLS, 0);
        let words = faults.map(SocketFaults::words).unwrap_or_default();
        words
            .into_iter()
            .rev()
            .for_each(|(index, word)| self.set_word(index, word));
    }

    /// Number of system calls that have failed because of [`FaultInjector::set_socket_faults`].
    pub fn socket_fault_count(&self) -> i64 {
        let mut word = [0; 8];
        self.words
            .read_exact_at(&mut word, crate::socket_faults::FAILURE_COUNT * 8)
            .expect("read the fault file");
        i64::from_ne_bytes(word)
    }

    /// Delays each sync of a file under [`Fleet::disk_dir`].
    pub fn set_sync_delay(&self, duration: Duration) {
        self.set_word(2, duration.as_millis() as i64);
    }
}

/// Path of the library that is preloaded into each process; cargo builds it next to the test.
fn shim_library() -> PathBuf {
    let exe = std::env::current_exe().expect("path of the test executable");
    let candidates = exe
        .ancestors()
        .skip(1)
        .take(2)
        .flat_map(|at| [at.to_path_buf(), at.join("deps")]);
    let mut found = candidates.map(|at| at.join("libcranesill_shim.so"));
    found
        .find(|at| at.exists())
        .expect("libcranesill_shim.so not found next to the test executable")
}

/// Processes of the program, each with its own configuration. Dropping the fleet kills them.
pub struct Fleet {
    binary: PathBuf,
    folder: tempfile::TempDir,
    settings: bool,
    shim: PathBuf,
    /// Fault injector of each process, running or not.
    pub injectors: Vec<FaultInjector>,
    processes: Vec<Option<Child>>,
    /// Number of starts of each process.
    starts: Vec<usize>,
}

impl Fleet {
    /// Starts `count` processes, with the configuration that `config` returns for the process number.
    ///
    /// `settings` are the daemon settings, in which `{nnnn}` stands for the process number in four digits and `{disk}` for
    /// [`Fleet::disk_dir`]; `None` starts the processes without settings.
    pub fn start(
        binary: &Path,
        count: usize,
        settings: Option<&Value>,
        config: impl Fn(usize) -> Value,
    ) -> Self {
        Fleet::start_with_clocks(binary, count, settings, &[], config)
    }

    /// Like [`Fleet::start`], with wall clocks that are ahead by `clocks` milliseconds, process by process.
    pub fn start_with_clocks(
        binary: &Path,
        count: usize,
        settings: Option<&Value>,
        clocks: &[i64],
        config: impl Fn(usize) -> Value,
    ) -> Self {
        let folder = tempfile::tempdir().expect("temporary folder");
        let (binary, starts) = (binary.to_path_buf(), vec![1; count]);
        let machine = |n: usize| FaultInjector::new(&folder.path().join(format!("{n}.machine")));
        let injectors: Vec<_> = (0..count).map(machine).collect();
        injectors
            .iter()
            .zip(clocks)
            .for_each(|(machine, ahead)| machine.set_clock_offset(*ahead));
        std::fs::create_dir(folder.path().join("disk")).expect("disk folder");
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
            file.expect("write the configuration");
            if let Some(settings) = settings {
                let text = settings.to_string().replace("{nnnn}", &format!("{n:04}"));
                let text = text.replace("{disk}", &fleet.disk_dir().display().to_string());
                std::fs::write(fleet.settings_file(n), text).expect("write the settings");
            }
        }
        // All files are written first, so that the processes start at nearly the same time.
        fleet.processes = (0..count).map(|n| Some(fleet.spawn(n))).collect();
        fleet
    }

    /// Folder for the processes' files to which disk faults apply.
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
        command.stderr(log.expect("open the log file"));
        // SAFETY: the closure runs between fork and exec, makes one system call with numeric arguments and does not allocate.
        unsafe {
            command.pre_exec(
                || match libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) {
                    0 => Ok(()),
                    _ => Err(std::io::Error::last_os_error()),
                },
            );
        }
        command.spawn().expect("start the program")
    }

    /// Number of processes, running or not.
    pub fn len(&self) -> usize {
        self.processes.len()
    }

    /// Process id of a running front; `None` if it was killed.
    pub fn process_id(&self, n: usize) -> Option<u32> {
        self.processes[n].as_ref().map(Child::id)
    }

    /// Whether the fleet has no processes.
    pub fn is_empty(&self) -> bool {
        self.processes.is_empty()
    }

    /// Sends a signal to those of the given processes that are running.
    pub fn signal(&self, numbers: impl IntoIterator<Item = usize>, signal: i32) {
        for child in numbers
            .into_iter()
            .filter_map(|n| self.processes[n].as_ref())
        {
            // SAFETY: the call takes numbers only; the process is a child of this one and was not waited for.
            unsafe { libc::kill(child.id() as i32, signal) };
        }
    }

    /// Kills the given processes with SIGKILL and waits for them.
    pub fn kill(&mut self, numbers: impl IntoIterator<Item = usize>) {
        for n in numbers {
            if let Some(mut child) = self.processes[n].take() {
                child
                    .kill()
                    .and_then(|()| child.wait().map(drop))
                    .expect("kill and wait for a child process");
            }
        }
    }

    /// Waits until a process exits by itself, and kills it after `timeout`. Returns its exit code; `None` if a signal ended it.
    pub fn wait_exit(&mut self, n: usize, timeout: Duration) -> Option<i32> {
        let deadline = Instant::now() + timeout;
        let mut child = self.processes[n].take()?;
        loop {
            if let Some(status) = child.try_wait().expect("wait for a child process") {
                return status.code();
            }
            if Instant::now() >= deadline {
                child
                    .kill()
                    .and_then(|()| child.wait().map(drop))
                    .expect("kill and wait for a child process");
                return None;
            }
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
    }

    /// Replaces the configuration of a process, which it reads at its next start or reload.
    pub fn write_config(&self, n: usize, text: &str) {
        let file = self.config_file(n);
        let new = file.with_extension("new");
        std::fs::write(&new, text)
            .and_then(|()| std::fs::rename(&new, &file))
            .expect("replace the configuration");
    }

    /// Current configuration of a process.
    pub fn config_text(&self, n: usize) -> String {
        std::fs::read_to_string(self.config_file(n)).expect("read the configuration")
    }

    /// Restarts the given processes with their configuration, unless they are running.
    pub fn restart(&mut self, numbers: impl IntoIterator<Item = usize>) {
        for n in numbers {
            if self.processes[n].is_none() {
                self.processes[n] = Some(self.spawn(n));
                self.starts[n] += 1;
            }
        }
    }

    /// Log of a process, over all its starts.
    pub fn log(&self, n: usize) -> String {
        std::fs::read_to_string(self.folder.path().join(format!("{n}.log"))).unwrap_or_default()
    }

    /// Waits until the latest process of a front logs its listening address, and returns that address.
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
            assert!(
                Instant::now() < until,
                "front {n} logged no listening address: {log}"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Processes that have exited by themselves, with their logs.
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
