//! Helpers for tests and test programs: child processes, waits, faulty servers and an in-memory
//! object API. Not part of the product.
//!
//! Every program prints a line `listening <name> <ip:port>` on standard output for each listener,
//! so that tests can let the system choose the ports.

pub mod crowd;
pub mod exploration;
pub mod memory;
pub mod proxy;
pub mod raw;

use std::{
    collections::HashMap,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::mpsc::{Receiver, channel},
    time::{Duration, Instant},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

/// Maximum time that a test waits for an event before it fails; long enough for a busy machine.
pub const EVENT_WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Child process of a test; dropping it kills the process.
pub struct Process {
    /// Name of the process in panic messages.
    name: String,
    child: Child,
    /// Lines of standard output that have not been read yet.
    output_lines: Receiver<String>,
    /// Addresses of the listeners that the process has printed so far, by name.
    listeners: HashMap<String, SocketAddr>,
}

/// Returns the path of a program of this workspace, built in the same profile as the caller.
///
/// # Panics
///
/// Panics if the program has not been built; run `cargo build --workspace` first.
pub fn program_path(name: &str) -> PathBuf {
    let mut directory = std::env::current_exe().expect("path of this process");
    directory.pop();
    if directory.ends_with("deps") || directory.ends_with("examples") {
        directory.pop();
    }
    let path = directory.join(name);
    assert!(path.exists(), "{name} is not built: run `cargo build --workspace` first");
    path
}

impl Process {
    /// Starts a program of this workspace; `name` identifies the process in messages.
    ///
    /// Its standard error is appended to the file `log`, or inherited if `log` is `None`.
    ///
    /// # Panics
    ///
    /// Panics if the program cannot be started.
    pub fn start(name: &str, program_name: &str, arguments: &[&str], log: Option<&Path>) -> Self {
        let stderr = match log {
            Some(path) => {
                let mut options = std::fs::OpenOptions::new();
                let file = options.create(true).append(true).open(path).expect("log file");
                Stdio::from(file)
            }
            None => Stdio::inherit(),
        };
        let mut child = Command::new(program_path(program_name))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(stderr)
            .spawn()
            .expect("program starts");
        let stdout = child.stdout.take().expect("piped standard output");
        let (sender, output_lines) = channel();
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                if sender.send(line).is_err() {
                    break;
                }
            }
        });
        Self { name: name.to_owned(), child, output_lines, listeners: HashMap::new() }
    }

    /// Waits until the program has printed the address of a listener, and returns it.
    ///
    /// # Panics
    ///
    /// Panics if the program does not print it within [`EVENT_WAIT_TIMEOUT`].
    pub fn address(&mut self, listener: &str) -> SocketAddr {
        let deadline = Instant::now() + EVENT_WAIT_TIMEOUT;
        while !self.listeners.contains_key(listener) {
            let wait = deadline.saturating_duration_since(Instant::now());
            let line = self.output_lines.recv_timeout(wait).unwrap_or_else(|error| {
                panic!("{} has no listener {listener}: {error}", self.name)
            });
            let mut words = line.split(' ');
            if words.next() == Some("listening")
                && let (Some(name), Some(Ok(address))) =
                    (words.next(), words.next().map(str::parse))
            {
                self.listeners.insert(name.to_owned(), address);
            }
        }
        self.listeners[listener]
    }

    /// Removes and returns the lines of standard output that are available now, without those that
    /// [`address`](Self::address) has read.
    pub fn take_output(&self) -> Vec<String> {
        self.output_lines.try_iter().collect()
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process (SIGKILL) and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Requests a graceful shutdown (SIGTERM).
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Requests a reload of the settings (SIGHUP).
    pub fn request_reload(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Suspends the process (SIGSTOP).
    pub fn suspend(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes the process after [`suspend`](Self::suspend) (SIGCONT).
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Returns the exit status of the process; `None` if it is still running.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be waited for.
    pub fn try_wait(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("own child")
    }

    /// Waits for the exit of the process and returns its status.
    ///
    /// # Panics
    ///
    /// Panics if the process does not exit within [`EVENT_WAIT_TIMEOUT`].
    pub fn wait(&mut self) -> ExitStatus {
        let deadline = Instant::now() + EVENT_WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("own child") {
                return status;
            }
            assert!(Instant::now() < deadline, "{} does not exit", self.name);
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn signal(&self, signal: Signal) {
        // The process may have exited already.
        let _ = kill(Pid::from_raw(self.child.id().cast_signed()), signal);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.resume();
        self.kill();
    }
}

/// Waits until `condition` holds; `description` of the condition is part of the panic message.
///
/// # Panics
///
/// Panics if it does not hold within [`EVENT_WAIT_TIMEOUT`].
pub async fn eventually<F: AsyncFnMut() -> bool>(description: &str, mut condition: F) {
    let deadline = Instant::now() + EVENT_WAIT_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "not within {EVENT_WAIT_TIMEOUT:?}: {description}");
        monoio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Runs a program with `--check` on a settings file with the given text; returns its exit code and
/// standard error.
///
/// # Panics
///
/// Panics if the program cannot be run.
pub fn check_settings(program_name: &str, text: &str) -> (Option<i32>, String) {
    let file_name = format!("{program_name}-{}.ini", deck_core::id::random_id());
    let file = std::env::temp_dir().join(file_name);
    std::fs::write(&file, text).expect("settings file");
    let output = Command::new(program_path(program_name))
        .args(["--check", "--config"])
        .arg(&file)
        .output()
        .expect("program runs");
    std::fs::remove_file(&file).expect("own file");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}
