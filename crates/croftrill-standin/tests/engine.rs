//! The engine's adapter against the stand-in engine: orders and fencing.

mod support;

use croftrill_platform::engine::{
    CheckpointSource, EngineClient, EngineError, LoadAdapter, LoadState, OrderOutcome,
};
use croftrill_platform::{HttpEngineClient, HttpEngineConfig};
use croftrill_standin::engine::peak_replicas;
use croftrill_standin::{Engine, EngineConfig, EngineFaults};
use croftrill_state::{AdapterId, FencingToken, ModelId};
use support::{collect, engine_client, load, load_order, refused_address, request, until, until_loaded};

const TOKEN: FencingToken = FencingToken(5);

fn adapter_order(adapter: &str, memory_mib_per_accelerator: u64) -> LoadAdapter {
    LoadAdapter {
        adapter: AdapterId::new(adapter),
        base: ModelId::new("m1"),
        version: 1,
        memory_mib_per_accelerator,
    }
}

fn is_rejected(outcome: Result<OrderOutcome, EngineError>) -> bool {
    matches!(outcome, Ok(OrderOutcome::Rejected { .. }))
}

#[tokio::test]
async fn repeated_orders_change_nothing() {
    let engine = Engine::start(EngineConfig::default()).await.unwrap();
    let client = engine_client(&engine);
    load(&client, TOKEN, "m1").await;
    assert_eq!(
        client.load_model(TOKEN, load_order("m1")).await,
        Ok(OrderOutcome::AlreadySo)
    );
    let mut other_version = load_order("m1");
    other_version.version = 2;
    assert!(is_rejected(client.load_model(TOKEN, other_version).await));
    let model = ModelId::new("m1");
    assert_eq!(
        client.unload_model(TOKEN, &model).await,
        Ok(OrderOutcome::Accepted)
    );
    assert_eq!(
        client.unload_model(TOKEN, &model).await,
        Ok(OrderOutcome::AlreadySo)
    );
    let ledger = engine.ledger();
    assert_eq!(ledger.loads.len(), 1);
    assert!(ledger.loads[0].ended_at_millis.is_some());
    assert_eq!(ledger.accelerators[0].used_mib, 0);
}

#[tokio::test]
async fn lower_tokens_are_fenced() {
    let engine = Engine::start(EngineConfig::default()).await.unwrap();
    let client = engine_client(&engine);
    load(&client, TOKEN, "m1").await;
    let highest = FencingToken(9);
    let inventory = client.fence(highest).await.unwrap();
    assert_eq!(inventory.fencing_token, highest);
    assert_eq!(inventory.models[0].state, LoadState::Loaded);

    let fenced = Ok(OrderOutcome::Fenced { highest });
    assert_eq!(client.load_model(TOKEN, load_order("m2")).await, fenced);
    assert_eq!(client.unload_model(TOKEN, &ModelId::new("m1")).await, fenced);
    assert_eq!(client.load_adapter(TOKEN, adapter_order("a", 1)).await, fenced);
    assert_eq!(client.unload_adapter(TOKEN, &AdapterId::new("a")).await, fenced);
    assert_eq!(client.fence(TOKEN).await, Err(EngineError::Fenced { highest }));
    let run = client.run(request(1, TOKEN, "m1", 4)).await;
    assert_eq!(run.err(), Some(EngineError::Fenced { highest }));
    assert_eq!(engine.ledger().fenced.len(), 6);
    assert!(engine.ledger().runs.is_empty());

    let run = client.run(request(1, FencingToken(10), "m1", 4)).await.unwrap();
    assert!(collect(run).await.finished.is_some());
    assert_eq!(client.inventory().await.unwrap().fencing_token, FencingToken(10));
}

