//! The engine in memory. It refuses what a real engine refuses, and records
//! breaches of what must hold.

use async_trait::async_trait;
use croftrill_platform::engine::*;
use croftrill_state::{AdapterId, AttemptId, FencingToken, ModelId};
use futures::StreamExt;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How the engine behaves.
#[derive(Clone, Debug)]
pub struct Behaviour {
    pub load_millis: u64,
    pub adapter_load_millis: u64,
    pub token_millis: u64,
    pub unreachable: bool,
    pub lose_order_answers: bool,
    pub fail_loads: bool,
    /// Break each stream after so many tokens.
    pub break_after_tokens: Option<u32>,
    pub refuse_runs: bool,
    /// Requests start, but the answer that says so is lost.
    pub lose_run_answers: bool,
    /// A closed stream does not end its run; only a cancellation does.
    pub ignore_closed_streams: bool,
    /// Answer orders and inventories after this long.
    pub answer_millis: u64,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            load_millis: 100,
            adapter_load_millis: 30,
            token_millis: 5,
            unreachable: false,
            lose_order_answers: false,
            fail_loads: false,
            break_after_tokens: None,
            refuse_runs: false,
            lose_run_answers: false,
            ignore_closed_streams: false,
            answer_millis: 1,
        }
    }
}

/// What happened on the engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    Ran(AttemptId, FencingToken),
    LoadOrdered(ModelId),
    Unloaded(ModelId),
    RunFenced(AttemptId),
    AdapterLoaded(AdapterId),
    AdapterUnloaded(AdapterId),
    Breach(String),
}

struct Held {
    model: HeldModel,
    ready_at: tokio::time::Instant,
    adapters_ready_at: tokio::time::Instant,
    running: u32,
}

impl Held {
    fn is_ready(&self, adapter: Option<&AdapterId>) -> bool {
        let mut adapters = self.model.adapters.iter();
        let adapter_ready = adapter
            .is_none_or(|id| adapters.any(|held| held.adapter == *id && held.state == LoadState::Loaded));
        self.model.state == LoadState::Loaded && adapter_ready
    }
}

#[derive(Default)]
struct Inner {
    token: FencingToken,
    held: BTreeMap<ModelId, Held>,
    running: BTreeMap<AttemptId, ModelId>,
    cached_in_memory: Vec<ModelId>,
    records: Vec<Record>,
    inventories: usize,
    behaviour: Behaviour,
}

/// The engine.
#[derive(Clone)]
pub struct MemoryEngine {
    inner: Arc<Mutex<Inner>>,
    capacity: Vec<u64>,
}

/// Ends the running mark when the stream is dropped.
struct RunGuard {
    engine: MemoryEngine,
    attempt: AttemptId,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let ignored = self.engine.inner.lock().unwrap().behaviour.ignore_closed_streams;
        if !ignored {
            self.engine.end_run(self.attempt);
        }
    }
}

impl MemoryEngine {
    pub fn new(capacity: Vec<u64>) -> Self {
        Self {
            inner: Arc::default(),
            capacity,
        }
    }

