//! The rest that a replica asks for in the answer to a request that it turned away.

use std::time::Duration;

use http::header::{HeaderMap, RETRY_AFTER};
use http::StatusCode;

/// Longest rest that is believed. More than a replica recovers in; a wrong number must
/// not take it from a node for good.
const LONGEST_REST: Duration = Duration::from_secs(24 * 3600);

/// The rest that an answer asks for: seconds, fractions allowed. A date asks for
/// nothing, as the clocks of two machines differ by more than a rest lasts.
pub fn rest_asked(status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let longest = headers.get_all(RETRY_AFTER).iter().filter_map(|value| {
        let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
        (seconds.is_finite() && seconds > 0.0).then(|| seconds.min(LONGEST_REST.as_secs_f64()))
    });
    longest.max_by(f64::total_cmp).map(Duration::from_secs_f64)
}
