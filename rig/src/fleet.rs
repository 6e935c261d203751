//! Processes of the program.
use serde_json::Value;
use std::io::Write;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Some processes of the program, each with a configuration of its own. All are ended with this.
pub struct Fleet {
    binary: PathBuf,
    folder: tempfile::TempDir,
    settings: bool,
    processes: Vec<Option<Child>>,
    /// How often each was started.
    starts: Vec<usize>,
}

impl Fleet {
    /// Starts so many processes at once, each with what `config` makes of its number.
    ///
    /// `settings` are the daemon's own; `{nnnn}` in them is the number of the process in four digits; `None`: it is started
    /// without.
    pub fn start(
        binary: &Path,
        count: usize,
        settings: Option<&Value>,
        config: impl Fn(usize) -> Value,
    ) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let (binary, starts) = (binary.to_path_buf(), vec![1; count]);
        let mut fleet = Fleet { binary, folder, settings: settings.is_some(), processes: Vec::new(), starts };
        for n in 0..count {
            let file = std::fs::File::create(fleet.file(n))
                .and_then(|mut f| f.write_all(config(n).to_string().as_bytes()));
            file.expect("a file");
            if let Some(settings) = settings {
                let text = settings.to_string().replace("{nnnn}", &format!("{n:04}"));
                std::fs::write(fleet.settings_file(n), text).expect("a file");
            }
        }
        // What is slow is done before: they start in step.
        fleet.processes = (0..count).map(|n| Some(fleet.spawn(n))).collect();
        fleet
    }

    fn file(&self, n: usize) -> PathBuf {
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
        command.arg(self.file(n)).stdin(Stdio::null()).stdout(Stdio::null());
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.path().join(format!("{n}.log")));
        command.stderr(log.expect("a log"));
        // SAFETY: between fork and exec one system call is made that takes numbers alone and allocates nothing.
        unsafe {
            command.pre_exec(|| match libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) {
                0 => Ok(()),
                _ => Err(std::io::Error::last_os_error()),
            });
        }
        command.spawn().expect("the program starts")
    }

    /// How many there are, dead or alive.
    pub fn len(&self) -> usize {
        self.processes.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.processes.is_empty()
    }

    /// Sends some of them a signal.
    pub fn signal(&self, which: impl IntoIterator<Item = usize>, signal: i32) {
        for child in which.into_iter().filter_map(|n| self.processes[n].as_ref()) {
            // SAFETY: the call takes numbers alone; the process was begun here and has not been waited for.
            unsafe { libc::kill(child.id() as i32, signal) };
        }
    }

    /// Kills some outright and waits for their ends.
    pub fn kill(&mut self, which: impl IntoIterator<Item = usize>) {
        for n in which {
            if let Some(mut child) = self.processes[n].take() {
                child.kill().and_then(|()| child.wait().map(drop)).expect("it was begun here");
            }
        }
    }

    /// Starts some anew that were killed, with the same configuration.
    pub fn restart(&mut self, which: impl IntoIterator<Item = usize>) {
        for n in which {
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
        let until = Instant::now() + crate::GUARD;
        loop {
            let log = self.log(n);
            let lines: Vec<_> = log.lines().filter(|line| line.contains(" listening ")).collect();
            let at =
                lines.get(self.starts[n] - 1).and_then(|line| line.split_once(" at=")?.1.split(' ').next());
            if let Some(at) = at.and_then(|at| at.parse().ok()) {
                return at;
            }
            assert!(Instant::now() < until, "front {n} does not listen: {log}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Those that have ended by themselves, each with its log.
    pub fn dead(&mut self) -> Vec<(usize, String)> {
        let mut dead = Vec::new();
        for (n, child) in self.processes.iter_mut().enumerate() {
            if child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None))) {
                dead.push(n);
            }
        }
        dead.into_iter().map(|n| (n, self.log(n))).collect()
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
