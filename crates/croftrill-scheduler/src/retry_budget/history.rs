//! One node's requests and retries of a service, counted per interval of time.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Moment;

/// Number of intervals in a window. Windows begin and end within an interval, so about two
/// hundredths of a window's requests are not relied on.
const INTERVALS_PER_WINDOW: usize = 100;
/// Number of intervals that are retained: a window, and the one before it.
const RETAINED_INTERVALS: usize = 2 * INTERVALS_PER_WINDOW;
/// Time by which the arrivals of retries at replicas may be closer together than their grants,
/// because some take longer to be sent.
pub const SEND_DELAY_ALLOWANCE: Duration = Duration::from_millis(300);

/// Requests and retries in one window, as far as they are known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowCounts {
    /// Mean number of requests in the window, in the one before it and in the one half a window
    /// before it.
    pub mean_requests: f64,
    /// Number of retries in the window.
    pub retries: usize,
}

/// Counts of one interval.
#[derive(Debug, Clone, Copy, Default)]
struct IntervalCounts {
    requests: u32,
    retries: u32,
}

/// One node's requests and retries of a service.
#[derive(Debug)]
pub(super) struct ServiceHistory {
    interval: Duration,
    /// Number of the newest interval since the clock's start.
    newest: u64,
    /// Counts up to the newest interval.
    counts: VecDeque<IntervalCounts>,
}

impl ServiceHistory {
    /// Returns an empty history for windows of this length.
    pub(super) fn new(window: Duration, now: Moment) -> Self {
        let interval = window / INTERVALS_PER_WINDOW as u32;
        ServiceHistory {
            interval,
            newest: interval_number(interval, now),
            counts: VecDeque::from(vec![IntervalCounts::default(); RETAINED_INTERVALS]),
        }
    }

    /// Records a request.
    pub(super) fn record_request(&mut self, now: Moment) {
        self.advance(now).requests += 1;
    }

    /// Records a retry.
    pub(super) fn record_retry(&mut self, now: Moment) {
        self.advance(now).retries += 1;
    }

    /// Returns true if all counts are older than two windows.
    pub(super) fn is_over(&self, now: Moment) -> bool {
        interval_number(self.interval, now) >= self.newest + RETAINED_INTERVALS as u64
    }

    /// Returns the counts of each window that contains the present moment, from the one that ends
    /// now to the one that begins now. Requests that are still to come can only raise them.
    pub(super) fn windows(&mut self, now: Moment) -> impl Iterator<Item = WindowCounts> + use<> {
        self.advance(now);
        let requests = RunningSums::new(self.counts.iter().map(|counts| counts.requests));
        let retries = RunningSums::new(self.counts.iter().map(|counts| counts.retries));
        let allowance = SEND_DELAY_ALLOWANCE
            .as_nanos()
            .div_ceil(self.interval.as_nanos().max(1)) as usize;
        // Positions in the retained intervals; a window ends within the interval at `last`.
        let newest = RETAINED_INTERVALS - 1;
        (newest..=newest + INTERVALS_PER_WINDOW).map(move |last| {
            let first = last - INTERVALS_PER_WINDOW;
            let shifts = [0, INTERVALS_PER_WINDOW / 2, INTERVALS_PER_WINDOW];
            let in_windows = shifts.map(|shift| {
                // Only the intervals that lie in the window as a whole.
                requests.between((first + 1).saturating_sub(shift), last.saturating_sub(shift))
            });
            WindowCounts {
                mean_requests: f64::from(in_windows.iter().sum::<u32>()) / shifts.len() as f64,
                retries: retries.between(first.saturating_sub(allowance), last + 1) as usize,
            }
        })
    }

    /// Moves on to the present interval and returns its counts.
    fn advance(&mut self, now: Moment) -> &mut IntervalCounts {
        let present = interval_number(self.interval, now).max(self.newest);
        let passed = (present - self.newest).min(RETAINED_INTERVALS as u64) as usize;
        self.newest = present;
        self.counts.drain(..passed);
        self.counts.resize(RETAINED_INTERVALS, IntervalCounts::default());
        &mut self.counts[RETAINED_INTERVALS - 1]
    }
}

/// Returns the number of the interval that contains a moment.
fn interval_number(interval: Duration, moment: Moment) -> u64 {
    let since_start = moment.since(Moment::default());
    (since_start.as_nanos() / interval.as_nanos().max(1)) as u64
}

/// Sums of the counts before each position.
struct RunningSums(Vec<u32>);

impl RunningSums {
    fn new(counts: impl Iterator<Item = u32>) -> Self {
        let mut sums = vec![0];
        let mut sum = 0;
        sums.extend(counts.map(|count| {
            sum += count;
            sum
        }));
        RunningSums(sums)
    }

    /// Returns the sum from position `first` up to and without `end`.
    fn between(&self, first: usize, end: usize) -> u32 {
        let newest = self.0.len() - 1;
        self.0[end.min(newest)].saturating_sub(self.0[first.min(newest)])
    }
}