    pub fn behave(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.inner.lock().unwrap().behaviour);
    }

    pub fn records(&self) -> Vec<Record> {
        self.inner.lock().unwrap().records.clone()
    }

    pub fn breaches(&self) -> Vec<Record> {
        let is_breach = |record: &Record| matches!(record, Record::Breach(_));
        self.records().into_iter().filter(is_breach).collect()
    }

    pub fn runs_of(&self, attempt: AttemptId) -> usize {
        let is_run = |record: &&Record| matches!(record, Record::Ran(found, _) if *found == attempt);
        self.records().iter().filter(is_run).count()
    }

    pub fn loads(&self) -> usize {
        let is_load = |record: &&Record| matches!(record, Record::LoadOrdered(_));
        self.records().iter().filter(is_load).count()
    }

    pub fn running(&self) -> usize {
        self.inner.lock().unwrap().running.len()
    }

    pub fn inventories(&self) -> usize {
        self.inner.lock().unwrap().inventories
    }

    pub fn holds(&self, model: &str) -> bool {
        self.inner
            .lock()
            .unwrap()
            .held
            .contains_key(&ModelId::from(model))
    }

    /// Puts a model on the engine behind the owner's back.
    pub fn hold(&self, model: HeldModel, ready_in_millis: u64) {
        let ready_at = tokio::time::Instant::now() + Duration::from_millis(ready_in_millis);
        let held = Held {
            ready_at,
            adapters_ready_at: ready_at,
            running: 0,
            model,
        };
        self.inner
            .lock()
            .unwrap()
            .held
            .insert(held.model.model.clone(), held);
    }

    /// The engine process restarts: it holds nothing and knows no token.
    pub fn restart(&self) {
        let mut inner = self.inner.lock().unwrap();
        inner.held.clear();
        inner.running.clear();
        inner.token = FencingToken(0);
    }

    pub fn raise_token(&self, token: FencingToken) {
        self.inner.lock().unwrap().token = token;
    }

    fn end_run(&self, attempt: AttemptId) {
        let mut inner = self.inner.lock().unwrap();
        if let Some(model) = inner.running.remove(&attempt) {
            if let Some(held) = inner.held.get_mut(&model) {
                held.running -= 1;
            }
        }
    }

    async fn reach(&self) -> Result<(), EngineError> {
        let (unreachable, pause) = {
            let inner = self.inner.lock().unwrap();
            (inner.behaviour.unreachable, inner.behaviour.answer_millis)
        };
        tokio::time::sleep(Duration::from_millis(pause)).await;
        if unreachable {
            return Err(EngineError::Unreachable("connection refused".to_string()));
        }
        Ok(())
    }

    fn answer(&self, outcome: OrderOutcome) -> Result<OrderOutcome, EngineError> {
        if self.inner.lock().unwrap().behaviour.lose_order_answers {
            return Err(EngineError::Broken("answer lost".to_string()));
        }
        Ok(outcome)
    }

    fn snapshot(&self) -> Inventory {
        let mut inner = self.inner.lock().unwrap();
        let now = tokio::time::Instant::now();
        let fail_loads = inner.behaviour.fail_loads;
        inner.held.retain(|_, held| {
            let ends_now = held.model.state == LoadState::Loading && held.ready_at <= now;
            !(fail_loads && ends_now)
        });
        for held in inner.held.values_mut() {
            if held.ready_at <= now {
                held.model.state = LoadState::Loaded;
            }
            if held.adapters_ready_at <= now {
                for adapter in &mut held.model.adapters {
                    adapter.state = LoadState::Loaded;
                }
            }
        }
        Inventory {
            fencing_token: inner.token,
            models: inner.held.values().map(|held| held.model.clone()).collect(),
            running: inner.running.keys().copied().collect(),
            cached_in_memory: inner.cached_in_memory.clone(),
            cached_on_disk: Vec::new(),
        }
    }

    fn overcommitted(&self, inner: &Inner) -> bool {
        let mut used = vec![0; self.capacity.len()];
        for held in inner.held.values() {
            let adapters: u64 = held
                .model
                .adapters
                .iter()
                .map(|a| a.memory_mib_per_accelerator)
                .sum();
            for accelerator in &held.model.accelerators {
                used[*accelerator as usize] += held.model.memory_mib_per_accelerator + adapters;
            }
        }
        used.iter()
            .zip(&self.capacity)
            .any(|(used, capacity)| used > capacity)
    }

    fn fenced(inner: &Inner, token: FencingToken) -> Option<OrderOutcome> {
        (token < inner.token).then_some(OrderOutcome::Fenced { highest: inner.token })
    }

    fn begin_run(&self, request: &EngineRequest) -> Result<Behaviour, EngineError> {
        self.snapshot();
        let mut inner = self.inner.lock().unwrap();
        if request.fencing_token < inner.token {
            inner.records.push(Record::RunFenced(request.attempt));
            return Err(EngineError::Fenced { highest: inner.token });
        }
        let refuse_runs = inner.behaviour.refuse_runs;
        let held = inner.held.get_mut(&request.model);
        let loaded = held.filter(|held| held.is_ready(request.adapter.as_ref()));
        let Some(held) = loaded.filter(|_| !refuse_runs) else {
            return Err(EngineError::Refused {
                reason: "model not loaded".to_string(),
                retry_after_millis: 77,
            });
        };
        held.running += 1;
        inner.running.insert(request.attempt, request.model.clone());
        let record = Record::Ran(request.attempt, request.fencing_token);
        inner.records.push(record);
        Ok(inner.behaviour.clone())
    }
}

/// The text of one token of every answer.
pub fn token_text(offset: u32) -> String {
    format!("t{offset} ")
}

#[async_trait]
impl EngineClient for MemoryEngine {
    async fn fence(&self, token: FencingToken) -> Result<Inventory, EngineError> {
        self.reach().await?;
        let highest = self.inner.lock().unwrap().token;
        if token < highest {
            return Err(EngineError::Fenced { highest });
        }
        self.inner.lock().unwrap().token = token;
        Ok(self.snapshot())
    }

    async fn inventory(&self) -> Result<Inventory, EngineError> {
        self.reach().await?;
        self.inner.lock().unwrap().inventories += 1;
        Ok(self.snapshot())
    }

