//! Child processes of a test: started on port 0, killed when dropped.

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

/// Children that this process started so far; tells their logs apart.
static STARTED: AtomicU32 = AtomicU32::new(0);

/// A running child process.
pub struct Process {
    name: String,
    child: Child,
    /// Fields of the `listening` line, such as `address` or `callers`.
    pub addresses: BTreeMap<String, String>,
}

impl Process {
    /// Starts a program of this workspace and waits for its `listening` line.
    pub fn start(program: &str, name: &str, arguments: &[String]) -> Process {
        let path = binary(program);
        let mut child = Command::new(&path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log_file(name))
            .spawn()
            .unwrap_or_else(|error| panic!("{} does not start: {error}", path.display()));
        let stdout = child.stdout.take().expect("stdout is piped");
        let addresses = read_listening_line(name, stdout);
        Process {
            name: name.to_string(),
            child,
            addresses,
        }
    }

    /// An address of the `listening` line.
    pub fn address(&self, field: &str) -> String {
        self.addresses
            .get(field)
            .unwrap_or_else(|| panic!("{} prints no address {field}: {:?}", self.name, self.addresses))
            .clone()
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM, the planned stop.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Freezes the process.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Ends a freeze.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Waits for the process to end by itself; whether it ended successfully.
    pub fn wait_success(&mut self) -> bool {
        self.child.wait().expect("the child can be waited for").success()
    }

    /// Whether the process ended by itself, and then whether successfully.
    pub fn ended(&mut self) -> Option<bool> {
        let status = self.child.try_wait().expect("the child can be waited for");
        status.map(|status| status.success())
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        kill(pid, signal).unwrap_or_else(|error| panic!("{signal} to {}: {error}", self.name));
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn read_listening_line(name: &str, stdout: ChildStdout) -> BTreeMap<String, String> {
    let mut reader = BufReader::new(stdout);
    let mut line = String::new();
    reader.read_line(&mut line).expect("stdout can be read");
    assert!(
        line.starts_with("listening"),
        "{name} printed {line:?} instead of its addresses"
    );
    // The rest of the output is drained so that the child never blocks on it.
    std::thread::spawn(move || for _ in reader.lines() {});
    line.split_whitespace()
        .skip(1)
        .filter_map(|field| field.split_once('='))
        .map(|(key, value)| (key.to_string(), value.to_string()))
        .collect()
}

/// Programs of the workspace lie beside the test's own directory.
fn binary(program: &str) -> PathBuf {
    let mut directory = std::env::current_exe().expect("the test has a path");
    directory.pop();
    directory.pop();
    let path = directory.join(program);
    assert!(
        path.exists(),
        "{} is missing; run `cargo test --workspace`",
        path.display()
    );
    path
}

/// Logs of children go to files when CROFTRILL_TEST_LOGS names a directory.
fn log_file(name: &str) -> Stdio {
    let Ok(directory) = std::env::var("CROFTRILL_TEST_LOGS") else {
        return Stdio::null();
    };
    let started = STARTED.fetch_add(1, Ordering::Relaxed);
    let path = PathBuf::from(directory).join(format!("{name}.{}.{started}.log", std::process::id()));
    match std::fs::File::create(path) {
        Ok(file) => file.into(),
        Err(_) => Stdio::null(),
    }
}
