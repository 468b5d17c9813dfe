//! The gateway's side of a node: chooses engines and retries refusals, with the
//! gateway's own rules.

use super::names::Names;
use super::{ColdChoice, Message, News, Sim};
use crate::identifiers::{EngineIndex, ModelIndex, NodeIndex, RequestIndex};
use croftrill_gateway::load_table::LoadTable;
use croftrill_gateway::retry_policy::{next_step, shows_not_loaded, NextStep};
use croftrill_gateway::routing::{self, Candidate};
use croftrill_protocol::attempt::QueueLoad;
use croftrill_state::outcome::{Refusal, RefusalCause};
use croftrill_state::retry_budget::{RetryBudget, RetryBudgetConfig};
use croftrill_state::{ClusterState, Instant};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use std::collections::{BTreeMap, BTreeSet};

/// Most attempts for one request, as the gateway's default.
const MOST_ATTEMPTS: usize = 6;

/// When a caller should come back if nothing better is known, as in the
/// gateway, in milliseconds.
const DEFAULT_RETRY_AFTER_MILLIS: u64 = 1000;

/// A router.
pub(super) struct Router {
    node: NodeIndex,
    cold_choice: ColdChoice,
    loads: LoadTable,
    retry_budget: RetryBudget,
    random: SmallRng,
    /// Engines that refused a request which is still open.
    tried: BTreeMap<RequestIndex, BTreeSet<EngineIndex>>,
}

impl Router {
    pub(super) fn new(node: usize, cold_choice: ColdChoice) -> Self {
        Self {
            node: NodeIndex(node),
            cold_choice,
            loads: LoadTable::default(),
            retry_budget: RetryBudget::new(RetryBudgetConfig::default(), Instant(0)),
            random: SmallRng::seed_from_u64(node as u64),
            tried: BTreeMap::new(),
        }
    }

    /// Sends a request to the next engine that did not refuse it yet.
    pub(super) fn route(
        &mut self,
        world: &mut Sim<'_>,
        request: RequestIndex,
        state: &ClusterState,
        names: &Names,
    ) {
        let model = world.request(request).model;
        let tried = self.tried.entry(request).or_default().clone();
        let next = self
            .ordered(world, model, state, names)
            .into_iter()
            .filter_map(|candidate| names.engine_index(&candidate.engine))
            .find(|engine| !tried.contains(engine));
        match next {
            Some(engine) => {
                self.loads.attempt_started(names.engine(engine));
                let delay = world.delay(self.node, engine);
                world.send(delay, Message::Attempt(request, engine));
            }
            None => self.give_up(
                world,
                request,
                &Refusal::not_run(RefusalCause::NoReplica, DEFAULT_RETRY_AFTER_MILLIS),
            ),
        }
    }

    fn ordered(
        &mut self,
        world: &Sim<'_>,
        model: ModelIndex,
        state: &ClusterState,
        names: &Names,
    ) -> Vec<Candidate> {
        let id = names.model(model);
        let now = world.instant();
        let mut candidates = routing::candidates(state, id);
        if self.cold_choice == ColdChoice::Random {
            let (mut loaded, mut cold): (Vec<_>, Vec<_>) = candidates
                .into_iter()
                .partition(|candidate| self.loads.is_known_loaded(id, &candidate.engine, now));
            cold.shuffle(&mut self.random);
            loaded = routing::order(loaded, id, &self.loads, now, &mut self.random);
            loaded.extend(cold);
            return loaded;
        }
        candidates = routing::order(candidates, id, &self.loads, now, &mut self.random);
        candidates
    }

    /// Takes a refusal; tells whether the request should be routed again.
    pub(super) fn refused(
        &mut self,
        world: &mut Sim<'_>,
        request: RequestIndex,
        engine: EngineIndex,
        refusal: Refusal,
        load: QueueLoad,
        names: &Names,
    ) -> bool {
        let now = world.instant();
        let id = names.engine(engine);
        self.loads.attempt_ended(id);
        self.loads.record_load(id, load, now);
        if shows_not_loaded(refusal.cause) {
            let model = names.model(world.request(request).model);
            self.loads.forget_loaded(model, id);
        }
        let tried = self.tried.entry(request).or_default();
        tried.insert(engine);
        let gives_up = next_step(refusal.cause) == NextStep::GiveUp || tried.len() >= MOST_ATTEMPTS;
        let tried_all = tried.len() >= world.model(world.request(request).model).max_replicas as usize;
        if gives_up || tried_all {
            self.give_up(world, request, &refusal);
            return false;
        }
        if !self.retry_budget.try_retry(now) {
            let until = self
                .retry_budget
                .millis_until_retry(now)
                .unwrap_or(DEFAULT_RETRY_AFTER_MILLIS);
            let refusal = Refusal::not_run(RefusalCause::RetryBudgetExhausted, until.max(1));
            self.give_up(world, request, &refusal);
            return false;
        }
        true
    }

    pub(super) fn news(
        &mut self,
        world: &Sim<'_>,
        request: RequestIndex,
        engine: EngineIndex,
        load: QueueLoad,
        news: News,
        names: &Names,
    ) {
        let now = world.instant();
        let id = names.engine(engine);
        let model = names.model(world.request(request).model);
        match news {
            News::Accepted => self.loads.record_load(id, load, now),
            News::FirstToken => self.loads.record_loaded(model, id, now),
            News::Finished => {
                self.loads.attempt_ended(id);
                self.loads.record_load(id, load, now);
                self.loads.record_loaded(model, id, now);
                self.retry_budget.record_success();
                self.tried.remove(&request);
            }
        }
    }

    fn give_up(&mut self, world: &mut Sim<'_>, request: RequestIndex, refusal: &Refusal) {
        self.tried.remove(&request);
        world.refuse(request, refusal);
    }
}
