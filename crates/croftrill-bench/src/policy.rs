//! What decides in a run: where requests go, what is loaded and evicted, in
//! which order requests start, and which are refused.

mod arrival_order;
mod croftrill;
mod on_demand_lru;
mod static_placement;

pub use croftrill::{AdmissionKind, ColdChoice, Croftrill, CroftrillConfig, Eviction};
pub use on_demand_lru::OnDemandLru;
pub use static_placement::StaticPlacement;

use crate::identifiers::{EngineIndex, Micros, ModelIndex, RequestIndex};
use crate::simulation::{CheckpointSource, World};

/// The end of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadDone {
    /// The engine.
    pub engine: EngineIndex,
    /// The model.
    pub model: ModelIndex,
    /// Where its checkpoint came from.
    pub source: CheckpointSource,
    /// Time since the order.
    pub duration: Micros,
}

/// Decides a run. Every method is called at the simulated time of its event.
pub trait Policy {
    /// Messages that the policy sends itself, each after a delay: between its
    /// parts on different nodes, or as timers.
    type Message;

    /// Its name in reports.
    fn name(&self) -> &str;

    /// Called once before the first event.
    fn start(&mut self, _world: &mut World<'_, Self::Message>) {}

    /// A request reached its router.
    fn arrived(&mut self, world: &mut World<'_, Self::Message>, request: RequestIndex);

    /// A message arrived.
    fn message(&mut self, world: &mut World<'_, Self::Message>, message: Self::Message);

    /// A load ended.
    fn loaded(&mut self, world: &mut World<'_, Self::Message>, done: LoadDone);

    /// An unload ended.
    fn unloaded(&mut self, _world: &mut World<'_, Self::Message>, _engine: EngineIndex, _model: ModelIndex) {}

    /// An engine produced a request's first token.
    fn first_token(
        &mut self,
        _world: &mut World<'_, Self::Message>,
        _request: RequestIndex,
        _engine: EngineIndex,
    ) {
    }

    /// An engine produced a request's last token.
    fn finished(&mut self, world: &mut World<'_, Self::Message>, request: RequestIndex, engine: EngineIndex);
}
