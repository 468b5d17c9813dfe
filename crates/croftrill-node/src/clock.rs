//! The process's clock, which advances while the machine is suspended.

use std::cell::Cell;
use std::fmt;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use croftrill_scheduler::time::Moment;
use tokio::sync::Notify;
use tokio::time::error::Elapsed;
use tokio::time::{sleep, timeout};

/// A source of time that advances while the machine is suspended.
pub trait TimeSource {
    /// Returns the time since an arbitrary start; it never decreases.
    fn elapsed(&self) -> Duration;
}

/// The time since boot, including suspensions. The monotonic clock that timers use
/// stops during a suspension, so by that clock a node would treat an expired lease as
/// valid, old updates as recent and callers whose deadline has passed as still waiting.
#[derive(Debug)]
struct BootTime;

impl TimeSource for BootTime {
    fn elapsed(&self) -> Duration {
        // Linux has this clock since 2.6.39 and the call has no arguments that could
        // be invalid. Without it the validity of a lease cannot be determined.
        nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME)
            .map(Duration::from)
            .expect("CLOCK_BOOTTIME")
    }
}

/// A clock that advances during suspensions, with timers that follow it.
#[derive(Clone)]
pub struct Clock(Rc<Inner>);

struct Inner {
    source: Box<dyn TimeSource>,
    source_start: Duration,
    monotonic_start: Instant,
    /// Total length of the suspensions detected so far.
    detected_suspension: Cell<Duration>,
    resumed: Notify,
}

impl fmt::Debug for Clock {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_tuple("Clock").field(&self.now()).finish()
    }
}

/// Interval between checks for a suspension, and so the longest delay of a timer after
/// one. Ten wake-ups per second cost about 0.01 % of a core.
const SUSPENSION_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Shorter differences between the clocks arise from reading them one after the other and
/// are not suspensions.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);

impl Clock {
    /// Returns a clock of the machine's time since boot.
    pub fn start() -> Self {
        Self::with_source(Box::new(BootTime))
    }

    /// Returns a clock that uses `source`.
    pub fn with_source(source: Box<dyn TimeSource>) -> Self {
        Clock(Rc::new(Inner {
            source_start: source.elapsed(),
            source,
            monotonic_start: Instant::now(),
            detected_suspension: Cell::default(),
            resumed: Notify::new(),
        }))
    }

    /// Returns the time of day, since the Unix epoch. It may differ by seconds between machines, and
    /// jump.
    pub fn unix_time(&self) -> Duration {
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        now.unwrap_or_default()
    }

    /// Returns the current moment. Clocks start well above zero, so that moments before
    /// the start can be represented.
    pub fn now(&self) -> Moment {
        const EPOCH: Duration = Duration::from_secs(3600);
        let elapsed = self.0.source.elapsed().saturating_sub(self.0.source_start);
        Moment::from_start(EPOCH + elapsed)
    }

    /// Waits until a moment, or until a suspension that outlasted it is detected.
    pub async fn sleep_until(&self, until: Moment) {
        loop {
            let resumed = self.resumed();
            let left = until.since(self.now());
            if left.is_zero() {
                return;
            }
            tokio::select! {
                () = sleep(left) => {}
                () = resumed => {}
            }
        }
    }

    /// Waits for `future` until a moment.
    ///
    /// Returns an error if the moment passes first.
    pub async fn timeout_at<F: Future>(&self, until: Moment, future: F) -> Result<F::Output, Elapsed> {
        tokio::select! {
            biased;
            output = future => Ok(output),
            () = self.sleep_until(until) => timeout(Duration::ZERO, std::future::pending()).await,
        }
    }

    /// Waits for the end of the next suspension.
    pub fn resumed(&self) -> impl Future<Output = ()> + '_ {
        self.0.resumed.notified()
    }

    /// Detects suspensions until the process ends. Wakes the tasks that wait for
    /// [`Clock::resumed`] and passes the length of each suspension to `on_resume`.
    pub async fn watch_suspensions(&self, on_resume: impl Fn(Duration)) {
        loop {
            sleep(SUSPENSION_CHECK_INTERVAL).await;
            let total = self.total_suspension();
            let suspension = total.saturating_sub(self.0.detected_suspension.get());
            if suspension >= MIN_SUSPENSION {
                self.0.detected_suspension.set(total);
                on_resume(suspension);
                self.0.resumed.notify_waiters();
            }
        }
    }

    /// Returns the time by which this clock has advanced while the monotonic one stood still.
    fn total_suspension(&self) -> Duration {
        let elapsed = self.0.source.elapsed().saturating_sub(self.0.source_start);
        elapsed.saturating_sub(self.0.monotonic_start.elapsed())
    }
}
