//! Structured logs to standard output, bounded in volume and never blocking.
//!
//! A dedicated thread writes the lines from a bounded queue. If the reader stalls, lines
//! are dropped and counted. A budget per second bounds the volume under load.

use std::rc::Rc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::{Event, Subscriber};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::{fmt, Layer, Registry};

use crate::node::Node;
use crate::ports::Platform;

/// Bounds of the log.
#[derive(Debug, Clone, Copy)]
pub struct LogConfig {
    /// Maximum number of lines per second; warnings and errors are not limited.
    pub lines_per_second: u32,
    /// Maximum number of lines that wait for the writer.
    pub queue_lines: usize,
}

impl Default for LogConfig {
    fn default() -> Self {
        LogConfig {
            lines_per_second: 150,
            queue_lines: 512,
        }
    }
}

/// A budget of log lines for each second.
#[derive(Debug)]
pub struct LineBudget {
    per_second: u32,
    started: Instant,
    second: AtomicU64,
    used: AtomicU32,
    dropped: AtomicU64,
}

impl LineBudget {
    /// Returns a budget of `per_second` lines for each second.
    pub fn new(per_second: u32) -> Self {
        LineBudget {
            per_second,
            started: Instant::now(),
            second: AtomicU64::new(0),
            used: AtomicU32::new(0),
            dropped: AtomicU64::new(0),
        }
    }

    /// Takes one line from the budget. Returns false if the current second's is used up.
    pub fn take(&self) -> bool {
        let second = self.started.elapsed().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.used.store(0, Ordering::Relaxed);
        }
        let allowed = self.used.fetch_add(1, Ordering::Relaxed) < self.per_second;
        if !allowed {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }

    /// Returns the number of lines dropped since the last call.
    pub fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, Ordering::Relaxed)
    }
}

/// Drops lines less severe than INFO, and INFO lines beyond the budget.
struct BudgetFilter(Arc<LineBudget>);

impl<S: Subscriber> Filter<S> for BudgetFilter {
    fn enabled(&self, metadata: &tracing::Metadata<'_>, _: &Context<'_, S>) -> bool {
        *metadata.level() <= tracing::Level::INFO
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        *event.metadata().level() <= tracing::Level::WARN || self.0.take()
    }
}

/// The counters and the writer of a log, which must be retained while the log is in use.
pub struct Log {
    /// The budget, which counts the lines that it drops.
    pub budget: Arc<LineBudget>,
    /// Number of lines that did not fit into the queue.
    pub queue_drops: tracing_appender::non_blocking::ErrorCounter,
    _writer: WorkerGuard,
}

const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(5);

impl Log {
    /// Logs and counts dropped lines at intervals until the process ends.
    pub async fn report_dropped_lines<P: Platform>(self, node: Rc<Node<P>>) {
        let mut dropped_before = 0;
        loop {
            tokio::time::sleep(DROP_REPORT_INTERVAL).await;
            let dropped_in_queue = self.queue_drops.dropped_lines();
            let dropped = self.budget.take_dropped() + (dropped_in_queue - dropped_before) as u64;
            dropped_before = dropped_in_queue;
            if dropped > 0 {
                node.metrics.log_lines_left_out.inc_by(dropped);
                tracing::warn!(target: "log", event = "lines left out", lines = dropped);
            }
        }
    }
}

/// Returns a subscriber that writes to `output` within the bounds of `config`.
pub fn subscriber<W>(output: W, config: LogConfig) -> (impl Subscriber + Send + Sync, Log)
where
    W: std::io::Write + Send + 'static,
{
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(config.queue_lines)
        .thread_name("log")
        .finish(output);
    let queue_drops = writer.error_counter();
    let budget = Arc::new(LineBudget::new(config.lines_per_second));
    let layer = layer(writer).with_filter(BudgetFilter(budget.clone()));
    (
        Registry::default().with(layer),
        Log {
            budget,
            queue_drops,
            _writer: guard,
        },
    )
}

fn layer<S, W>(writer: W) -> impl Layer<S> + Send + Sync
where
    S: Subscriber + for<'a> tracing_subscriber::registry::LookupSpan<'a>,
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    fmt::layer().with_writer(writer).with_ansi(false).with_level(true)
}

/// Installs the process's log on standard output.
pub fn install(config: LogConfig) -> Log {
    let (subscriber, log) = subscriber(std::io::stdout(), config);
    // A second call, as in tests, leaves the first log installed.
    let _ = tracing::subscriber::set_global_default(subscriber);
    log
}
