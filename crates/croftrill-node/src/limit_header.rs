//! Parses the limit on requests that a replica reports in its answers.

use croftrill_scheduler::replica::{LimitSignal, RequestRate};
use http::header::{HeaderMap, HeaderName};

/// Parses the limit in an answer: a decimal number of requests per second, or the minimum of
/// several. Any other value neither sets a limit nor ends one.
pub fn parse_limit(headers: &HeaderMap, name: &HeaderName) -> LimitSignal {
    if !headers.contains_key(name) {
        return LimitSignal::Unlimited;
    }
    let rates = headers.get_all(name).iter().filter_map(|value| {
        let per_s: f64 = value.to_str().ok()?.trim().parse().ok()?;
        RequestRate::from_per_s(per_s)
    });
    rates.min().map_or(LimitSignal::Unspecified, LimitSignal::Limited)
}
