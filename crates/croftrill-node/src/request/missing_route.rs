//! Requests for which this node knows no route, though a newer configuration may have one.
//!
//! "No such route" is final for a caller, so it is said only by a node that has the newest
//! configuration as far as it can know. A node that may be behind refuses instead, and the caller
//! goes to another one.

use std::rc::Rc;
use std::sync::Arc;

use croftrill_scheduler::catalog::{Configuration, Route};
use http::{request, StatusCode};

use super::answers::refuse;
use super::forwarding::find_route;
use super::{Answer, OTHER_NODE_RETRY_AFTER};
use crate::configuration::{may_be_outdated, NEWER_VERSION_WAIT};
use crate::node::Node;
use crate::ports::Platform;

/// Returns the route of a request with the configuration that has it. If the present one has none
/// and a newer one exists, waits for that for a short time.
///
/// Errors: the version of the newest configuration in force, if it has no such route.
pub(super) async fn find_newest_route<P: Platform>(
    node: &Rc<Node<P>>,
    mut configuration: Arc<Configuration>,
    head: &request::Parts,
) -> Result<(Arc<Configuration>, Arc<Route>), u64> {
    let until = node.clock.now() + NEWER_VERSION_WAIT;
    loop {
        let exchanged = node.configuration_exchanged.notified();
        if let Some(route) = find_route(&configuration, head) {
            return Ok((configuration, route));
        }
        let has_missed_one = node.state.borrow().configuration_exchange.missed().is_some();
        let is_late = node.clock.now() >= until;
        if let Some(newer) = node
            .configuration()
            .filter(|newer| newer.version > configuration.version)
        {
            configuration = newer;
            continue;
        }
        if !has_missed_one || is_late {
            return Err(configuration.version);
        }
        // Fails at the limit, where the loop ends.
        let _ = node.clock.timeout_at(until, exchanged).await;
    }
}

/// Returns the answer to a request without a route in the configuration in force.
pub(super) fn refuse_without_route<P: Platform>(node: &Node<P>, id: &str, version: u64) -> Answer {
    let is_sure = !may_be_outdated(node);
    let now = node.clock.now();
    let state = node.state.borrow();
    let proof_age_ms = state.view_proven_at.map(|at| now.since(at).as_millis() as u64);
    let newest = state.configuration_exchange.missed().map(|missed| missed.version);
    drop(state);
    tracing::info!(target: "request", id, outcome = "no route", version, newest, proof_age_ms, is_sure);
    if is_sure {
        return refuse(StatusCode::NOT_FOUND, "no such route", None);
    }
    refuse(
        StatusCode::SERVICE_UNAVAILABLE,
        "the configuration may be outdated",
        Some(OTHER_NODE_RETRY_AFTER),
    )
}
