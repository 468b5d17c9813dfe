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
    order.apply_to(holdings);
    if let Order::LoadModel(model) = order {
        if !holdings.copies.on_disk.contains(model) {
            holdings.copies.on_disk.push(model.clone());
        }
    }
}
