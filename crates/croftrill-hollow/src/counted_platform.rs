//! The platform's services with each call counted, for one node.
//!
//! Bytes are those of the JSON bodies plus a fixed size of the HTTP headers.

use async_trait::async_trait;
use croftrill_platform::http::{HttpKeyValueService, HttpMachineList};
use croftrill_platform::key_value::{KeyValueError, KeyValueService, LeaseId, StoredValue, WriteOutcome};
use croftrill_platform::machine_list::{Machine, MachineList, MachineListError};
use croftrill_platform::weight_store::{WeightStore, WeightStoreError, WeightStoreLimits};
use croftrill_platform::wire::key_value as wire;
use serde::Serialize;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Headers of one request and its answer over HTTP/1.1, in bytes.
const HEADER_BYTES: u64 = 220;

/// Kinds of calls to the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Reads of one key.
    Get,
    /// Listings.
    List,
    /// Conditional writes and deletes.
    Write,
    /// Grants, renewals and ends of leases.
    Lease,
    /// Long polls.
    Watch,
}

impl CallKind {
    /// Every kind, in the order of [`CallCounts::calls`].
    pub const ALL: [CallKind; 5] = [
        CallKind::Get,
        CallKind::List,
        CallKind::Write,
        CallKind::Lease,
        CallKind::Watch,
    ];
}

/// Counters of one node's calls.
#[derive(Debug, Default)]
pub struct PlatformCalls {
    calls: [AtomicU64; CallKind::ALL.len()],
    bytes: AtomicU64,
    machine_reads: AtomicU64,
    machine_bytes: AtomicU64,
}

/// The counters at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls to the key-value service, by [`CallKind::ALL`].
    pub calls: [u64; CallKind::ALL.len()],
    /// Bytes of these calls, both ways.
    pub bytes: u64,
    /// Readings of the machine list.
    pub machine_reads: u64,
    /// Bytes of these readings, both ways.
    pub machine_bytes: u64,
}

impl CallCounts {
    /// All calls to the key-value service.
    pub fn total(&self) -> u64 {
        self.calls.iter().sum()
    }

    /// What was counted after `earlier`.
    pub fn since(&self, earlier: &CallCounts) -> CallCounts {
        let mut calls = self.calls;
        for (call, before) in calls.iter_mut().zip(earlier.calls) {
            *call -= before;
        }
        CallCounts {
            calls,
            bytes: self.bytes - earlier.bytes,
            machine_reads: self.machine_reads - earlier.machine_reads,
            machine_bytes: self.machine_bytes - earlier.machine_bytes,
        }
    }

    /// Both together.
    pub fn plus(&self, other: &CallCounts) -> CallCounts {
        let mut calls = self.calls;
        for (call, added) in calls.iter_mut().zip(other.calls) {
            *call += added;
        }
        CallCounts {
            calls,
            bytes: self.bytes + other.bytes,
            machine_reads: self.machine_reads + other.machine_reads,
            machine_bytes: self.machine_bytes + other.machine_bytes,
        }
    }
}

impl PlatformCalls {
    /// The present counts.
    pub fn counts(&self) -> CallCounts {
        CallCounts {
            calls: std::array::from_fn(|kind| self.calls[kind].load(Ordering::Relaxed)),
            bytes: self.bytes.load(Ordering::Relaxed),
            machine_reads: self.machine_reads.load(Ordering::Relaxed),
            machine_bytes: self.machine_bytes.load(Ordering::Relaxed),
        }
    }

    fn count(&self, kind: CallKind, request: &impl Serialize) {
        self.calls[kind as usize].fetch_add(1, Ordering::Relaxed);
        self.add_bytes(HEADER_BYTES + json_bytes(request));
    }

    fn add_bytes(&self, bytes: u64) {
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
    }
}

fn json_bytes(body: &impl Serialize) -> u64 {
    serde_json::to_vec(body).map_or(0, |json| json.len() as u64)
}

