//! The native platform: one store, model replicas and the completions API.

use std::net::SocketAddr;
use std::rc::Rc;

use croftrill_node::connector::{Connector, TcpConnector};
use croftrill_node::ports::Platform;

use crate::dialect::Completions;
use crate::engine::EngineClient;
use crate::records::NativeRecords;
use crate::store::StoreClient;

/// A node's [`Platform`] over croftrill's native protocols.
pub struct NativePlatform {
    store: StoreClient,
    records: NativeRecords,
    engine: EngineClient,
    dialect: Completions,
    connector: Rc<dyn Connector>,
}

impl NativePlatform {
    /// Returns the platform with the store at the given address.
    pub fn new(store: SocketAddr) -> Self {
        Self::with_connector(store, Rc::new(TcpConnector))
    }

    /// Returns the platform with the store at the given address. `connector` opens the connections to
    /// replicas.
    pub fn with_connector(store: SocketAddr, connector: Rc<dyn Connector>) -> Self {
        NativePlatform {
            store: StoreClient::new(store),
            records: NativeRecords,
            engine: EngineClient::new(connector.clone()),
            dialect: Completions,
            connector,
        }
    }
}

impl Platform for NativePlatform {
    type Store = StoreClient;
    type Records = NativeRecords;
    type Engine = EngineClient;
    type Dialect = Completions;

    fn store(&self) -> &StoreClient {
        &self.store
    }

    fn records(&self) -> &NativeRecords {
        &self.records
    }

    fn engine(&self) -> &EngineClient {
        &self.engine
    }

    fn dialect(&self) -> &Completions {
        &self.dialect
    }

    fn connector(&self) -> Rc<dyn Connector> {
        self.connector.clone()
    }
}
