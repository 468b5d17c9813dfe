//! The operator API: status, metrics, and changes to the document by plan and confirmation.
//!
//! An operator sends a desired document and gets a plan: the steps that would
//! be taken, and the revision of the document that the plan is based on.
//! Nothing changes until the plan is confirmed. The confirmation is a
//! conditional write at that revision; if the document has changed since, the
//! confirmation is rejected and answered with a new plan.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use croftrill_http::document::Document;
use croftrill_http::native_platform::NativePlatform;
use croftrill_http::records::DOCUMENT_KEY;
use croftrill_node::auxiliary_server;
use croftrill_node::crash_reports;
use croftrill_node::node::{Lifecycle, Node};
use croftrill_node::ports::{
    ConditionalPut, Expectation, Freshness, Item, KeyValueStore, PutOutcome, StoreError, Write,
};
use croftrill_node::stream::AnswerBody;
use croftrill_scheduler::crash_ledger::SuspectId;
use croftrill_scheduler::planner::{plan, PlannedStep};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use crate::status::status;

/// Returns whether the node accepts requests.
pub const READY_PATH: &str = "/ready";
/// Returns the metrics in text format.
pub const METRICS_PATH: &str = "/metrics";
/// Returns the node's view of the cluster.
pub const STATUS_PATH: &str = "/v1/status";
/// Returns the active document.
pub const DOCUMENT_PATH: &str = "/v1/document";
/// Computes the plan for a desired document.
pub const PLAN_PATH: &str = "/v1/plan";
/// Applies a plan.
pub const CONFIRM_PATH: &str = "/v1/confirm";
/// Allows a request to be sent again although replicas ended while running it.
pub const LIFT_PATH: &str = "/v1/lift";
/// Maximum size of a request body.
const MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;
/// Maximum time to read the document from the store.
const DOCUMENT_READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The steps to a desired document, and the revision that they are based on.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PlanDocument {
    /// Revision of the active document; 0 if there is none.
    pub base_revision: u64,
    /// Desired document.
    pub document: Document,
    /// Steps as text.
    pub steps: Vec<String>,
}

/// The result of an applied plan.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Confirmed {
    /// Store revision at which the document was written.
    pub revision: u64,
    /// Version of the document.
    pub version: u64,
}

/// The body of an error response.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Failure {
    /// Error message.
    pub error: String,
    /// Every validation error, each with the path of the invalid field.
    #[serde(default)]
    pub findings: Vec<String>,
    /// New plan for the current state, if the document has changed since the plan was made.
    #[serde(default)]
    pub new_plan: Option<PlanDocument>,
}

type Answer = Response<AnswerBody>;
type OwnNode = Rc<Node<NativePlatform>>;

/// Serves operators until the process ends.
pub async fn serve(node: OwnNode, listener: TcpListener) {
    let served_node = node.clone();
    let handler = move |request| {
        let node = served_node.clone();
        async move { handle_request(&node, request).await }
    };
    auxiliary_server::serve(node, listener, "operators", handler).await;
}

async fn handle_request(node: &OwnNode, request: Request<Incoming>) -> Answer {
    let (head, body) = request.into_parts();
    let held = match auxiliary_server::read_body(node, body, MAX_BODY_BYTES).await {
        Ok(held) => held,
        Err(error) => return error_response(error.status(), &error.to_string(), Vec::new(), None),
    };
    let body = &held.bytes;
    match (&head.method, head.uri.path()) {
        (&Method::GET, READY_PATH) if node.lifecycle() == Lifecycle::Ready => text("ready".to_string()),
        (&Method::GET, READY_PATH) => {
            error_response(StatusCode::SERVICE_UNAVAILABLE, "not ready", Vec::new(), None)
        }
        (&Method::GET, METRICS_PATH) => text(node.metrics_text()),
        (&Method::GET, STATUS_PATH) => json(StatusCode::OK, &status(node)),
        (&Method::GET, DOCUMENT_PATH) => get_document(node).await,
        (&Method::POST, PLAN_PATH) => make_plan(node, body).await,
        (&Method::POST, LIFT_PATH) => lift(node, body),
        (&Method::POST, CONFIRM_PATH) => confirm(node, body).await,
        _ => error_response(StatusCode::NOT_FOUND, "no such call", Vec::new(), None),
    }
}

/// The suspect that an operator clears.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Lift {
    /// Fingerprint of the request, or identity of the part, as printed in the status and the log.
    pub fingerprint: String,
}

fn lift(node: &OwnNode, body: &Bytes) -> Answer {
    let read = serde_json::from_slice::<Lift>(body).map_err(|error| error.to_string());
    let suspect = read.and_then(|lift| {
        let parsed = lift.fingerprint.parse::<SuspectId>();
        parsed.map_err(|error| format!("fingerprint: {error}"))
    });
    match suspect {
        Ok(suspect) if crash_reports::lift(node, suspect) => text("lifted".to_string()),
        Ok(_) => error_response(
            StatusCode::NOT_FOUND,
            "no replica ended under this request or part",
            Vec::new(),
            None,
        ),
        Err(finding) => error_response(
            StatusCode::BAD_REQUEST,
            "the request cannot be read",
            vec![finding],
            None,
        ),
    }
}

async fn stored_document(node: &OwnNode) -> Result<Option<(Document, u64)>, StoreError> {
    let snapshot = node
        .store()
        .range(DOCUMENT_KEY, Freshness::Latest, DOCUMENT_READ_TIMEOUT)
        .await?;
    let item = snapshot.items.into_iter().find(|item| item.key == DOCUMENT_KEY);
    item.map(|item: Item| {
        let document =
            serde_json::from_slice(&item.value).map_err(|error| StoreError::Protocol(error.to_string()))?;
        Ok((document, item.revision))
    })
    .transpose()
}

