//! Parses what a peer's answer says about the further use of its connection.

use std::time::Duration;

use http::HeaderMap;

/// Margin subtracted from the idle time that the peer allows.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(600);

/// Returns whether the peer closes the connection after this answer.
pub(crate) fn is_close_requested(headers: &HeaderMap) -> bool {
    let connection = headers
        .get(http::header::CONNECTION)
        .and_then(|value| value.to_str().ok());
    connection.is_some_and(|value| value.to_ascii_lowercase().contains("close"))
}

/// Returns the idle time that an answer's `Keep-Alive` header allows, less a margin.
pub(crate) fn keep_alive_timeout(headers: &HeaderMap) -> Duration {
    let value = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = value.and_then(|value| {
        let parameter = value
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="));
        parameter.unwrap_or(value).trim().parse::<u64>().ok()
    });
    seconds.map_or(Duration::MAX, |seconds| {
        Duration::from_secs(seconds).saturating_sub(KEEP_ALIVE_MARGIN)
    })
}
