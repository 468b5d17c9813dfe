//! An engine: accelerator memory, held models, continuous batching.

use super::checkpoint_cache::CheckpointCache;
use crate::identifiers::{AdapterIndex, GroupIndex, Micros, ModelIndex, RequestIndex, MILLISECOND, SECOND};
use crate::scenario::EngineProfile;
use crate::workload::{ModelSpec, RequestSpec};
use std::collections::{BTreeMap, BTreeSet};

/// Progress of a held model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldState {
    /// Its load runs; the load's number.
    Loading(u64),
    /// Ready.
    Loaded,
    /// Being unloaded; its memory is still taken.
    Unloading,
}

/// A model that an engine holds.
#[derive(Clone, Debug)]
pub struct HeldModel {
    /// Progress.
    pub state: HeldState,
    /// Accelerators that it spans.
    pub accelerators: Vec<usize>,
    /// Requests of it that run.
    pub running: usize,
    /// When it was last used, or held first.
    pub last_used: Micros,
    /// Whether any request ran on it.
    pub was_used: bool,
    /// Adapters beside it.
    pub adapters: BTreeSet<AdapterIndex>,
}

/// What a step brought for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SequenceProgress {
    /// Its first token.
    FirstToken,
    /// Its last token.
    Finished,
}

/// A step of the batch.
#[derive(Clone, Debug)]
pub(super) struct Step {
    /// When it ends.
    pub ends: Micros,
    /// Engine time that it spends on each sequence's group.
    pub used: Vec<(GroupIndex, Micros)>,
}

#[derive(Clone, Debug)]
struct Sequence {
    request: RequestIndex,
    model: ModelIndex,
    group: GroupIndex,
    ready_at: Micros,
    prompt_left: u64,
    answer_left: u32,
    started_answer: bool,
    in_step: bool,
}

/// An engine.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// Its zone.
    pub zone: usize,
    /// Models that it holds.
    pub held: BTreeMap<ModelIndex, HeldModel>,
    /// Memory left on each accelerator, in MiB.
    pub free_mib: Vec<u64>,
    pub(super) cache: CheckpointCache,
    sequences: Vec<Sequence>,
    stepping: bool,
    max_running: usize,
    idle_since: Vec<Option<Micros>>,
    idle_micros: Micros,
}

impl EngineState {
    pub(super) fn new(zone: usize, profile: &EngineProfile) -> Self {
        Self {
            zone,
            held: BTreeMap::new(),
            free_mib: vec![profile.accelerator_memory_mib; profile.accelerators],
            cache: CheckpointCache::new(profile.memory_cache_mib, profile.disk_cache_mib),
            sequences: Vec::new(),
            stepping: false,
            max_running: profile.max_running,
            idle_since: vec![None; profile.accelerators],
            idle_micros: 0,
        }
    }

