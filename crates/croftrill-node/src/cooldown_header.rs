//! Parses the cooldown that a replica requests in the answer to a request that it rejected.

use std::time::Duration;

use http::header::{HeaderMap, RETRY_AFTER};
use http::StatusCode;

/// Maximum cooldown. A replica recovers in less, and a wrong number must not exclude it from
/// a node's use forever.
const MAX_COOLDOWN: Duration = Duration::from_secs(24 * 3600);

/// Parses the cooldown that an answer requests, in seconds with optional fraction. A date is
/// ignored, as the clocks of two machines may differ by more than a cooldown.
pub fn parse_cooldown(status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let requested = headers.get_all(RETRY_AFTER).iter().filter_map(|value| {
        let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
        (seconds.is_finite() && seconds > 0.0).then(|| seconds.min(MAX_COOLDOWN.as_secs_f64()))
    });
    requested.max_by(f64::total_cmp).map(Duration::from_secs_f64)
}
