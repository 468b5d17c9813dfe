//! The physical side of a run in simulated time: delays, engines, weight store.
//!
//! A [`Policy`](crate::policy::Policy) decides everything else through the
//! [`World`]. The world never lets an accelerator's memory be overcommitted,
//! and it ends a run only after each request was served or refused, or counts
//! it as lost.

mod checkpoint_cache;
mod engine;
mod event_queue;
mod weight_store;
mod world;

pub use checkpoint_cache::CheckpointSource;
pub use engine::{EngineState, HeldModel, HeldState};
pub use event_queue::EventQueue;
pub use weight_store::WeightStore;
pub(crate) use world::SHARE_WINDOW_SECONDS;
pub use world::{LoadError, Outcome, World};

use crate::measurement::Measurement;
use crate::policy::Policy;
use crate::scenario::Scenario;
use crate::workload::Workload;
use world::Event;

/// After the last arrival a run goes on for at most this long, in seconds.
const MOST_DRAIN_SECONDS: u64 = 1800;

/// Told the simulated time now and then, in microseconds.
pub type Progress<'a> = &'a mut dyn FnMut(u64);

/// Runs a workload under a policy to its end.
pub fn simulate<P: Policy>(
    scenario: &Scenario,
    workload: &Workload,
    mut policy: P,
    progress: Progress<'_>,
) -> Measurement {
    let mut world = World::new(scenario, workload);
    policy.start(&mut world);
    let end = workload.duration + MOST_DRAIN_SECONDS * crate::identifiers::SECOND;
    let mut next_progress = 0;
    while let Some(event) = world.next_event(end) {
        if world.now() >= next_progress {
            progress(world.now());
            next_progress = world.now() + crate::identifiers::SECOND;
        }
        handle(&mut world, &mut policy, event);
    }
    world.measure(policy.name())
}

fn handle<P: Policy>(world: &mut World<P::Message>, policy: &mut P, event: Event<P::Message>) {
    match event {
        Event::Arrival(request) => policy.arrived(world, request),
        Event::Message(message) => policy.message(world, message),
        Event::StoreStart(load) => world.store_starts(load),
        Event::StoreCheck(generation) => world.store_check(generation),
        Event::LoadDone(load) => {
            if let Some(done) = world.load_done(load) {
                policy.loaded(world, done);
            }
        }
        Event::UnloadDone(engine, model) => {
            world.unload_done(engine, model);
            policy.unloaded(world, engine, model);
        }
        Event::EngineStep(engine) => {
            for (request, progress) in world.engine_step(engine) {
                match progress {
                    engine::SequenceProgress::FirstToken => policy.first_token(world, request, engine),
                    engine::SequenceProgress::Finished => policy.finished(world, request, engine),
                }
            }
        }
    }
}
