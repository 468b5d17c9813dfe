//! The native platform: one store, model replicas and the completions API.

use std::net::SocketAddr;

use croftrill_node::ports::Platform;

use crate::dialect::Completions;
use crate::engine::EngineClient;
use crate::records::OwnRecords;
use crate::store::StoreClient;

/// A node's [`Platform`] over croftrill's native protocols.
pub struct OwnPlatform {
    store: StoreClient,
    records: OwnRecords,
    engine: EngineClient,
    dialect: Completions,
}

impl OwnPlatform {
    /// Returns the platform with the store at the given address.
    pub fn new(store: SocketAddr) -> Self {
        OwnPlatform {
            store: StoreClient::new(store),
            records: OwnRecords,
            engine: EngineClient::new(),
            dialect: Completions,
        }
    }
}

impl Platform for OwnPlatform {
    type Store = StoreClient;
    type Records = OwnRecords;
    type Engine = EngineClient;
    type Dialect = Completions;

    fn store(&self) -> &StoreClient {
        &self.store
    }

    fn records(&self) -> &OwnRecords {
        &self.records
    }

    fn engine(&self) -> &EngineClient {
        &self.engine
    }

    fn dialect(&self) -> &Completions {
        &self.dialect
    }
}