#[tokio::test]
async fn no_accelerator_is_overcommitted() {
    let config = EngineConfig {
        accelerator_memory_mib: vec![2500, 1000],
        ..Default::default()
    };
    let engine = Engine::start(config).await.unwrap();
    let client = engine_client(&engine);
    load(&client, TOKEN, "m1").await;
    assert_eq!(
        client.load_adapter(TOKEN, adapter_order("a1", 600)).await,
        Ok(OrderOutcome::Accepted)
    );
    assert!(is_rejected(client.load_model(TOKEN, load_order("m2")).await));
    assert!(is_rejected(
        client.load_adapter(TOKEN, adapter_order("a2", 901)).await
    ));
    let mut both = load_order("m3");
    both.accelerators = vec![0, 1];
    assert!(is_rejected(client.load_model(TOKEN, both.clone()).await));
    assert_eq!(engine.ledger().overcommits_refused, 3);
    for accelerators in [vec![2], vec![1, 1], vec![]] {
        both.accelerators = accelerators;
        assert!(is_rejected(client.load_model(TOKEN, both.clone()).await));
    }
    assert_eq!(
        client.load_adapter(TOKEN, adapter_order("a2", 900)).await,
        Ok(OrderOutcome::Accepted)
    );
    let ledger = engine.ledger();
    assert_eq!(ledger.accelerators[0].peak_mib, 2500);
    assert_eq!(ledger.accelerators[1].peak_mib, 0);
    let client = &client;
    client.unload_model(TOKEN, &ModelId::new("m1")).await.unwrap();
    assert_eq!(engine.ledger().accelerators[0].used_mib, 0);
}

#[tokio::test]
async fn adapters_are_loaded_beside_their_base() {
    let engine = Engine::start(EngineConfig::default()).await.unwrap();
    let client = engine_client(&engine);
    assert!(is_rejected(
        client.load_adapter(TOKEN, adapter_order("a1", 10)).await
    ));
    load(&client, TOKEN, "m1").await;
    client.load_adapter(TOKEN, adapter_order("a1", 10)).await.unwrap();
    until(|| {
        engine
            .ledger()
            .loads
            .iter()
            .all(|load| load.loaded_at_millis.is_some())
    })
    .await;
    assert_eq!(
        client.load_adapter(TOKEN, adapter_order("a1", 10)).await,
        Ok(OrderOutcome::AlreadySo)
    );
    let inventory = client.inventory().await.unwrap();
    assert_eq!(inventory.models[0].adapters[0].adapter, AdapterId::new("a1"));
    assert_eq!(peak_replicas([&engine.ledger()])[&ModelId::new("m1")], 1);

    let adapter = AdapterId::new("a1");
    assert_eq!(
        client.unload_adapter(TOKEN, &adapter).await,
        Ok(OrderOutcome::Accepted)
    );
    assert_eq!(
        client.unload_adapter(TOKEN, &adapter).await,
        Ok(OrderOutcome::AlreadySo)
    );
    let mut run = request(1, TOKEN, "m1", 4);
    run.adapter = Some(adapter);
    assert!(matches!(
        client.run(run).await.err(),
        Some(EngineError::Refused { .. })
    ));
}

#[tokio::test]
async fn checkpoints_are_cached_in_memory_and_on_disk() {
    let config = EngineConfig {
        memory_cache_mib: 150,
        disk_cache_mib: 250,
        ..Default::default()
    };
    let engine = Engine::start(config).await.unwrap();
    let client = engine_client(&engine);
    for model in ["m1", "m1", "m2", "m1"] {
        load(&client, TOKEN, model).await;
        client.unload_model(TOKEN, &ModelId::new(model)).await.unwrap();
    }
    let sources: Vec<_> = engine
        .ledger()
        .loads
        .iter()
        .filter_map(|load| load.source)
        .collect();
    let (remote, memory, disk) = (
        CheckpointSource::Remote,
        CheckpointSource::Memory,
        CheckpointSource::Disk,
    );
    assert_eq!(sources, [remote, memory, remote, disk]);
    let inventory = client.inventory().await.unwrap();
    assert_eq!(inventory.cached_in_memory, [ModelId::new("m1")]);
    assert_eq!(inventory.cached_on_disk, [ModelId::new("m2"), ModelId::new("m1")]);
}

