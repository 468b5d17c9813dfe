//! What the engine holds in the memory of its accelerators.

use croftrill_platform::engine::{HeldAdapter, HeldModel, LoadAdapter, LoadModel, LoadState};
use croftrill_state::{AdapterId, ModelId};
use std::collections::BTreeMap;
use tokio_util::sync::CancellationToken;

/// A model held, with its adapters.
pub(super) struct Held {
    pub(super) order: LoadModel,
    pub(super) load: HeldLoad,
    pub(super) adapters: BTreeMap<AdapterId, HeldAdapterLoad>,
}

/// An adapter held.
pub(super) struct HeldAdapterLoad {
    pub(super) order: LoadAdapter,
    pub(super) load: HeldLoad,
}

/// Progress of one load.
pub(super) struct HeldLoad {
    pub(super) state: LoadState,
    /// Its place in the ledger, which also tells it from later loads.
    pub(super) ledger_place: usize,
    /// Stops it.
    pub(super) stop: CancellationToken,
}

impl HeldLoad {
    pub(super) fn begin(ledger_place: usize) -> Self {
        Self {
            state: LoadState::Loading,
            ledger_place,
            stop: CancellationToken::new(),
        }
    }
}

impl Held {
    /// Places of all its loads in the ledger.
    pub(super) fn ledger_places(&self) -> Vec<usize> {
        let adapters = self.adapters.values().map(|adapter| adapter.load.ledger_place);
        adapters.chain([self.load.ledger_place]).collect()
    }

    fn memory_mib_per_accelerator(&self) -> u64 {
        let adapters = self
            .adapters
            .values()
            .map(|adapter| adapter.order.memory_mib_per_accelerator);
        self.order.memory_mib_per_accelerator + adapters.sum::<u64>()
    }

    fn report(&self) -> HeldModel {
        let adapters = self.adapters.values().map(|adapter| HeldAdapter {
            adapter: adapter.order.adapter.clone(),
            version: adapter.order.version,
            state: adapter.load.state,
            memory_mib_per_accelerator: adapter.order.memory_mib_per_accelerator,
        });
        HeldModel {
            model: self.order.model.clone(),
            version: self.order.version,
            state: self.load.state,
            accelerators: self.order.accelerators.clone(),
            memory_mib_per_accelerator: self.order.memory_mib_per_accelerator,
            adapters: adapters.collect(),
        }
    }
}

/// All models held.
pub(super) struct HeldModels {
    memory_mib: Vec<u64>,
    pub(super) models: BTreeMap<ModelId, Held>,
}

impl HeldModels {
    pub(super) fn new(memory_mib: Vec<u64>) -> Self {
        Self {
            memory_mib,
            models: BTreeMap::new(),
        }
    }

    pub(super) fn report(&self) -> Vec<HeldModel> {
        self.models.values().map(Held::report).collect()
    }

    pub(super) fn is_loaded(&self, model: &ModelId, adapter: Option<&AdapterId>) -> bool {
        let Some(held) = self.models.get(model) else {
            return false;
        };
        let adapter_is_loaded = match adapter {
            None => true,
            Some(adapter) => {
                let adapter = held.adapters.get(adapter);
                adapter.is_some_and(|adapter| adapter.load.state == LoadState::Loaded)
            }
        };
        held.load.state == LoadState::Loaded && adapter_is_loaded
    }

    /// Memory taken on each accelerator.
    pub(super) fn used_mib(&self) -> Vec<u64> {
        let mut used = vec![0; self.memory_mib.len()];
        for held in self.models.values() {
            for index in &held.order.accelerators {
                used[*index as usize] += held.memory_mib_per_accelerator();
            }
        }
        used
    }

    /// Whether the accelerators exist, each named once.
    pub(super) fn are_valid(&self, accelerators: &[u32]) -> bool {
        let exist = accelerators
            .iter()
            .all(|index| (*index as usize) < self.memory_mib.len());
        let mut distinct = accelerators.to_vec();
        distinct.sort_unstable();
        distinct.dedup();
        exist && !accelerators.is_empty() && distinct.len() == accelerators.len()
    }

    /// Whether so much more fits on each of some valid accelerators.
    pub(super) fn fits(&self, accelerators: &[u32], mib: u64) -> bool {
        let used = self.used_mib();
        let mut indexes = accelerators.iter().map(|index| *index as usize);
        indexes.all(|index| used[index] + mib <= self.memory_mib[index])
    }
}
