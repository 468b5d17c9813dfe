//! Parses the number of rejections that a replica bears, as it reports it in its answers.

use croftrill_scheduler::replica::RejectionSignal;
use http::header::{HeaderMap, HeaderName};

/// Parses the number in an answer: rejections a second, rounded down, or the minimum of several.
/// Any other value neither sets a number nor ends one.
pub fn parse_rejections(headers: &HeaderMap, name: &HeaderName) -> RejectionSignal {
    if !headers.contains_key(name) {
        return RejectionSignal::Unlimited;
    }
    let numbers = headers.get_all(name).iter().filter_map(|value| {
        let per_s: f64 = value.to_str().ok()?.trim().parse().ok()?;
        // A number beyond the type's bounds is its greatest value.
        (per_s >= 0.0).then_some(per_s as u32)
    });
    let min = numbers.min();
    min.map_or(RejectionSignal::Unspecified, |max_per_s| {
        RejectionSignal::Limited { max_per_s }
    })
}
