//! Structured logs to standard output, bounded in volume, never blocking.
//!
//! Lines are written by a thread of their own from a bounded queue; when the
//! reader stalls, lines are left out and counted. A budget a second bounds the
//! volume under load.

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
    /// Most lines in a second.
    pub lines_per_second: u32,
    /// Lines that may wait for the writer.
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

/// Counts lines against a budget for each second.
#[derive(Debug)]
pub struct LineBudget {
    per_second: u32,
    started: Instant,
    second: AtomicU64,
    used: AtomicU32,
    left_out: AtomicU64,
}

impl LineBudget {
    /// A budget of `per_second` lines in each second.
    pub fn new(per_second: u32) -> Self {
        LineBudget {
            per_second,
            started: Instant::now(),
            second: AtomicU64::new(0),
            used: AtomicU32::new(0),
            left_out: AtomicU64::new(0),
        }
    }

    /// Takes one line; false if this second's are used up.
    pub fn take(&self) -> bool {
        let second = self.started.elapsed().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.used.store(0, Ordering::Relaxed);
        }
        let allowed = self.used.fetch_add(1, Ordering::Relaxed) < self.per_second;
        if !allowed {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }

    /// Lines left out since the last call.
    pub fn take_left_out(&self) -> u64 {
        self.left_out.swap(0, Ordering::Relaxed)
    }
}

/// Lets lines through within the budget.
struct BudgetFilter(Arc<LineBudget>);

impl<S: Subscriber> Filter<S> for BudgetFilter {
    fn enabled(&self, metadata: &tracing::Metadata<'_>, _: &Context<'_, S>) -> bool {
        *metadata.level() <= tracing::Level::INFO
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        *event.metadata().level() <= tracing::Level::WARN || self.0.take()
    }
}

/// A log that can be installed, and what must be kept while it runs.
pub struct Log {
    /// The budget; tells what was left out.
    pub budget: Arc<LineBudget>,
    /// Lines that did not fit into the queue, counted by the writer.
    pub queue_losses: tracing_appender::non_blocking::ErrorCounter,
    _writer: WorkerGuard,
}

/// Time between two looks at what the log left out.
const REVIEW_EVERY: Duration = Duration::from_secs(5);

impl Log {
    /// Says from time to time what the log left out, until the process ends.
    pub async fn review<P: Platform>(self, node: Rc<Node<P>>) {
        let mut lost_before = 0;
        loop {
            tokio::time::sleep(REVIEW_EVERY).await;
            let lost_in_queue = self.queue_losses.dropped_lines();
            let left_out = self.budget.take_left_out() + (lost_in_queue - lost_before) as u64;
            lost_before = lost_in_queue;
            if left_out > 0 {
                node.metrics.log_lines_left_out.inc_by(left_out);
                tracing::warn!(target: "log", event = "lines left out", lines = left_out);
            }
        }
    }
}

/// A subscriber that writes to `output` under the bounds of `config`.
pub fn subscriber<W>(output: W, config: LogConfig) -> (impl Subscriber + Send + Sync, Log)
where
    W: std::io::Write + Send + 'static,
{
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(config.queue_lines)
        .thread_name("log")
        .finish(output);
    let queue_losses = writer.error_counter();
    let budget = Arc::new(LineBudget::new(config.lines_per_second));
    let layer = layer(writer).with_filter(BudgetFilter(budget.clone()));
    (
        Registry::default().with(layer),
        Log {
            budget,
            queue_losses,
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
    // A second call, as in tests, keeps the first log.
    let _ = tracing::subscriber::set_global_default(subscriber);
    log
}
