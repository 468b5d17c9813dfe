//! Whether a caller may send a request, by the key that it shows.

use std::rc::Rc;
use std::sync::Arc;

use croftrill_scheduler::catalog::{Configuration, Route};
use http::header::{self, HeaderMap, HeaderValue};
use http::StatusCode;

use super::answers::refuse;
use super::Answer;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::ports::{Dialect, Platform};

/// Longest key that is looked at, in bytes: several times the longest that
/// operators hand out. A longer one is not hashed.
const LONGEST_KEY_BYTES: usize = 256;

/// Why a request is denied. No variant holds anything of the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum Denied {
    /// The route needs a key.
    #[error("no key")]
    NoKey,
    /// More than one key, or not in the form that the wire asks for.
    #[error("the key cannot be read")]
    Unreadable,
    /// No tenant holds it.
    #[error("unknown key")]
    Unknown,
}

/// The tenant that a request counts for; `None` where no key is needed.
pub(super) fn authorize(
    configuration: &Configuration,
    route: &Route,
    headers: &HeaderMap,
    scheme: &str,
) -> Result<Option<Arc<str>>, Denied> {
    let tenants = &configuration.tenants;
    if tenants.is_empty() {
        return Ok(None);
    }
    let holder = shown_key(headers, scheme).and_then(|key| tenants.holder(key).ok_or(Denied::Unknown));
    match holder {
        Ok(tenant) => Ok(Some(tenant.name.clone())),
        Err(_) if route.public => Ok(None),
        Err(denied) => Err(denied),
    }
}

/// The key in a request's headers.
fn shown_key<'a>(headers: &'a HeaderMap, scheme: &str) -> Result<&'a [u8], Denied> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let (Some(value), None) = (values.next(), values.next()) else {
        let is_given = headers.contains_key(header::AUTHORIZATION);
        return Err(if is_given {
            Denied::Unreadable
        } else {
            Denied::NoKey
        });
    };
    let bytes = value.as_bytes().trim_ascii();
    let (word, rest) = bytes.split_at(bytes.len().min(scheme.len()));
    let key = rest.trim_ascii_start();
    let is_apart = key.len() < rest.len();
    let is_readable = word.eq_ignore_ascii_case(scheme.as_bytes()) && is_apart && !key.is_empty();
    if !is_readable || key.len() > LONGEST_KEY_BYTES {
        return Err(Denied::Unreadable);
    }
    Ok(key)
}

/// The answer to a request without a valid key. Nothing has counted it yet.
pub(super) fn refuse_access<P: Platform>(
    node: &Rc<Node<P>>,
    id: &str,
    configuration: &Configuration,
    denied: Denied,
) -> Answer {
    let cause = match denied {
        Denied::NoKey => "no key",
        Denied::Unreadable => "unreadable key",
        Denied::Unknown => "unknown key",
    };
    Metrics::count(&node.metrics.denied, "key", cause);
    tracing::info!(target: "access", id, outcome = "denied", cause, version = configuration.version);
    let mut answer = refuse(StatusCode::UNAUTHORIZED, &denied.to_string(), None);
    let scheme = HeaderValue::from_static(node.platform.dialect().key_scheme());
    answer.headers_mut().insert(header::WWW_AUTHENTICATE, scheme);
    answer
}
