//! Routes, bodies, targets and headers of forwarded requests and answers.

use std::sync::Arc;

use croftrill_scheduler::catalog::{Configuration, Route, ServiceName};
use http::header::{self, HeaderMap, HeaderName};
use http::{request, Uri};
use xxhash_rust::xxh3::xxh3_64;

pub(super) fn find_route(configuration: &Configuration, head: &request::Parts) -> Option<Arc<Route>> {
    let host = head
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .or(head.uri.host())?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let route = configuration
        .route(host, head.uri.path())
        .or_else(|| configuration.route(name, head.uri.path()));
    route.cloned()
}

/// Picks the backend of a request by weight. Request ids are spread evenly over the weights.
pub(super) fn pick_backend(route: &Route, id: &str) -> ServiceName {
    let total: u64 = route
        .backends
        .iter()
        .map(|backend| u64::from(backend.weight))
        .sum();
    let mut position = xxh3_64(id.as_bytes()) % total.max(1);
    for backend in &route.backends {
        if position < u64::from(backend.weight) {
            return backend.service.clone();
        }
        position -= u64::from(backend.weight);
    }
    route
        .backends
        .first()
        .map(|backend| backend.service.clone())
        .unwrap_or_else(|| "".into())
}

/// Returns the target to send to a replica: path and query, unchanged.
pub(super) fn origin_form(uri: &Uri) -> Uri {
    uri.path_and_query()
        .map_or_else(|| Uri::from_static("/"), |target| Uri::from(target.clone()))
}

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Returns the headers without those that concern only this connection.
pub(super) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    let named = headers.get_all(header::CONNECTION);
    for name in named
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
    {
        if let Ok(name) = HeaderName::from_bytes(name.trim().as_bytes()) {
            passed.remove(name);
        }
    }
    for name in HOP_BY_HOP {
        passed.remove(name);
    }
    passed.remove("keep-alive");
    passed
}
