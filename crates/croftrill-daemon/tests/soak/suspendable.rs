//! A daemon on a clock that a signal puts forward, as after a suspension.
//!
//! Only the machine can be suspended, so the jump alone is played: the time since
//! boot has gone on by some seconds while the steady clock, and all timers, have not.
//! Unlike in a suspension the others have not waited meanwhile; signals that stop the
//! process besides are drawn of their own.

use std::cell::Cell;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::rc::Rc;
use std::time::{Duration, Instant};

use croftrill_daemon::program::{read_settings, run};
use croftrill_node::clock::{Clock, TimeSource};
use croftrill_node::logging;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};

/// Names the settings of a process that this test's program is to run as.
const CONFIG_VARIABLE: &str = "CROFTRILL_SOAK_CONFIG";
/// The signal that stands for a suspension.
pub const SUSPENSION: &str = "USR1";
/// How long it is: longer than an orderer's lease with its margin, and than the
/// relay's word is believed, half of the times.
const SUSPENSIONS: [Duration; 2] = [Duration::from_millis(1500), Duration::from_secs(5)];

struct PutForward {
    start: Instant,
    by: Rc<Cell<Duration>>,
}

impl TimeSource for PutForward {
    fn elapsed(&self) -> Duration {
        self.start.elapsed() + self.by.get()
    }
}

/// This test's own program, which then runs as a node.
pub fn command(config: &Path) -> Command {
    let program = std::env::current_exe().expect("the test's own program");
    let mut command = Command::new(program);
    command
        .args([
            "--exact",
            "suspendable::runs_as_a_node_where_settings_are_named",
            "--nocapture",
        ])
        .env(CONFIG_VARIABLE, config);
    command
}

/// Puts the clock forward at each signal.
async fn suspend_on_signal(by: Rc<Cell<Duration>>) {
    let mut signals = signal(SignalKind::user_defined1()).expect("a handler");
    let mut lengths = SUSPENSIONS.iter().cycle();
    while signals.recv().await.is_some() {
        by.set(by.get() + *lengths.next().expect("they never end"));
    }
}

#[test]
fn runs_as_a_node_where_settings_are_named() {
    let Some(config) = std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from) else {
        return;
    };
    let settings = read_settings(&config).expect("good settings");
    let log = logging::install(logging::LogConfig::default());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let by = Rc::new(Cell::new(Duration::ZERO));
    let source = PutForward {
        start: Instant::now(),
        by: by.clone(),
    };
    let clock = Clock::with_source(Box::new(source));
    LocalSet::new().block_on(&runtime, async move {
        spawn_local(suspend_on_signal(by));
        run(config, settings, clock, log).await.expect("it stops well");
    });
}