#[tokio::test]
async fn a_failed_load_frees_its_memory() {
    let engine = Engine::start(EngineConfig::default()).await.unwrap();
    let client = engine_client(&engine);
    engine.set_faults(EngineFaults {
        fail_next_loads: 1,
        ..Default::default()
    });
    client.load_model(TOKEN, load_order("m1")).await.unwrap();
    until(|| engine.ledger().loads[0].failed).await;
    assert!(client.inventory().await.unwrap().models.is_empty());
    assert_eq!(engine.ledger().accelerators[0].used_mib, 0);
    load(&client, TOKEN, "m1").await;
    assert_eq!(peak_replicas([&engine.ledger()])[&ModelId::new("m1")], 1);
}

#[tokio::test]
async fn an_unload_stops_a_load_in_progress() {
    let engine = Engine::start(EngineConfig::default()).await.unwrap();
    let client = engine_client(&engine);
    let mut huge = load_order("m1");
    huge.checkpoint_mib = u64::MAX / 2;
    assert_eq!(
        client.load_model(TOKEN, huge.clone()).await,
        Ok(OrderOutcome::Accepted)
    );
    assert_eq!(client.load_model(TOKEN, huge).await, Ok(OrderOutcome::Accepted));
    assert_eq!(
        client.inventory().await.unwrap().models[0].state,
        LoadState::Loading
    );
    client.unload_model(TOKEN, &ModelId::new("m1")).await.unwrap();
    load(&client, TOKEN, "m1").await;
    let ledger = engine.ledger();
    assert_eq!(ledger.loads.len(), 2);
    assert_eq!(ledger.loads[0].loaded_at_millis, None);
    assert_eq!(ledger.accelerators[0].peak_mib, 1000);
}

#[tokio::test]
async fn replicas_of_one_model_are_counted_over_engines() {
    let first = Engine::start(EngineConfig::default()).await.unwrap();
    let second = Engine::start(EngineConfig::default()).await.unwrap();
    load(&engine_client(&first), TOKEN, "m1").await;
    load(&engine_client(&second), TOKEN, "m1").await;
    let ledgers = [first.ledger(), second.ledger()];
    assert_eq!(peak_replicas(&ledgers)[&ModelId::new("m1")], 2);
}

#[tokio::test]
async fn a_refused_connection_is_unreachable() {
    let client = HttpEngineClient::new(HttpEngineConfig::new(refused_address().to_string()));
    let run = client.run(request(1, TOKEN, "m1", 4)).await.err();
    assert!(matches!(run, Some(EngineError::Unreachable(_))), "{run:?}");
    let order = client.load_model(TOKEN, load_order("m1")).await;
    assert!(matches!(order, Err(EngineError::Unreachable(_))), "{order:?}");
}

#[tokio::test]
async fn a_crash_forgets_all_but_the_disk_cache() {
    let engine = Engine::start(EngineConfig::default()).await.unwrap();
    let client = engine_client(&engine);
    load(&client, TOKEN, "m1").await;
    let faults = EngineFaults {
        crash_after_tokens: Some(2),
        restart_after_millis: 0,
        ..Default::default()
    };
    engine.set_faults(faults);
    let broken = collect(client.run(request(1, TOKEN, "m1", 40)).await.unwrap()).await;
    assert!(matches!(broken.error, Some(EngineError::Broken(_))), "{broken:?}");
    let inventory = client.inventory().await.unwrap();
    assert_eq!(inventory.fencing_token, FencingToken(0));
    assert!(inventory.models.is_empty() && inventory.running.is_empty());
    assert!(inventory.cached_in_memory.is_empty());
    assert_eq!(inventory.cached_on_disk, [ModelId::new("m1")]);
    client.load_model(TOKEN, load_order("m1")).await.unwrap();
    until_loaded(&client, "m1").await;
    assert_eq!(engine.ledger().crashes, 1);
    assert_eq!(engine.ledger().loads[1].source, Some(CheckpointSource::Disk));
}
