//! A daemon whose clock a signal advances, as after a suspension, and whose paths to replicas a file
//! cuts.
//!
//! Only a whole machine can be suspended, so only the clock jump is simulated: the time since
//! boot advances by some seconds while the monotonic clock and all timers do not. Unlike in
//! a real suspension, other processes have not waited meanwhile. Signals that stop the process
//! are drawn separately.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::rc::Rc;
use std::time::{Duration, Instant};

use croftrill_daemon::daemon::Environment;
use croftrill_daemon::program::{read_settings, run};
use croftrill_node::clock::{Clock, TimeSource};
use croftrill_node::connector::Connector;
use croftrill_node::logging;
use futures::future::{pending, LocalBoxFuture};
use tokio::net::TcpStream;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};

/// Environment variable with the path of the settings, set for processes of this test program
/// that run as a node.
const CONFIG_VARIABLE: &str = "CROFTRILL_SOAK_CONFIG";
/// The signal that simulates a suspension.
pub const SUSPENSION_SIGNAL: &str = "USR1";
/// Lengths of the suspensions, in turn. Every second one is longer than an orderer's lease
/// with its margin, and than the time for which a relay's updates are trusted.
const SUSPENSION_LENGTHS: [Duration; 2] = [Duration::from_millis(1500), Duration::from_secs(5)];

struct AdvanceableTimeSource {
    start: Instant,
    offset: Rc<Cell<Duration>>,
}

impl TimeSource for AdvanceableTimeSource {
    fn elapsed(&self) -> Duration {
        self.start.elapsed() + self.offset.get()
    }
}

/// How a node's new connections to replicas fail. Open ones live on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathCut {
    /// They are never made.
    Hanging,
    /// They are refused.
    Refused,
}

/// Content of the file beside a node's settings while its paths are cut.
const HANGING: &str = "hanging";
const REFUSED: &str = "refused";

fn cut_file(config: &Path) -> PathBuf {
    config.with_extension("cut")
}

/// Cuts the paths of the node with these settings, or restores them.
pub fn set_path_cut(config: &Path, cut: Option<PathCut>) {
    let content = match cut {
        Some(PathCut::Hanging) => HANGING,
        Some(PathCut::Refused) => REFUSED,
        None => "",
    };
    std::fs::write(cut_file(config), content).expect("a file");
}

/// Opens connections unless the file says that the paths are cut.
struct CuttableConnector {
    file: PathBuf,
}

impl Connector for CuttableConnector {
    fn connect(&self, address: SocketAddr) -> LocalBoxFuture<'static, io::Result<TcpStream>> {
        // There is no file before the first cut.
        let cut = std::fs::read_to_string(&self.file).unwrap_or_default();
        Box::pin(async move {
            match cut.as_str() {
                HANGING => pending().await,
                REFUSED => Err(io::ErrorKind::ConnectionRefused.into()),
                _ => TcpStream::connect(address).await,
            }
        })
    }
}

/// Returns the command that runs this test program as a node.
pub fn command(config: &Path) -> Command {
    let program = std::env::current_exe().expect("the test's own program");
    let mut command = Command::new(program);
    command
        .args([
            "--exact",
            "instrumented::run_as_node_with_config_variable",
            "--nocapture",
        ])
        .env(CONFIG_VARIABLE, config);
    command
}

/// Advances the clock at each signal.
async fn advance_on_signal(offset: Rc<Cell<Duration>>) {
    let mut signals = signal(SignalKind::user_defined1()).expect("a handler");
    let mut lengths = SUSPENSION_LENGTHS.iter().cycle();
    while signals.recv().await.is_some() {
        offset.set(offset.get() + *lengths.next().expect("a cycle never ends"));
    }
}

#[test]
fn run_as_node_with_config_variable() {
    let Some(config) = std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from) else {
        return;
    };
    let settings = read_settings(&config).expect("the settings are valid");
    let log = logging::install(logging::LogConfig::default());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let offset = Rc::new(Cell::new(Duration::ZERO));
    let source = AdvanceableTimeSource {
        start: Instant::now(),
        offset: offset.clone(),
    };
    let environment = Environment {
        clock: Clock::with_source(Box::new(source)),
        connector: Rc::new(CuttableConnector {
            file: cut_file(&config),
        }),
    };
    LocalSet::new().block_on(&runtime, async move {
        spawn_local(advance_on_signal(offset));
        run(config, settings, environment, log)
            .await
            .expect("the daemon stops without an error");
    });
}
