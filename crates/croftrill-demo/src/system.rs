//! Builds the system: a store, replicas, nodes and an initial document.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use croftrill_daemon::daemon::Daemon;
use croftrill_daemon::settings::Settings;
use croftrill_http::document::{Document, GroupDocument, ModelDocument};
use croftrill_http::records::DOCUMENT_KEY;
use croftrill_http::store_wire::{WireTransaction, WireWrite};
use croftrill_node::node::Lifecycle;
use croftrill_scheduler::shard::Shard;
use croftrill_standin::engine::{encode_value, EngineIdentity, EngineStandin};
use croftrill_standin::engine_state::EngineConfig;
use croftrill_standin::http_server::listen;
use croftrill_standin::store::StoreStandin;

/// Models of the demo; more than fit into the replicas' memory at the same time.
pub const MODELS: [&str; 6] = ["maple", "birch", "cedar", "alder", "hazel", "rowan"];
/// Minimum time between orders from two different machines.
const ORDER_GAP: Duration = Duration::from_millis(500);

/// A running system.
pub struct System {
    /// Stand-in store.
    pub store: Rc<StoreStandin>,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Stand-in replicas.
    pub engines: Vec<Rc<EngineStandin>>,
    /// Running nodes.
    pub nodes: Vec<Daemon>,
}

/// Returns the demo's document.
pub fn document() -> Document {
    let models = MODELS.iter().map(|name| ModelDocument {
        name: (*name).to_string(),
        weights_mb: 90.0,
        load_seconds: 0.6,
        disk_load_seconds: Some(0.2),
        adapters: 4,
        adapter_mb: 1.0,
    });
    Document {
        version: 1,
        replica_weights_mb: 200.0,
        adapter_slots: 4,
        loads_per_second: 4.0,
        objective_ms: 2000,
        timeout_ms: 10_000,
        resumable: false,
        models: models.collect(),
        groups: vec![
            GroupDocument {
                name: "tenders".to_string(),
                share: 2,
                ..GroupDocument::default()
            },
            GroupDocument {
                name: "intake".to_string(),
                share: 1,
                ..GroupDocument::default()
            },
        ],
    }
}

/// Returns the settings of a node on free ports of the loopback address.
pub fn node_settings(name: &str, store: SocketAddr) -> Settings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        name: name.to_string(),
        zone: "local".to_string(),
        listen: any,
        peer: any,
        operator: any,
        store,
        stop_grace_seconds: 5.0,
        order_gap_ms: ORDER_GAP.as_millis() as u64,
        most_in_service: 64,
        limits: Default::default(),
        callers_compete: false,
        quota: Default::default(),
        retry: Default::default(),
    }
}

impl System {
    /// Starts the store, replicas and nodes, and waits until they are ready; must run within a `LocalSet`.
    pub async fn start(engines: usize, nodes: usize) -> anyhow::Result<Self> {
        let (listener, store_address) = listen().await?;
        let store = StoreStandin::start(listener);
        write_document(&store, &document());
        let mut started = Vec::new();
        for index in 0..engines {
            started.push(start_engine(index, store_address).await?);
        }
        let mut running = Vec::new();
        for index in 0..nodes {
            running.push(Daemon::start(node_settings(&format!("node-{index}"), store_address)).await?);
        }
        let system = System {
            store,
            store_address,
            engines: started,
            nodes: running,
        };
        system.wait_until_ready().await;
        Ok(system)
    }

    /// Waits until every node is ready, knows every replica, and all shards have an orderer.
    pub async fn wait_until_ready(&self) {
        loop {
            let ready = self.nodes.iter().all(|daemon| {
                let state = daemon.node.state.borrow();
                state.lifecycle == Lifecycle::Ready
                    && state.replicas.len() == self.engines.len()
                    && Shard::all().all(|shard| state.members.last_orderer(shard).is_some())
            });
            if ready {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

async fn start_engine(index: usize, store: SocketAddr) -> anyhow::Result<Rc<EngineStandin>> {
    let (listener, address) = listen().await?;
    let identity = EngineIdentity {
        id: format!("engine-{index}"),
        zone: "local".to_string(),
        address,
        store,
        software_version: None,
        restart: None,
    };
    let models = vec![MODELS[index % MODELS.len()].to_string()];
    let on_disk: Vec<String> = MODELS
        .iter()
        .skip(index % 2)
        .step_by(2)
        .map(ToString::to_string)
        .collect();
    Ok(EngineStandin::start(
        listener,
        identity,
        EngineConfig::default(),
        &models,
        &on_disk,
    ))
}

/// Writes a document directly into the store.
pub fn write_document(store: &StoreStandin, document: &Document) {
    let value = serde_json::to_vec(document).unwrap_or_default();
    let write = WireWrite {
        key: DOCUMENT_KEY.to_string(),
        value: encode_value(&value),
        lease: 0,
    };
    store.with_state(|state| {
        state.transact(&WireTransaction {
            conditions: Vec::new(),
            writes: vec![write],
        })
    });
}
