//! Loads for streams that go on only at replicas of one software version, none of which holds their
//! model.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::goals::MODEL_PATIENCE;
use super::{GoalReason, Orderer};
use crate::catalog::{EngineSpec, ModelName, ServiceName};
use crate::demand::ModelKey;
use crate::placement::CandidateScope;
use crate::replica::ReplicaId;
use crate::software_versions::SoftwareVersion;
use crate::time::Moment;

/// Time after the last word on a wait for which it counts: some intervals between two words.
const WAIT_EXPIRY: Duration = Duration::from_secs(4);
/// Maximum number of waits: a few of the models that a release moves at a time.
const MAX_WAITS: usize = 64;

/// A model that is awaited at replicas of a version.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Awaited {
    service: ServiceName,
    model: ModelName,
    version: SoftwareVersion,
}

/// What waits for such a model.
#[derive(Debug)]
struct Wait {
    since: Moment,
    last_word_at: Moment,
    /// Times of the words in the last [`WAIT_EXPIRY`]. They stand for the requests that wait: nodes
    /// tell of a request at most twice a second, and relays of all requests together.
    words: Vec<Moment>,
    /// The ready replicas of the version that are in reach.
    replicas: BTreeSet<ReplicaId>,
}

/// The models that are awaited at replicas of one version.
#[derive(Debug, Default)]
pub(super) struct VersionWaits {
    waits: BTreeMap<Awaited, Wait>,
    /// Requests for which the goal of a replica was set.
    goals: BTreeMap<ReplicaId, f64>,
}

impl VersionWaits {
    /// Returns the requests that wait for the goal of a replica, if it was set for such.
    pub(super) fn waiting_for_goal(&self, id: &str) -> Option<f64> {
        self.goals.get(id).copied()
    }

    pub(super) fn forget_goal(&mut self, id: &str) {
        self.goals.remove(id);
    }

    pub(super) fn retain_goals(&mut self, keep: impl Fn(&str) -> bool) {
        self.goals.retain(|id, _| keep(id));
    }
}

impl Orderer {
    /// Records that a request waits for a model at replicas of a software version, of which these
    /// are ready.
    pub fn mark_waiting_at(
        &mut self,
        key: &ModelKey,
        version: &SoftwareVersion,
        replicas: BTreeSet<ReplicaId>,
        now: Moment,
    ) {
        let awaited = Awaited {
            service: key.service.clone(),
            model: key.model.clone(),
            version: version.clone(),
        };
        let waits = &mut self.version_waits.waits;
        if !waits.contains_key(&awaited) && waits.len() >= MAX_WAITS {
            return;
        }
        let wait = waits.entry(awaited).or_insert_with(|| Wait {
            since: now,
            last_word_at: now,
            words: Vec::new(),
            replicas: BTreeSet::new(),
        });
        wait.last_word_at = now;
        wait.words.retain(|at| now.since(*at) < WAIT_EXPIRY);
        wait.words.push(now);
        wait.replicas = replicas;
    }

    /// Sets goals for models that are awaited at replicas of one version.
    pub(super) fn set_version_goals(&mut self, service: &ServiceName, engine: &EngineSpec, now: Moment) {
        self.version_waits
            .waits
            .retain(|_, wait| now.since(wait.last_word_at) < WAIT_EXPIRY);
        let awaited = self.version_waits.waits.keys();
        let awaited: Vec<Awaited> = awaited.filter(|key| key.service == *service).cloned().collect();
        for key in awaited {
            self.set_version_goal(&key, engine, now);
        }
    }

    fn set_version_goal(&mut self, awaited: &Awaited, engine: &EngineSpec, now: Moment) {
        let Some(wait) = self.version_waits.waits.get(awaited) else {
            return;
        };
        let (replicas, waiting) = (wait.replicas.clone(), wait.words.len() as f64);
        let waited = now.since(wait.since);
        let (service, model) = (&awaited.service, &awaited.model);
        if replicas.iter().any(|id| self.has_or_loads(id, model)) {
            return;
        }
        let store_allowed = self.may_plan_store_load(service, engine, now);
        let view = self.placement_of(service, engine, now);
        let best = view.best_target_among(&replicas, model, store_allowed, CandidateScope::All);
        let home = best.as_ref().map(|target| &target.replica);
        if !self.config.scope.may_act(home, waited, MODEL_PATIENCE) {
            return;
        }
        let target = view.best_target_among(&replicas, model, store_allowed, CandidateScope::Own);
        let target = target.filter(|target| waiting > target.missed_requests);
        let holders = view.expected_holder_count(model);
        if let Some(best) = best {
            self.await_confirmation(&best.replica, now);
        }
        if let Some(target) = target {
            self.set_goal(&target.replica, model.clone(), GoalReason::StreamVersion, holders);
            self.version_waits.goals.insert(target.replica, waiting);
        }
    }

    /// Returns whether a replica in reach holds a model or is to load it.
    fn has_or_loads(&self, id: &str, model: &ModelName) -> bool {
        let replica = self.replicas.get(id);
        replica.is_some_and(|replica| replica.retains(model) || replica.awaits(model))
    }
}