/// The key-value service over HTTP, counted.
pub struct CountedKeyValue {
    /// The service.
    pub service: HttpKeyValueService,
    /// The counters.
    pub calls: Arc<PlatformCalls>,
}

impl CountedKeyValue {
    fn answered<T: Serialize>(&self, answer: Result<T, KeyValueError>) -> Result<T, KeyValueError> {
        if let Ok(body) = &answer {
            self.calls.add_bytes(json_bytes(body));
        }
        answer
    }
}

#[async_trait]
impl KeyValueService for CountedKeyValue {
    async fn get(&self, key: &str) -> Result<Option<StoredValue>, KeyValueError> {
        let request = wire::GetRequest { key: key.to_string() };
        self.calls.count(CallKind::Get, &request);
        self.answered(self.service.get(key).await)
    }

    async fn list(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<StoredValue>, KeyValueError> {
        let request = wire::ListRequest {
            prefix: prefix.to_string(),
            after: after.to_string(),
            limit,
        };
        self.calls.count(CallKind::List, &request);
        self.answered(self.service.list(prefix, after, limit).await)
    }

    async fn write_if(
        &self,
        key: &str,
        value: Vec<u8>,
        expected: Option<u64>,
        lease: Option<LeaseId>,
    ) -> Result<WriteOutcome, KeyValueError> {
        let request = wire::WriteRequest {
            key: key.to_string(),
            value: value.clone(),
            expected,
            lease,
        };
        self.calls.count(CallKind::Write, &request);
        self.answered(self.service.write_if(key, value, expected, lease).await)
    }

    async fn delete_if(&self, key: &str, expected: u64) -> Result<WriteOutcome, KeyValueError> {
        let request = wire::DeleteRequest {
            key: key.to_string(),
            expected,
        };
        self.calls.count(CallKind::Write, &request);
        self.answered(self.service.delete_if(key, expected).await)
    }

    async fn grant_lease(&self, ttl_millis: u64) -> Result<LeaseId, KeyValueError> {
        self.calls
            .count(CallKind::Lease, &wire::GrantRequest { ttl_millis });
        self.answered(self.service.grant_lease(ttl_millis).await)
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        self.calls.count(CallKind::Lease, &wire::LeaseBody { lease });
        self.answered(self.service.renew_lease(lease).await)
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        self.calls.count(CallKind::Lease, &wire::LeaseBody { lease });
        self.answered(self.service.revoke_lease(lease).await)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: &str,
        wait_millis: u64,
    ) -> Result<Vec<StoredValue>, KeyValueError> {
        let request = wire::WatchRequest {
            prefix: prefix.to_string(),
            after: after.to_string(),
            wait_millis,
        };
        self.calls.count(CallKind::Watch, &request);
        self.answered(self.service.watch(prefix, after, wait_millis).await)
    }
}

/// The machine list over HTTP, counted.
pub struct CountedMachineList {
    /// The list.
    pub list: HttpMachineList,
    /// The counters.
    pub calls: Arc<PlatformCalls>,
}

#[async_trait]
impl MachineList for CountedMachineList {
    async fn machines(&self) -> Result<Vec<Machine>, MachineListError> {
        self.calls.machine_reads.fetch_add(1, Ordering::Relaxed);
        let before = self.list.body_bytes();
        let machines = self.list.machines().await;
        let read = self.list.body_bytes() - before;
        self.calls
            .machine_bytes
            .fetch_add(HEADER_BYTES + read, Ordering::Relaxed);
        machines
    }
}

/// A weight store that limits nothing; hollow nodes load nothing.
pub struct UnlimitedWeightStore;

#[async_trait]
impl WeightStore for UnlimitedWeightStore {
    async fn limits(&self) -> Result<WeightStoreLimits, WeightStoreError> {
        Ok(WeightStoreLimits {
            loads_per_second_thousandths: 0,
            concurrent_loads: u32::MAX,
            running_loads: 0,
        })
    }
}