    async fn load_model(&self, token: FencingToken, order: LoadModel) -> Result<OrderOutcome, EngineError> {
        self.reach().await?;
        let outcome = {
            let mut inner = self.inner.lock().unwrap();
            if let Some(fenced) = Self::fenced(&inner, token) {
                return Ok(fenced);
            }
            inner.records.push(Record::LoadOrdered(order.model.clone()));
            let load_millis = inner.behaviour.load_millis;
            let held = Held {
                model: HeldModel {
                    model: order.model.clone(),
                    version: order.version,
                    state: LoadState::Loading,
                    accelerators: order.accelerators,
                    memory_mib_per_accelerator: order.memory_mib_per_accelerator,
                    adapters: Vec::new(),
                },
                ready_at: tokio::time::Instant::now() + Duration::from_millis(load_millis),
                adapters_ready_at: tokio::time::Instant::now(),
                running: 0,
            };
            if inner.held.insert(order.model.clone(), held).is_some() {
                inner
                    .records
                    .push(Record::Breach(format!("{} loaded twice", order.model)));
            }
            if self.overcommitted(&inner) {
                inner
                    .records
                    .push(Record::Breach("memory overcommitted".to_string()));
            }
            OrderOutcome::Accepted
        };
        self.answer(outcome)
    }

    async fn unload_model(&self, token: FencingToken, model: &ModelId) -> Result<OrderOutcome, EngineError> {
        self.reach().await?;
        {
            let mut inner = self.inner.lock().unwrap();
            if let Some(fenced) = Self::fenced(&inner, token) {
                return Ok(fenced);
            }
            if inner.held.get(model).is_some_and(|held| held.running > 0) {
                inner
                    .records
                    .push(Record::Breach(format!("{model} unloaded in use")));
            }
            inner.held.remove(model);
            inner.records.push(Record::Unloaded(model.clone()));
        }
        self.answer(OrderOutcome::Accepted)
    }

    async fn load_adapter(
        &self,
        token: FencingToken,
        order: LoadAdapter,
    ) -> Result<OrderOutcome, EngineError> {
        self.reach().await?;
        {
            let mut inner = self.inner.lock().unwrap();
            if let Some(fenced) = Self::fenced(&inner, token) {
                return Ok(fenced);
            }
            let load_millis = inner.behaviour.adapter_load_millis;
            let Some(base) = inner.held.get_mut(&order.base) else {
                return Ok(OrderOutcome::Rejected {
                    reason: "base not loaded".to_string(),
                });
            };
            base.model.adapters.push(HeldAdapter {
                adapter: order.adapter.clone(),
                version: order.version,
                state: LoadState::Loading,
                memory_mib_per_accelerator: order.memory_mib_per_accelerator,
            });
            base.adapters_ready_at = tokio::time::Instant::now() + Duration::from_millis(load_millis);
            inner.records.push(Record::AdapterLoaded(order.adapter));
            if self.overcommitted(&inner) {
                inner
                    .records
                    .push(Record::Breach("memory overcommitted".to_string()));
            }
        }
        self.answer(OrderOutcome::Accepted)
    }

    async fn unload_adapter(
        &self,
        token: FencingToken,
        adapter: &AdapterId,
    ) -> Result<OrderOutcome, EngineError> {
        self.reach().await?;
        {
            let mut inner = self.inner.lock().unwrap();
            if let Some(fenced) = Self::fenced(&inner, token) {
                return Ok(fenced);
            }
            for held in inner.held.values_mut() {
                held.model.adapters.retain(|found| found.adapter != *adapter);
            }
            inner.records.push(Record::AdapterUnloaded(adapter.clone()));
        }
        self.answer(OrderOutcome::Accepted)
    }

    async fn run(&self, request: EngineRequest) -> Result<EngineStream, EngineError> {
        self.reach().await?;
        let behaviour = self.begin_run(&request)?;
        let guard = RunGuard {
            engine: self.clone(),
            attempt: request.attempt,
        };
        if behaviour.lose_run_answers {
            return Err(EngineError::Broken("answer lost".to_string()));
        }
        let first = request.resume_tokens;
        let steps = futures::stream::unfold((first, false, guard), move |(offset, done, guard)| {
            let behaviour = behaviour.clone();
            async move {
                if done {
                    return None;
                }
                tokio::time::sleep(Duration::from_millis(behaviour.token_millis)).await;
                if behaviour
                    .break_after_tokens
                    .is_some_and(|most| offset - first >= most)
                {
                    let broken = Err(EngineError::Broken("cut".to_string()));
                    return Some((broken, (offset, true, guard)));
                }
                if offset >= request.max_tokens {
                    let finished = Ok(EngineEvent::Finished {
                        tokens: offset,
                        prompt_tokens: 3,
                        reached_length: true,
                    });
                    return Some((finished, (offset, true, guard)));
                }
                let tokens = Ok(EngineEvent::Tokens {
                    offset,
                    count: 1,
                    text: token_text(offset),
                });
                Some((tokens, (offset + 1, false, guard)))
            }
        });
        Ok(steps.boxed())
    }

    async fn cancel(&self, attempt: AttemptId) -> Result<(), EngineError> {
        self.reach().await?;
        self.end_run(attempt);
        Ok(())
    }
}
