//! The operators' intent API, served by every node as JSON over HTTP.
//!
//! An operator posts intents and gets a plan; nothing changes until the plan is
//! confirmed. Invariants:
//! - confirming the same plan twice, also through two nodes, takes effect once
//!   and answers the same revision;
//! - a plan that no longer fits the state is never applied: the answer says why
//!   and offers a fresh plan;
//! - while the key-value service is down a confirmation is refused at once.

mod confirming;
mod listings;
mod plan_store;
mod responses;
mod routes;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use bytes::Bytes;
use croftrill_protocol::operator::{IntentRequest, Plan};
use croftrill_state::cluster::ApplyError;
use croftrill_state::entry::Change;
use croftrill_state::planner::{self, EngineFacts, PlanError};
use croftrill_state::{CellId, ClusterState, NodeId, PlanId, Revision};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Body;
use plan_store::PlanStore;
use std::fmt::Display;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// What became of a proposed change.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposeOutcome {
    /// It was written at this revision and accepted.
    Accepted {
        /// The revision.
        revision: Revision,
    },
    /// It breaks a rule; nothing changed.
    Rejected(ApplyError),
    /// It was not written: the key-value service cannot be reached or refuses.
    Unavailable {
        /// When to try again, in milliseconds.
        retry_after_millis: u64,
    },
    /// It may or may not have been written.
    OutcomeUnknown,
}

/// The revision log, as operators' changes need it.
#[async_trait]
pub trait ChangeLog: Send + Sync {
    /// Appends a change and waits until this node has applied it.
    async fn propose(&self, change: Change) -> ProposeOutcome;

    /// Whether the key-value service answered lately.
    fn is_reachable(&self) -> bool;
}

/// What another node says of a plan.
#[derive(Clone, Debug, PartialEq)]
pub enum FetchedPlan {
    /// The plan, as the JSON of [`Plan`].
    Found(String),
    /// That node does not know it.
    Unknown,
    /// That node cannot be reached now.
    Unreachable,
}

/// Fetches plans from the node that made them, which the plan's identifier
/// names before its slash.
#[async_trait]
pub trait PlanFetcher: Send + Sync {
    /// Asks for a plan.
    async fn fetch_plan(&self, plan: &PlanId) -> FetchedPlan;
}

/// Configuration of the API.
#[derive(Clone, Debug)]
pub struct OperatorApiConfig {
    /// The node that serves it.
    pub node: NodeId,
    /// The node's cell.
    pub cell: CellId,
    /// Plans that are kept at most.
    pub max_plans: usize,
    /// How long a plan is kept.
    pub plan_lifetime: Duration,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
}

impl OperatorApiConfig {
    /// The usual limits.
    pub fn new(node: NodeId, cell: CellId) -> Self {
        Self {
            node,
            cell,
            max_plans: 256,
            plan_lifetime: Duration::from_secs(15 * 60),
            max_body_bytes: 1024 * 1024,
        }
    }
}

/// The API of one node.
pub struct OperatorApi {
    config: OperatorApiConfig,
    state: Arc<ArcSwap<ClusterState>>,
    facts: Arc<ArcSwap<EngineFacts>>,
    log: Arc<dyn ChangeLog>,
    peers: Arc<dyn PlanFetcher>,
    plans: Mutex<PlanStore>,
}

impl OperatorApi {
    /// An API that reads the node's published state.
    pub fn new(
        config: OperatorApiConfig,
        state: Arc<ArcSwap<ClusterState>>,
        log: Arc<dyn ChangeLog>,
        peers: Arc<dyn PlanFetcher>,
    ) -> Self {
        let plans = PlanStore::new(config.max_plans, config.plan_lifetime);
        Self {
            config,
            state,
            facts: Arc::default(),
            log,
            peers,
            plans: Mutex::new(plans),
        }
    }

    /// Lets plans consider what is known of the engines.
    pub fn with_facts(mut self, facts: Arc<ArcSwap<EngineFacts>>) -> Self {
        self.facts = facts;
        self
    }

    /// Answers one request of an operator.
    pub async fn handle<B>(&self, request: Request<B>) -> Response<Full<Bytes>>
    where
        B: Body,
        B::Error: Display + Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        routes::answer(self, request).await
    }

    /// A plan that this node keeps, as JSON; empty if it knows none. Answers
    /// other nodes' `fetch_plan`.
    pub fn plan_json(&self, id: &PlanId) -> String {
        let plan = self.kept_plan(id);
        plan.and_then(|plan| serde_json::to_string(&plan).ok())
            .unwrap_or_default()
    }

    fn make_plan(&self, request: &IntentRequest) -> Result<Plan, PlanError> {
        let state = self.state.load_full();
        let facts = self.facts.load_full();
        let planned = planner::plan(&state, &facts, &request.intents)?;
        let plan = Plan {
            id: self.new_plan_id(),
            base: state.revision,
            intents: request.intents.clone(),
            steps: planned.steps,
            actions: planned.actions,
            warnings: planned.warnings,
        };
        log::info!("operator: plan made plan={} base={}", plan.id, plan.base);
        self.keep_plan(&plan);
        Ok(plan)
    }

    fn new_plan_id(&self) -> PlanId {
        PlanId::new(format!("{}/{:032x}", self.config.node, rand::random::<u128>()))
    }

    fn keep_plan(&self, plan: &Plan) {
        let mut plans = self.plans.lock().unwrap_or_else(PoisonError::into_inner);
        plans.insert(plan.clone(), tokio::time::Instant::now());
    }

    fn kept_plan(&self, id: &PlanId) -> Option<Plan> {
        let mut plans = self.plans.lock().unwrap_or_else(PoisonError::into_inner);
        plans.get(id, tokio::time::Instant::now())
    }
}
