//! What a node's one thread was busy with when it was held up.
//!
//! A node has a part of a core, and whatever it does for long it does in place of all
//! else: its links fall silent and its callers wait. The steps that grow with the fleet
//! are timed, and told once the thread could do nothing else for some time.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::time::sleep;

/// Time between two looks; five wake-ups a second.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// A look that comes so late is told: a third of the silence after which links end.
const LEAST_LATE: Duration = Duration::from_millis(400);

/// A kind of step, and what it took since the last look.
#[derive(Debug, Clone, Copy, Default)]
struct Taken {
    count: u32,
    time: Duration,
}

/// Time taken by each kind of step since the last look.
#[derive(Debug, Default)]
pub struct StepTimes(RefCell<BTreeMap<&'static str, Taken>>);

impl StepTimes {
    /// Carries a step out, which must not wait for anything, and counts the time that it takes.
    pub fn time<T>(&self, step: &'static str, carry_out: impl FnOnce() -> T) -> T {
        let begun = Instant::now();
        let result = carry_out();
        let mut steps = self.0.borrow_mut();
        let taken = steps.entry(step).or_default();
        taken.count += 1;
        taken.time += begun.elapsed();
        result
    }

    fn take(&self) -> BTreeMap<&'static str, Taken> {
        std::mem::take(&mut *self.0.borrow_mut())
    }
}

/// Steps for one line of the log: name, count, milliseconds.
struct Told(BTreeMap<&'static str, Taken>);

impl fmt::Display for Told {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (step, taken) in &self.0 {
            write!(formatter, "{step} {} {}ms, ", taken.count, taken.time.as_millis())?;
        }
        Ok(())
    }
}

/// Tells of each time for which the thread was held up, until the process ends.
pub async fn watch(step_times: Rc<StepTimes>) {
    loop {
        step_times.take();
        let begun = Instant::now();
        sleep(LOOK_EVERY).await;
        let late = begun.elapsed().saturating_sub(LOOK_EVERY);
        if late >= LEAST_LATE {
            let steps = Told(step_times.take());
            tracing::warn!(target: "node", event = "held up", late_ms = late.as_millis() as u64, %steps);
        }
    }
}
