//! Formats of the store's items: the operators' document and the replicas' entries.

use std::sync::Arc;

use croftrill_node::ports::{Item, Record, RecordReader};
use croftrill_scheduler::replica::{ReplicaId, ReplicaListing, ReplicaState};
use croftrill_scheduler::software_versions::SoftwareVersion;

use crate::document::Document;
use crate::engine_wire::WireReplica;

/// Store key of the operators' document.
pub const DOCUMENT_KEY: &str = "croftrill/document";
/// Key prefix of the replicas' entries.
pub const REPLICA_PREFIX: &str = "replicas/";

/// Parses the store's items according to their keys.
#[derive(Debug, Default)]
pub struct NativeRecords;

/// Returns the listing of a replica and the version of its software, if it states one.
fn listing(id: &str, value: &[u8]) -> Result<(ReplicaListing, Option<SoftwareVersion>), serde_json::Error> {
    let wire: WireReplica = serde_json::from_slice(value)?;
    let software_version = wire.software_version.map(SoftwareVersion::from);
    let listing = ReplicaListing {
        id: id.into(),
        service: wire.service.into(),
        address: wire.address.into(),
        zone: wire.zone.into(),
        slots: wire.slots,
        state: if wire.draining {
            ReplicaState::Draining
        } else {
            ReplicaState::Ready
        },
        leaves_in: None,
        started_ms: wire.started_ms,
        holdings: wire.holdings.into(),
    };
    Ok((listing, software_version))
}

impl RecordReader for NativeRecords {
    fn read(&self, item: &Item) -> Record {
        if item.key == DOCUMENT_KEY {
            return match serde_json::from_slice::<Document>(&item.value) {
                Ok(document) => Record::Configuration(Arc::new(document.configuration())),
                Err(error) => Record::Malformed(error.to_string()),
            };
        }
        match item.key.strip_prefix(REPLICA_PREFIX) {
            Some(id) => match listing(id, &item.value) {
                Ok((listing, software_version)) => Record::Replica {
                    listing,
                    software_version,
                },
                Err(error) => Record::Malformed(error.to_string()),
            },
            None => Record::Other,
        }
    }

    fn configuration_key(&self) -> &str {
        DOCUMENT_KEY
    }

    fn replica_prefix(&self) -> &str {
        REPLICA_PREFIX
    }

    fn replica_of(&self, key: &str) -> Option<ReplicaId> {
        key.strip_prefix(REPLICA_PREFIX).map(Arc::from)
    }
}
