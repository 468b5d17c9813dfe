//! The weight store's adapter and the engine's loads against the stand-in.

mod support;

use croftrill_platform::engine::{EngineClient, OrderOutcome};
use croftrill_platform::http::ReadOutcome;
use croftrill_platform::weight_store::{WeightStore, WeightStoreLimits};
use croftrill_platform::wire::weight_store::CheckpointRead;
use croftrill_platform::{HttpEndpoint, HttpWeightStore};
use croftrill_standin::{
    Engine, EngineConfig, RunningWeightStore, WeightStoreConfig, WeightStoreFaults, WeightStoreService,
};
use croftrill_state::{FencingToken, ModelId};
use support::{engine_client, eventually, load, load_order, refused_address, until, until_loaded};

const TOKEN: FencingToken = FencingToken(5);

async fn start(config: WeightStoreConfig) -> (RunningWeightStore, HttpWeightStore) {
    let store = WeightStoreService::start(config).await.unwrap();
    let client = HttpWeightStore::new(HttpEndpoint::new(store.server.address().to_string()));
    (store, client)
}

fn read(checkpoint_mib: u64) -> CheckpointRead {
    CheckpointRead {
        model: ModelId::new("org/model one"),
        checkpoint_mib,
    }
}

#[tokio::test]
async fn the_rate_of_reads_is_limited() {
    let config = WeightStoreConfig {
        loads_per_second: 0.01,
        ..Default::default()
    };
    let (store, client) = start(config).await;
    assert_eq!(client.read_checkpoint(&read(1)).await, Ok(ReadOutcome::Complete));
    let limited = client.read_checkpoint(&read(1)).await.unwrap();
    assert!(matches!(limited, ReadOutcome::RateLimited { retry_after_millis } if retry_after_millis > 0));
    let ledger = store.ledger();
    assert_eq!((ledger.started, ledger.completed, ledger.rate_limited), (1, 1, 1));
    let limits = WeightStoreLimits {
        loads_per_second_thousandths: 10,
        concurrent_loads: 6,
        running_loads: 0,
    };
    assert_eq!(client.limits().await, Ok(limits));
}

#[tokio::test]
async fn a_slow_store_holds_a_read_until_it_recovers() {
    let (store, client) = start(WeightStoreConfig::default()).await;
    store.set_faults(WeightStoreFaults { slowdown: 1e12 });
    let reading = tokio::spawn(async move { client.read_checkpoint(&read(1000)).await });
    until(|| store.ledger().started == 1).await;
    assert_eq!(store.ledger().completed, 0);
    store.set_faults(WeightStoreFaults::default());
    assert_eq!(reading.await.unwrap(), Ok(ReadOutcome::Complete));
}

#[tokio::test]
async fn a_read_ends_when_its_reader_goes_away() {
    let (store, client) = start(WeightStoreConfig::default()).await;
    store.set_faults(WeightStoreFaults { slowdown: 1e12 });
    let reading = tokio::spawn(async move { client.read_checkpoint(&read(1000)).await });
    until(|| store.ledger().started == 1).await;
    reading.abort();
    let client = HttpWeightStore::new(HttpEndpoint::new(store.server.address().to_string()));
    eventually(async || client.limits().await.unwrap().running_loads == 0).await;
}

#[tokio::test]
async fn engines_load_from_the_store_and_wait_for_its_rate() {
    let config = WeightStoreConfig {
        loads_per_second: 1.0,
        ..Default::default()
    };
    let (store, _) = start(config).await;
    let weight_store = Some(store.server.address().to_string());
    let engine = Engine::start(EngineConfig {
        weight_store,
        ..Default::default()
    })
    .await
    .unwrap();
    let client = engine_client(&engine);
    for model in ["m1", "m2"] {
        let outcome = client.load_model(TOKEN, load_order(model)).await;
        assert_eq!(outcome, Ok(OrderOutcome::Accepted));
    }
    for model in ["m1", "m2"] {
        until_loaded(&client, model).await;
    }
    assert_eq!(store.ledger().completed, 2);
    assert!(store.ledger().rate_limited > 0);
    client.unload_model(TOKEN, &ModelId::new("m1")).await.unwrap();
    load(&client, TOKEN, "m1").await;
    assert_eq!(store.ledger().started, 2);
}

#[tokio::test]
async fn a_load_fails_without_the_store() {
    let weight_store = Some(refused_address().to_string());
    let engine = Engine::start(EngineConfig {
        weight_store,
        ..Default::default()
    })
    .await
    .unwrap();
    engine_client(&engine)
        .load_model(TOKEN, load_order("m1"))
        .await
        .unwrap();
    until(|| engine.ledger().loads[0].failed).await;
}