async fn get_document(node: &OwnNode) -> Answer {
    match stored_document(node).await {
        Ok(Some((document, _))) => json(StatusCode::OK, &document),
        Ok(None) => error_response(StatusCode::NOT_FOUND, "no document yet", Vec::new(), None),
        Err(error) => store_error_response(&error),
    }
}

async fn make_plan(node: &OwnNode, body: &Bytes) -> Answer {
    let desired: Document = match serde_json::from_slice(body) {
        Ok(desired) => desired,
        Err(error) => {
            let findings = vec![error.to_string()];
            return error_response(
                StatusCode::BAD_REQUEST,
                "the document cannot be read",
                findings,
                None,
            );
        }
    };
    let findings = desired.findings();
    if !findings.is_empty() {
        return error_response(
            StatusCode::BAD_REQUEST,
            "the document has findings",
            findings,
            None,
        );
    }
    match plan_for(node, desired).await {
        Ok(plan) => json(StatusCode::OK, &plan),
        Err(error) => store_error_response(&error),
    }
}

async fn plan_for(node: &OwnNode, desired: Document) -> Result<PlanDocument, StoreError> {
    let (present, base_revision) = match stored_document(node).await? {
        Some((document, revision)) => (document.configuration(), revision),
        None => (Default::default(), 0),
    };
    let steps = plan(&present, &desired.configuration(), &node.state.borrow().replicas);
    Ok(PlanDocument {
        base_revision,
        document: desired,
        steps: steps.iter().map(step_text).collect(),
    })
}

async fn confirm(node: &OwnNode, body: &Bytes) -> Answer {
    let plan: PlanDocument = match serde_json::from_slice(body) {
        Ok(plan) => plan,
        Err(error) => {
            let findings = vec![error.to_string()];
            return error_response(StatusCode::BAD_REQUEST, "the plan cannot be read", findings, None);
        }
    };
    match try_confirm(node, &plan).await {
        Ok(Some(confirmed)) => json(StatusCode::OK, &confirmed),
        Ok(None) => match plan_for(node, plan.document).await {
            Ok(new_plan) => {
                let reason = "another change came first; here is a plan for the present state";
                error_response(StatusCode::CONFLICT, reason, Vec::new(), Some(new_plan))
            }
            Err(error) => store_error_response(&error),
        },
        Err(error) => store_error_response(&error),
    }
}

/// Writes the plan's document if the stored one is still at the plan's base revision; returns
/// `None` if it is not.
async fn try_confirm(node: &OwnNode, plan: &PlanDocument) -> Result<Option<Confirmed>, StoreError> {
    let version = stored_document(node)
        .await?
        .map_or(0, |(document, _)| document.version)
        + 1;
    let document = Document {
        version,
        ..plan.document.clone()
    };
    let value = serde_json::to_vec(&document).map_err(|error| StoreError::Protocol(error.to_string()))?;
    let put = ConditionalPut {
        conditions: vec![Expectation {
            key: DOCUMENT_KEY.into(),
            revision: plan.base_revision,
        }],
        writes: vec![Write {
            key: DOCUMENT_KEY.into(),
            value: value.into(),
            lease: 0,
        }],
    };
    match node.store().put(put).await {
        Ok(PutOutcome::Done { revision }) => {
            tracing::info!(target: "operator", event = "plan confirmed", version, revision);
            Ok(Some(Confirmed { revision, version }))
        }
        Ok(PutOutcome::Rejected) => Ok(None),
        Err(StoreError::NoAnswer) => verify_unanswered_write(node, &document).await,
        Err(error) => Err(error),
    }
}

/// Reads the document back after a write without an answer, to find out whether it was stored.
///
/// Returns [`StoreError::NoAnswer`] if it was not found, as the outcome is then unknown.
async fn verify_unanswered_write(
    node: &OwnNode,
    written: &Document,
) -> Result<Option<Confirmed>, StoreError> {
    match stored_document(node).await? {
        Some((document, revision)) if document == *written => Ok(Some(Confirmed {
            revision,
            version: document.version,
        })),
        _ => Err(StoreError::NoAnswer),
    }
}

fn step_text(step: &PlannedStep) -> String {
    match step {
        PlannedStep::AddModel { model, .. } => {
            format!("add model {model}; it is loaded when first asked for")
        }
        PlannedStep::RemoveModel { model, .. } => format!("remove model {model}"),
        PlannedStep::ChangeModel { model, .. } => format!("change model {model}"),
        PlannedStep::StopModelOnReplica { replica, model } => {
            format!("stop using model {model} on replica {replica}")
        }
    }
}

fn text(body: String) -> Answer {
    Response::new(AnswerBody::full(body))
}

fn json<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    let mut answer = Response::new(AnswerBody::full(serde_json::to_vec(value).unwrap_or_default()));
    *answer.status_mut() = status;
    answer
}

fn error_response(
    status: StatusCode,
    error: &str,
    findings: Vec<String>,
    new_plan: Option<PlanDocument>,
) -> Answer {
    json(
        status,
        &Failure {
            error: error.to_string(),
            findings,
            new_plan,
        },
    )
}

fn store_error_response(error: &StoreError) -> Answer {
    error_response(
        StatusCode::SERVICE_UNAVAILABLE,
        &format!("nothing is known to have changed: {error}"),
        Vec::new(),
        None,
    )
}
