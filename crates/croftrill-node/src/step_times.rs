//! Times of the long steps of a node's single thread, to explain when it was blocked.
//!
//! A node has part of a core, and a long step blocks everything else: its links fall silent
//! and its callers wait. The steps whose cost grows with the fleet are timed, and their times
//! are logged after the thread was blocked for some time.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::time::sleep;

/// Interval between checks, which costs five wake-ups per second.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum delay of a check that is logged: a third of the silence after which links end.
const MIN_LOGGED_DELAY: Duration = Duration::from_millis(400);

/// Count and total time of one kind of step since the last check.
#[derive(Debug, Clone, Copy, Default)]
struct StepTotal {
    count: u32,
    time: Duration,
}

/// Count and total time of each kind of step since the last check.
#[derive(Debug, Default)]
pub struct StepTimes {
    steps: RefCell<BTreeMap<&'static str, StepTotal>>,
    last_delay: Cell<Duration>,
}

impl StepTimes {
    /// Runs a step and adds its time. The step must not wait for anything.
    pub fn time<T>(&self, step: &'static str, run: impl FnOnce() -> T) -> T {
        let started = Instant::now();
        let result = run();
        let mut steps = self.steps.borrow_mut();
        let total = steps.entry(step).or_default();
        total.count += 1;
        total.time += started.elapsed();
        result
    }

    fn take(&self) -> BTreeMap<&'static str, StepTotal> {
        std::mem::take(&mut *self.steps.borrow_mut())
    }

    /// Returns the delay of the last check, by which other tasks were delayed, too.
    pub fn last_delay(&self) -> Duration {
        self.last_delay.get()
    }
}

/// Steps formatted for a log line: name, count and milliseconds.
struct FormattedSteps(BTreeMap<&'static str, StepTotal>);

impl fmt::Display for FormattedSteps {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (step, total) in &self.0 {
            write!(formatter, "{step} {} {}ms, ", total.count, total.time.as_millis())?;
        }
        Ok(())
    }
}

/// Logs each time that the thread was blocked, until the process ends.
pub async fn watch(step_times: Rc<StepTimes>) {
    loop {
        step_times.take();
        let started = Instant::now();
        sleep(CHECK_INTERVAL).await;
        let late = started.elapsed().saturating_sub(CHECK_INTERVAL);
        step_times.last_delay.set(late);
        if late >= MIN_LOGGED_DELAY {
            let steps = FormattedSteps(step_times.take());
            tracing::warn!(target: "node", event = "held up", late_ms = late.as_millis() as u64, %steps);
        }
    }
}