    /// Checkpoints in the machine's memory.
    pub fn cached_in_memory(&self) -> impl Iterator<Item = ModelIndex> + '_ {
        self.cache.in_memory()
    }

    /// Checkpoints on the machine's disk.
    pub fn cached_on_disk(&self) -> impl Iterator<Item = ModelIndex> + '_ {
        self.cache.on_disk()
    }

    /// Whether a model is ready.
    pub fn is_loaded(&self, model: ModelIndex) -> bool {
        self.held
            .get(&model)
            .is_some_and(|held| held.state == HeldState::Loaded)
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.sequences.len()
    }

    /// Requests that may start now.
    pub fn free_slots(&self) -> usize {
        self.max_running.saturating_sub(self.sequences.len())
    }

    /// The accelerators with most free memory that a model fits on, if any.
    pub fn fitting_accelerators(&self, model: &ModelSpec) -> Option<Vec<usize>> {
        let mut fitting: Vec<usize> = (0..self.free_mib.len())
            .filter(|accelerator| self.free_mib[*accelerator] >= model.memory_mib)
            .collect();
        fitting.sort_by_key(|accelerator| std::cmp::Reverse(self.free_mib[*accelerator]));
        fitting.truncate(model.accelerators as usize);
        (fitting.len() == model.accelerators as usize).then_some(fitting)
    }

    pub(super) fn hold(
        &mut self,
        now: Micros,
        model: ModelIndex,
        spec: &ModelSpec,
        accelerators: Vec<usize>,
        load: u64,
    ) {
        for accelerator in &accelerators {
            self.free_mib[*accelerator] -= spec.memory_mib;
        }
        let held = HeldModel {
            state: HeldState::Loading(load),
            accelerators,
            running: 0,
            last_used: now,
            was_used: false,
            adapters: BTreeSet::new(),
        };
        self.held.insert(model, held);
        self.track_idleness(now);
    }

    pub(super) fn release(&mut self, now: Micros, model: ModelIndex, spec: &ModelSpec) -> Option<HeldModel> {
        let held = self.held.remove(&model)?;
        for accelerator in &held.accelerators {
            self.free_mib[*accelerator] += spec.memory_mib;
        }
        self.track_idleness(now);
        Some(held)
    }

    pub(super) fn add_sequence(
        &mut self,
        now: Micros,
        request: RequestIndex,
        spec: &RequestSpec,
        adapter_load: Micros,
    ) {
        let held = self
            .held
            .get_mut(&spec.model)
            .expect("the model of a started request is loaded");
        held.running += 1;
        held.last_used = now;
        held.was_used = true;
        let waits_for_adapter = spec.adapter.is_some_and(|adapter| held.adapters.insert(adapter));
        self.sequences.push(Sequence {
            request,
            model: spec.model,
            group: spec.group,
            ready_at: now + if waits_for_adapter { adapter_load } else { 0 },
            prompt_left: u64::from(spec.prompt_tokens),
            answer_left: spec.answer_tokens.max(1),
            started_answer: false,
            in_step: false,
        });
        self.track_idleness(now);
    }

    /// Begins a step unless one runs; tells when it ends and whom it serves.
    pub(super) fn begin_step(&mut self, now: Micros, profile: &EngineProfile) -> Option<Step> {
        if self.stepping || self.sequences.is_empty() {
            return None;
        }
        self.stepping = true;
        let mut prefill_left = profile.prefill_tokens_per_step;
        let mut prefilled = Vec::new();
        let mut models = BTreeSet::new();
        for sequence in &mut self.sequences {
            let has_prefill_room = sequence.prompt_left == 0 || prefill_left > 0;
            sequence.in_step = sequence.ready_at <= now && has_prefill_room;
            if !sequence.in_step {
                continue;
            }
            let chunk = sequence.prompt_left.min(prefill_left);
            prefill_left -= chunk;
            prefilled.push((sequence.group, chunk));
            models.insert(sequence.model);
        }
        if prefilled.is_empty() {
            let ready = self.sequences.iter().map(|sequence| sequence.ready_at).min();
            return ready.map(|ready| Step {
                ends: ready.max(now + MILLISECOND),
                used: Vec::new(),
            });
        }
        let shared = models.len() as Micros * profile.step_micros / prefilled.len() as Micros;
        let used: Vec<(GroupIndex, Micros)> = prefilled
            .into_iter()
            .map(|(group, chunk)| {
                let prefill = chunk * SECOND / profile.prefill_tokens_per_second;
                (group, shared + profile.sequence_micros + prefill)
            })
            .collect();
        let length: Micros = used.iter().map(|(_, micros)| micros).sum();
        Some(Step {
            ends: now + length,
            used,
        })
    }

    /// Ends the step that runs.
    pub(super) fn end_step(
        &mut self,
        now: Micros,
        profile: &EngineProfile,
    ) -> Vec<(RequestIndex, SequenceProgress)> {
        self.stepping = false;
        let mut prefill_left = profile.prefill_tokens_per_step;
        let mut progress = Vec::new();
        for sequence in self.sequences.iter_mut().filter(|sequence| sequence.in_step) {
            sequence.in_step = false;
            let chunk = sequence.prompt_left.min(prefill_left);
            prefill_left -= chunk;
            sequence.prompt_left -= chunk;
            if sequence.prompt_left > 0 {
                continue;
            }
            if !sequence.started_answer {
                sequence.started_answer = true;
                progress.push((sequence.request, SequenceProgress::FirstToken));
            }
            sequence.answer_left -= 1;
            if sequence.answer_left == 0 {
                progress.push((sequence.request, SequenceProgress::Finished));
            }
        }
        self.remove_finished(now);
        progress
    }

    fn remove_finished(&mut self, now: Micros) {
        for sequence in self.sequences.iter().filter(|sequence| sequence.answer_left == 0) {
            if let Some(held) = self.held.get_mut(&sequence.model) {
                held.running -= 1;
                held.last_used = now;
            }
        }
        self.sequences.retain(|sequence| sequence.answer_left > 0);
        self.track_idleness(now);
    }

    /// Counts the time that accelerators hold models of which none runs.
    fn track_idleness(&mut self, now: Micros) {
        for accelerator in 0..self.idle_since.len() {
            let mut here = self
                .held
                .values()
                .filter(|held| held.accelerators.contains(&accelerator))
                .peekable();
            let idle = here.peek().is_some() && here.all(|held| held.running == 0);
            match (idle, self.idle_since[accelerator]) {
                (true, None) => self.idle_since[accelerator] = Some(now),
                (false, Some(since)) => {
                    self.idle_micros += now - since;
                    self.idle_since[accelerator] = None;
                }
                _ => {}
            }
        }
    }

    /// Time that accelerators held models of which none ran, in microseconds
    /// times accelerators, up to `now`.
    pub fn idle_micros(&self, now: Micros) -> Micros {
        let open: Micros = self
            .idle_since
            .iter()
            .flatten()
            .map(|since| now.saturating_sub(*since))
            .sum();
        self.idle_micros + open
    }
}
