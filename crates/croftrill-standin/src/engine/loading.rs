//! Loads in progress: reads checkpoints and marks what is ready.

use super::{Engine, State};
use crate::server::now_millis;
use croftrill_platform::engine::{CheckpointSource, LoadAdapter, LoadModel, LoadState};
use croftrill_platform::weight_store::WeightStoreError;
use croftrill_platform::wire::weight_store::CheckpointRead;
use croftrill_platform::{http::ReadOutcome, HttpWeightStore};
use croftrill_state::ModelId;
use std::sync::Arc;
use std::time::{Duration, Instant};

impl Engine {
    /// Runs until the load is complete; stopped if the model is released.
    pub(super) async fn finish_model_load(self: Arc<Self>, order: LoadModel, place: usize) {
        let (source, slow_factor) = {
            let mut state = self.lock();
            let source = state.source_of(&order.model);
            state.ledger.loads[place].source = Some(source);
            (source, state.faults.slow_load_factor)
        };
        let began = Instant::now();
        let read = self.read_checkpoint(&order, source).await;
        let extra = began.elapsed().as_secs_f64() * (slow_factor - 1.0);
        tokio::time::sleep(seconds(extra)).await;
        self.thawed().await;
        self.lock().complete_model_load(&order, place, read.is_ok());
    }

    /// Runs until the adapter is loaded; stopped if it is released.
    pub(super) async fn finish_adapter_load(self: Arc<Self>, order: LoadAdapter, place: usize) {
        let slow_factor = self.lock().faults.slow_load_factor;
        let time = Duration::from_millis(self.config.adapter_load_millis).as_secs_f64();
        tokio::time::sleep(seconds(time * slow_factor)).await;
        self.thawed().await;
        let mut state = self.lock();
        let base = state.held.models.get_mut(&order.base);
        let Some(held) = base.and_then(|base| base.adapters.get_mut(&order.adapter)) else {
            return;
        };
        if held.load.ledger_place == place {
            held.load.state = LoadState::Loaded;
            state.ledger.loads[place].loaded_at_millis = Some(now_millis());
        }
    }

    async fn read_checkpoint(
        &self,
        order: &LoadModel,
        source: CheckpointSource,
    ) -> Result<(), WeightStoreError> {
        let speed = match (source, &self.weight_store) {
            (CheckpointSource::Remote, Some(store)) => return read_remote(store, order).await,
            (CheckpointSource::Remote, None) => self.config.remote_mib_per_second,
            (CheckpointSource::Disk, _) => self.config.disk_mib_per_second,
            (CheckpointSource::Memory, _) => self.config.memory_mib_per_second,
        };
        tokio::time::sleep(seconds(order.checkpoint_mib as f64 / speed)).await;
        Ok(())
    }
}

impl State {
    fn source_of(&self, model: &ModelId) -> CheckpointSource {
        if self.memory_cache.contains(model) {
            CheckpointSource::Memory
        } else if self.disk_cache.contains(model) {
            CheckpointSource::Disk
        } else {
            CheckpointSource::Remote
        }
    }

    fn complete_model_load(&mut self, order: &LoadModel, place: usize, read: bool) {
        let is_present = |held: &&mut super::held::Held| held.load.ledger_place == place;
        let Some(held) = self.held.models.get_mut(&order.model).filter(is_present) else {
            return;
        };
        if !read || self.faults.fail_next_loads > 0 {
            self.faults.fail_next_loads = self.faults.fail_next_loads.saturating_sub(1);
            self.release(&order.model, true);
            return;
        }
        held.load.state = LoadState::Loaded;
        self.ledger.loads[place].loaded_at_millis = Some(now_millis());
        self.memory_cache.insert(&order.model, order.checkpoint_mib);
        self.disk_cache.insert(&order.model, order.checkpoint_mib);
    }
}

/// Reads from the weight store, waiting whenever it limits the rate.
async fn read_remote(store: &HttpWeightStore, order: &LoadModel) -> Result<(), WeightStoreError> {
    let read = CheckpointRead {
        model: order.model.clone(),
        checkpoint_mib: order.checkpoint_mib,
    };
    loop {
        match store.read_checkpoint(&read).await? {
            ReadOutcome::Complete => return Ok(()),
            ReadOutcome::RateLimited { retry_after_millis } => {
                tokio::time::sleep(Duration::from_millis(retry_after_millis.max(1))).await;
            }
        }
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or_default()
}
