//! What all requests of a gateway share while they are dispatched.

use crate::caller_request::CallerRequest;
use crate::claims::ClaimAuthority;
use crate::clock::Clock;
use crate::gateway::GatewayConfig;
use crate::load_table::LoadTable;
use crate::metrics::GatewayMetrics;
use crate::routing::{self, Candidate};
use arc_swap::ArcSwap;
use croftrill_protocol::attempt::FinishReason;
use croftrill_state::outcome::Refusal;
use croftrill_state::retry_budget::RetryBudget;
use croftrill_state::{ClusterState, EngineId, Revision};
use croftrill_transport::attempt_client::AttemptClients;
use std::sync::{Arc, Mutex, MutexGuard};

/// One step of the answer to a caller. The last one is `Finished` or `Failed`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AnswerEvent {
    /// The next part of the text.
    Text(String),
    /// The answer is whole.
    Finished(AnswerSummary),
    /// There will be no whole answer.
    Failed(Refusal),
}

/// The end of a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AnswerSummary {
    pub tokens: u32,
    pub prompt_tokens: u32,
    pub reason: FinishReason,
}

/// State and services that requests share.
pub(crate) struct Dispatcher {
    pub config: GatewayConfig,
    pub state: Arc<ArcSwap<ClusterState>>,
    pub attempts: Arc<AttemptClients>,
    pub claims: Arc<dyn ClaimAuthority>,
    pub metrics: GatewayMetrics,
    pub clock: Clock,
    loads: Mutex<LoadTable>,
    retry_budget: Mutex<RetryBudget>,
    pruned_at: Mutex<Revision>,
}

impl Dispatcher {
    pub fn new(
        config: GatewayConfig,
        state: Arc<ArcSwap<ClusterState>>,
        attempts: Arc<AttemptClients>,
        claims: Arc<dyn ClaimAuthority>,
        metrics: GatewayMetrics,
    ) -> Self {
        let clock = Clock::new();
        let retry_budget = RetryBudget::new(config.retry_budget.clone(), clock.now());
        Self {
            config,
            state,
            attempts,
            claims,
            metrics,
            clock,
            loads: Mutex::default(),
            retry_budget: Mutex::new(retry_budget),
            pruned_at: Mutex::default(),
        }
    }

    /// Candidates for a request in the order in which they should be tried, and
    /// the revision that they were chosen by.
    pub fn route(&self, request: &CallerRequest) -> (Revision, Vec<Candidate>) {
        let state = self.state.load();
        self.prune(&state);
        let model = &request.target.model;
        let candidates = routing::candidates(&state, model);
        let now = self.clock.now();
        let ordered = routing::order(candidates, model, &self.loads(), now, &mut rand::rng());
        (state.revision, ordered)
    }

    /// Forgets engines that a new revision removed.
    fn prune(&self, state: &ClusterState) {
        let mut pruned_at = self.pruned_at.lock().expect("revision lock");
        if *pruned_at == state.revision {
            return;
        }
        *pruned_at = state.revision;
        self.loads()
            .retain_engines(|engine| state.engines.contains_key(engine));
    }

    pub fn loads(&self) -> MutexGuard<'_, LoadTable> {
        self.loads.lock().expect("load table lock")
    }

    pub fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget.lock().expect("retry budget lock")
    }

    /// Counts an attempt at an engine until the guard is dropped.
    pub fn outstanding(self: &Arc<Self>, engine: &EngineId) -> OutstandingAttempt {
        self.loads().attempt_started(engine);
        OutstandingAttempt {
            dispatcher: self.clone(),
            engine: engine.clone(),
        }
    }
}

/// An attempt under way.
pub(crate) struct OutstandingAttempt {
    dispatcher: Arc<Dispatcher>,
    engine: EngineId,
}

impl Drop for OutstandingAttempt {
    fn drop(&mut self) {
        self.dispatcher.loads().attempt_ended(&self.engine);
    }
}
