//! Nodes and engines on their way out.

mod support;

use croftrill_owner::DrainOutcome;
use croftrill_state::outcome::{Execution, RefusalCause};
use croftrill_state::placement::{Lifecycle, Residency};
use croftrill_state::{EngineId, NodeId};
use support::world::*;

async fn assert_refused_as_leaving(world: &World) {
    let refused = refusal(&world.events_of(world.request("m")).await);
    assert_eq!(
        (refused.cause, refused.execution),
        (RefusalCause::Leaving, Execution::NotRun)
    );
    assert!(refused.retry_after_millis > 0);
}

#[tokio::test(start_paused = true)]
async fn a_drain_finishes_what_runs_and_what_waits() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    world.engine.behave(|behaviour| behaviour.token_millis = 200);
    let accepted: Vec<_> = (0..10).map(|_| world.spawn(world.request("m"))).collect();
    pass(400).await;
    let service = world.service.clone();
    let drain = tokio::spawn(async move { service.drain().await });
    pass(1).await;
    assert_refused_as_leaving(&world).await;
    assert_eq!(drain.await.unwrap(), DrainOutcome::Finished);
    for run in accepted {
        whole_text(&run.await.unwrap());
    }
}

#[tokio::test(start_paused = true)]
async fn a_drain_refuses_what_waits_when_its_bound_has_passed() {
    let world = world_with(|config| config.drain_bound_millis = 1_000);
    world.assign("m", 50, Residency::OnDemand);
    world.engine.behave(|behaviour| behaviour.token_millis = 2_000);
    let accepted: Vec<_> = (0..6).map(|_| world.spawn(world.request("m"))).collect();
    pass(300).await;
    let outcome = world.service.drain().await;
    assert_eq!(outcome, DrainOutcome::TimedOut { unfinished: 6 });
    let mut served = 0;
    for run in accepted {
        let events = run.await.unwrap();
        if matches!(
            events.last(),
            Some(croftrill_protocol::attempt::AttemptEvent::Finished { .. })
        ) {
            whole_text(&events);
            served += 1;
        } else {
            assert_eq!(refusal(&events).execution, Execution::NotRun);
        }
    }
    assert_eq!(served, 4);
}

#[tokio::test(start_paused = true)]
async fn a_leaving_engine_finishes_and_takes_nothing_new() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    world.engine.behave(|behaviour| behaviour.token_millis = 200);
    let accepted: Vec<_> = (0..10).map(|_| world.spawn(world.request("m"))).collect();
    pass(10).await;
    world.change(|state| {
        let engine = state.engines.get_mut(&EngineId::from(ENGINE)).unwrap();
        engine.value.lifecycle = Lifecycle::Leaving;
    });
    pass(10).await;
    assert_refused_as_leaving(&world).await;
    for run in accepted {
        whole_text(&run.await.unwrap());
    }
}

#[tokio::test(start_paused = true)]
async fn a_leaving_node_takes_nothing_new() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    whole_text(&world.events_of(world.request("m")).await);
    world.change(|state| {
        let node = state.nodes.get_mut(&NodeId::from(NODE)).unwrap();
        node.value.lifecycle = Lifecycle::Leaving;
    });
    assert_refused_as_leaving(&world).await;
}
