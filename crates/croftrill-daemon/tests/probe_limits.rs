//! Limits that follow the period of the probes.

use croftrill_daemon::probe_limits::{heard_lately, view_limit};
use std::time::Duration;

#[test]
fn the_limits_span_several_probes_at_any_period() {
    for millis in [10, 200, 1_000, 2_000, 5_000, 60_000] {
        let period = Duration::from_millis(millis);
        assert!(heard_lately(period) >= period * 3, "{period:?}");
        assert!(view_limit(period) >= period * 3, "{period:?}");
    }
}

#[test]
fn short_periods_leave_the_usual_limits() {
    let period = Duration::from_secs(1);
    assert_eq!(heard_lately(period), Duration::from_secs(4));
    assert_eq!(view_limit(period), Duration::from_secs(3));
}
