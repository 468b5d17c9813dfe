//! Fenced orders: checks them and begins or ends loads.

use super::held::{Held, HeldAdapterLoad, HeldLoad};
use super::{Engine, State};
use croftrill_platform::engine::{LoadAdapter, LoadModel, LoadState, OrderOutcome};
use croftrill_platform::wire::engine::{self as wire, FencedOrder};
use croftrill_state::{AdapterId, ModelId};
use std::collections::BTreeMap;
use std::sync::Arc;

impl Engine {
    pub(super) fn load_model(self: &Arc<Self>, fenced: FencedOrder<LoadModel>) -> OrderOutcome {
        let order = fenced.order;
        let mut state = self.lock();
        if let Err(highest) = state.check_token(fenced.fencing_token, wire::LOAD_MODEL_PATH) {
            return OrderOutcome::Fenced { highest };
        }
        if let Some(held) = state.held.models.get(&order.model) {
            return repeated(held.order == order, held.load.state);
        }
        if !state.held.are_valid(&order.accelerators) {
            return rejected("no such accelerators");
        }
        if !state
            .held
            .fits(&order.accelerators, order.memory_mib_per_accelerator)
        {
            return state.refuse_overcommit();
        }
        let load = HeldLoad::begin(state.ledger.load_started(&order, None));
        let loading = self.clone().finish_model_load(order.clone(), load.ledger_place);
        tokio::spawn(load.stop.clone().run_until_cancelled_owned(loading));
        let held = Held {
            order: order.clone(),
            load,
            adapters: BTreeMap::new(),
        };
        state.held.models.insert(order.model, held);
        OrderOutcome::Accepted
    }

    pub(super) fn unload_model(&self, fenced: FencedOrder<wire::UnloadModel>) -> OrderOutcome {
        let model = fenced.order.model;
        let mut state = self.lock();
        if let Err(highest) = state.check_token(fenced.fencing_token, wire::UNLOAD_MODEL_PATH) {
            return OrderOutcome::Fenced { highest };
        }
        if !state.held.models.contains_key(&model) {
            return OrderOutcome::AlreadySo;
        }
        if state.has_runs(&model, None) {
            return rejected("requests of the model are running");
        }
        state.release(&model, false);
        OrderOutcome::Accepted
    }

    pub(super) fn load_adapter(self: &Arc<Self>, fenced: FencedOrder<LoadAdapter>) -> OrderOutcome {
        let order = fenced.order;
        let mut guard = self.lock();
        let state = &mut *guard;
        if let Err(highest) = state.check_token(fenced.fencing_token, wire::LOAD_ADAPTER_PATH) {
            return OrderOutcome::Fenced { highest };
        }
        if let Some(held) = state.adapter(&order.adapter) {
            return repeated(held.order == order, held.load.state);
        }
        if !state.held.is_loaded(&order.base, None) {
            return rejected("the base model is not loaded");
        }
        let accelerators = state.held.models[&order.base].order.accelerators.clone();
        if !state.held.fits(&accelerators, order.memory_mib_per_accelerator) {
            return state.refuse_overcommit();
        }
        let as_load = LoadModel {
            model: order.base.clone(),
            version: order.version,
            accelerators,
            memory_mib_per_accelerator: order.memory_mib_per_accelerator,
            checkpoint_mib: 0,
        };
        let place = state.ledger.load_started(&as_load, Some(order.adapter.clone()));
        let load = HeldLoad::begin(place);
        let loading = self.clone().finish_adapter_load(order.clone(), place);
        tokio::spawn(load.stop.clone().run_until_cancelled_owned(loading));
        if let Some(base) = state.held.models.get_mut(&order.base) {
            base.adapters
                .insert(order.adapter.clone(), HeldAdapterLoad { order, load });
        }
        OrderOutcome::Accepted
    }

    pub(super) fn unload_adapter(&self, fenced: FencedOrder<wire::UnloadAdapter>) -> OrderOutcome {
        let adapter = fenced.order.adapter;
        let mut state = self.lock();
        if let Err(highest) = state.check_token(fenced.fencing_token, wire::UNLOAD_ADAPTER_PATH) {
            return OrderOutcome::Fenced { highest };
        }
        let Some(base) = state.adapter(&adapter).map(|held| held.order.base.clone()) else {
            return OrderOutcome::AlreadySo;
        };
        if state.has_runs(&base, Some(&adapter)) {
            return rejected("requests of the adapter are running");
        }
        state.release_adapter(&base, &adapter);
        OrderOutcome::Accepted
    }
}

impl State {
    /// Frees a model and its adapters.
    pub(super) fn release(&mut self, model: &ModelId, failed: bool) {
        let Some(held) = self.held.models.remove(model) else {
            return;
        };
        held.load.stop.cancel();
        for adapter in held.adapters.values() {
            adapter.load.stop.cancel();
        }
        for place in held.ledger_places() {
            self.ledger.load_ended(place, failed);
        }
    }

    fn release_adapter(&mut self, base: &ModelId, adapter: &AdapterId) {
        let held = self.held.models.get_mut(base);
        let Some(held) = held.and_then(|base| base.adapters.remove(adapter)) else {
            return;
        };
        held.load.stop.cancel();
        self.ledger.load_ended(held.load.ledger_place, false);
    }

    fn adapter(&self, adapter: &AdapterId) -> Option<&HeldAdapterLoad> {
        self.held
            .models
            .values()
            .find_map(|held| held.adapters.get(adapter))
    }

    /// Whether any run uses the model, or this adapter of it.
    fn has_runs(&self, model: &ModelId, adapter: Option<&AdapterId>) -> bool {
        let mut open = self.ledger.runs.iter().rev().filter(|run| run.end.is_none());
        open.any(|run| run.model == *model && (adapter.is_none() || run.adapter.as_ref() == adapter))
    }

    fn refuse_overcommit(&mut self) -> OrderOutcome {
        self.ledger.overcommits_refused += 1;
        rejected("not enough accelerator memory")
    }
}

fn repeated(same: bool, state: LoadState) -> OrderOutcome {
    match (same, state) {
        (false, _) => rejected("it is held in another form"),
        (true, LoadState::Loading) => OrderOutcome::Accepted,
        (true, LoadState::Loaded) => OrderOutcome::AlreadySo,
    }
}

fn rejected(reason: &str) -> OrderOutcome {
    OrderOutcome::Rejected {
        reason: reason.to_string(),
    }
}
