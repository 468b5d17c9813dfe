//! Access control: API keys and tenants' quotas.

use std::rc::Rc;
use std::sync::Arc;

use croftrill_scheduler::catalog::{Configuration, Route};
use croftrill_scheduler::quota::keeper::QuotaRequest;
use croftrill_scheduler::quota::reservation::ReservationWait;
use croftrill_scheduler::time::Moment;
use http::header::{self, HeaderMap, HeaderValue};
use http::StatusCode;

use super::answers::refuse;
use super::{Answer, OTHER_NODE_RETRY_AFTER};
use crate::metrics::Metrics;
use crate::node::{Lifecycle, Node};
use crate::ports::{Dialect, Platform, RequestFacts};
use crate::quota::{Credit, QuotaQuery, QuotaVerdict};

/// Maximum length of a key. Longer ones are rejected without hashing them; keys that operators
/// issue are several times shorter.
const MAX_KEY_BYTES: usize = 256;

/// Why a request is denied. No variant contains any part of the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum Denied {
    /// The route needs a key and the request has none.
    #[error("no key")]
    NoKey,
    /// The request has several keys, or one that does not follow the dialect's scheme.
    #[error("the key cannot be read")]
    Unreadable,
    /// No tenant has this key.
    #[error("unknown key")]
    Unknown,
}

/// Returns the tenant that a request counts for, or `None` if no key is needed.
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
    let holder =
        presented_key(headers, scheme).and_then(|key| tenants.find_by_key(key).ok_or(Denied::Unknown));
    match holder {
        Ok(tenant) => Ok(Some(tenant.name.clone())),
        Err(_) if route.public => Ok(None),
        Err(denied) => Err(denied),
    }
}

/// Returns the key in a request's headers.
fn presented_key<'a>(headers: &'a HeaderMap, scheme: &str) -> Result<&'a [u8], Denied> {
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
    let (given_scheme, rest) = bytes.split_at(bytes.len().min(scheme.len()));
    let key = rest.trim_ascii_start();
    let is_separated = key.len() < rest.len();
    let is_readable = given_scheme.eq_ignore_ascii_case(scheme.as_bytes()) && is_separated && !key.is_empty();
    if !is_readable || key.len() > MAX_KEY_BYTES {
        return Err(Denied::Unreadable);
    }
    Ok(key)
}

/// Counts, logs and answers a request without a valid key. The request metrics do not count it.
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

/// Waits until a moment. Returns false as soon as the node is stopping.
async fn sleep_unless_stopping<P: Platform>(node: &Node<P>, until: Moment) -> bool {
    if node.lifecycle() == Lifecycle::Stopping {
        return false;
    }
    tokio::select! {
        () = node.clock.sleep_until(until) => true,
        () = node.stop_requested.notified() => false,
    }
}

/// Refuses a request that waits for its quota reservation while the node is stopping. Another
/// node can wait for it; this one may end first.
fn refuse_while_stopping<P: Platform>(
    node: &Node<P>,
    facts: &RequestFacts,
    tenant: &str,
    requested_at: Moment,
) -> Answer {
    Metrics::count(&node.metrics.denied, "quota", "stopping");
    tracing::info!(target: "quota", id = facts.id, outcome = "refused", cause = "the node is stopping", tenant,
        waited_ms = node.clock.now().since(requested_at).as_millis() as u64);
    let cause = "the node is stopping";
    refuse(
        StatusCode::SERVICE_UNAVAILABLE,
        cause,
        Some(OTHER_NODE_RETRY_AFTER),
    )
}

/// Charges a request to its tenant's quota, if that pays for it now, or by `last_start`. Returns `None` if there is no quota.
///
/// # Errors
///
/// Returns the answer to a request that exceeds the quota, or that no keeper decides on.
pub(super) async fn take_credit<P: Platform>(
    node: &Rc<Node<P>>,
    facts: &RequestFacts,
    tenant: Option<&Arc<str>>,
    configuration: &Configuration,
    route: &Route,
    last_start: Moment,
    attempt_end: Moment,
) -> Result<Option<Credit>, Box<Answer>> {
    let tenant = tenant.and_then(|name| configuration.tenants.find_by_name(name));
    let Some((tenant, quota)) = tenant.and_then(|tenant| Some((tenant, tenant.quota?))) else {
        return Ok(None);
    };
    let clock = &node.clock;
    let requested_at = clock.now();
    let max_ahead = configuration.ahead_limits.max_ahead(route.priority);
    let wait = ReservationWait::new(requested_at, last_start.since(requested_at), max_ahead);
    let mut request = QuotaQuery {
        tenant: &tenant.name,
        quota,
        version: configuration.version,
        request: QuotaRequest {
            cost: quota.unit.cost(facts.metered_tokens),
            patience: wait.ahead(requested_at),
            is_urgent: configuration.tenants.is_most_urgent(route.priority),
        },
    };
    let mut verdict = node.quotas.reserve(request, attempt_end).await;
    let mut waiting_slot = None;
    while let QuotaVerdict::Exceeded { retry_after, .. } = verdict {
        let Some(pause) = wait.pause(retry_after, clock.now()) else {
            break;
        };
        waiting_slot =
            waiting_slot.or_else(|| node.quotas.wait_slot(&tenant.name, &node.metrics.quota_waiting));
        if waiting_slot.is_none() {
            break;
        }
        if !sleep_unless_stopping(node, attempt_end.min(clock.now() + pause)).await {
            return Err(Box::new(refuse_while_stopping(
                node,
                facts,
                &tenant.name,
                requested_at,
            )));
        }
        request.request.patience = wait.ahead(clock.now());
        verdict = node.quotas.reserve(request, attempt_end).await;
    }
    drop(waiting_slot);
    match verdict {
        QuotaVerdict::Granted(credit, after) => {
            clock.sleep_until(attempt_end.min(clock.now() + after)).await;
            Ok(Some(credit))
        }
        QuotaVerdict::Exceeded { retry_after, balance } => {
            Metrics::count(&node.metrics.denied, "quota", "beyond");
            tracing::info!(target: "quota", id = facts.id, outcome = "refused", cause = "beyond the quota",
                tenant = &*tenant.name, cost = request.request.cost, balance = balance as i64, is_urgent = request.request.is_urgent,
                ahead_ms = request.request.patience.as_millis() as u64, waited_ms = clock.now().since(requested_at).as_millis() as u64,
                rate_per_s = quota.rate_per_s as u64, burst = quota.burst as u64,
                again_after_ms = retry_after.as_millis() as u64, version = configuration.version);
            let cause = "beyond the tenant's quota";
            Err(Box::new(refuse(
                StatusCode::TOO_MANY_REQUESTS,
                cause,
                Some(retry_after),
            )))
        }
        QuotaVerdict::Unreachable => {
            Metrics::count(&node.metrics.denied, "quota", "no keeper");
            tracing::info!(target: "quota", id = facts.id, outcome = "refused", cause = "no keeper in reach",
                tenant = &*tenant.name, cost = request.request.cost, version = configuration.version);
            let cause = "the tenant's quota cannot be asked for";
            Err(Box::new(refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                cause,
                Some(OTHER_NODE_RETRY_AFTER),
            )))
        }
    }
}
