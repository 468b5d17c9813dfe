//! The process's clock.

use std::cell::Cell;
use std::fmt;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use croftrill_scheduler::time::Moment;
use tokio::sync::Notify;
use tokio::time::error::Elapsed;
use tokio::time::{sleep, timeout};

/// Tells time that goes on while the machine is suspended.
pub trait TimeSource {
    /// Time since an arbitrary start; it never goes back.
    fn elapsed(&self) -> Duration;
}

/// The time since the machine booted, in which suspensions count. The steady clock
/// that timers go by stands still meanwhile, so that a node would take a lease for
/// valid, news for young and callers for patient that are not.
#[derive(Debug)]
struct BootTime;

impl TimeSource for BootTime {
    fn elapsed(&self) -> Duration {
        // Linux has had this clock since 2.6.39, and it takes no arguments that
        // could be wrong: without it no lease could be judged.
        nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME)
            .map(Duration::from)
            .expect("CLOCK_BOOTTIME")
    }
}

/// Gives moments of a clock that goes on in suspensions, and waits by it.
#[derive(Clone)]
pub struct Clock(Rc<Inner>);

struct Inner {
    source: Box<dyn TimeSource>,
    source_start: Duration,
    steady_start: Instant,
    /// Suspensions that were noticed so far.
    noticed: Cell<Duration>,
    resumed: Notify,
}

impl fmt::Debug for Clock {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_tuple("Clock").field(&self.now()).finish()
    }
}

/// Time between two looks for a suspension: what waits by the clock is late by so
/// much at most. Ten wake-ups a second cost some 0.01 % of a core.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Shorter differences of the clocks are read between two ticks, and no suspension.
const LEAST_SUSPENSION: Duration = Duration::from_millis(20);

impl Clock {
    /// The machine's clock.
    pub fn start() -> Self {
        Self::with_source(Box::new(BootTime))
    }

    /// A clock that goes by `source`.
    pub fn with_source(source: Box<dyn TimeSource>) -> Self {
        Clock(Rc::new(Inner {
            source_start: source.elapsed(),
            source,
            steady_start: Instant::now(),
            noticed: Cell::default(),
            resumed: Notify::new(),
        }))
    }

    /// The present moment. Clocks start well after zero, so that earlier moments
    /// can be told.
    pub fn now(&self) -> Moment {
        const EPOCH: Duration = Duration::from_secs(3600);
        let elapsed = self.0.source.elapsed().saturating_sub(self.0.source_start);
        Moment::from_start(EPOCH + elapsed)
    }

    /// Ends at a moment, or as soon as it is found that a suspension has passed it.
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
    /// Errors: the moment passed first.
    pub async fn timeout_at<F: Future>(&self, until: Moment, future: F) -> Result<F::Output, Elapsed> {
        tokio::select! {
            biased;
            output = future => Ok(output),
            () = self.sleep_until(until) => timeout(Duration::ZERO, std::future::pending()).await,
        }
    }

    /// Ends after the next suspension.
    pub fn resumed(&self) -> impl Future<Output = ()> + '_ {
        self.0.resumed.notified()
    }

    /// Watches for suspensions until the process ends: whoever waits for
    /// [`Clock::resumed`] is told, and `on_resume` how long each was.
    pub async fn watch(&self, on_resume: impl Fn(Duration)) {
        loop {
            sleep(LOOK_EVERY).await;
            let suspended = self.suspended();
            let new = suspended.saturating_sub(self.0.noticed.get());
            if new >= LEAST_SUSPENSION {
                self.0.noticed.set(suspended);
                on_resume(new);
                self.0.resumed.notify_waiters();
            }
        }
    }

    /// Time by which this clock has gone on while the steady one stood still.
    fn suspended(&self) -> Duration {
        let elapsed = self.0.source.elapsed().saturating_sub(self.0.source_start);
        elapsed.saturating_sub(self.0.steady_start.elapsed())
    }
}
