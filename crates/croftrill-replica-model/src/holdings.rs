//! Effects of orders on what a replica holds.

use croftrill_scheduler::catalog::ModelName;
use croftrill_scheduler::replica::{HeldModel, Holdings, Order};

/// Returns entries of models without adapters.
pub(crate) fn held_models(models: &[ModelName]) -> Vec<HeldModel> {
    let held = models.iter().map(|model| HeldModel {
        model: model.clone(),
        adapters: Vec::new(),
    });
    held.collect()
}

/// Applies an order that was carried out. An adapter that arrives after its model was unloaded is
/// dropped.
pub(crate) fn apply(holdings: &mut Holdings, order: &Order) {
    let held = holdings
        .models
        .iter_mut()
        .find(|held| held.model == *order.model());
    match order {
        Order::LoadModel(model) => {
            if held.is_none() {
                holdings.models.extend(held_models(std::slice::from_ref(model)));
            }
            if !holdings.copies.on_disk.contains(model) {
                holdings.copies.on_disk.push(model.clone());
            }
        }
        Order::UnloadModel(model) => holdings.models.retain(|held| held.model != *model),
        Order::LoadAdapter(_, adapter) => {
            if let Some(held) = held.filter(|held| !held.adapters.contains(adapter)) {
                held.adapters.push(adapter.clone());
            }
        }
        Order::UnloadAdapter(_, adapter) => {
            if let Some(held) = held {
                held.adapters.retain(|present| present != adapter);
            }
        }
    }
}
