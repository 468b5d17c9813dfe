//! A store that counts every call by kind and outcome.

use std::time::Duration;

use crate::metrics::Metrics;
use crate::ports::{
    Changes, ConditionalPut, Freshness, KeyValueStore, PutOutcome, Snapshot, StoreError, WatchCall,
};
use crate::store_era::StoreEra;

/// A store that counts its calls in the node's metrics.
pub struct CountedStore<'a, S> {
    store: S,
    metrics: &'a Metrics,
}

impl<'a, S> CountedStore<'a, S> {
    /// Wraps `store` and counts its calls in `metrics`.
    pub fn new(store: S, metrics: &'a Metrics) -> Self {
        CountedStore { store, metrics }
    }

    fn record_call<T>(&self, call: &'static str, result: Result<T, StoreError>) -> Result<T, StoreError> {
        let outcome = match &result {
            Ok(_) => "ok",
            Err(StoreError::Unreachable) => "unreachable",
            Err(StoreError::NoAnswer) => "no_answer",
            Err(StoreError::Unavailable) => "unavailable",
            Err(StoreError::Throttled) => "throttled",
            Err(StoreError::HistoryGone) => "history_gone",
            Err(StoreError::HistoryTooLong) => "history_too_long",
            Err(StoreError::NoSuchLease) => "no_such_lease",
            Err(StoreError::Protocol(_)) => "protocol",
        };
        Metrics::count(&self.metrics.store_calls, call, outcome);
        result
    }
}

impl<S: KeyValueStore> KeyValueStore for CountedStore<'_, S> {
    fn era(&self) -> &StoreEra {
        self.store.era()
    }

    async fn range(
        &self,
        prefix: &str,
        freshness: Freshness,
        limit: Duration,
    ) -> Result<Snapshot, StoreError> {
        let call = match freshness {
            Freshness::Latest => "range",
            Freshness::MayLag => "lagging_range",
        };
        self.record_call(call, self.store.range(prefix, freshness, limit).await)
    }

    async fn watch(&self, call: WatchCall<'_>) -> Result<Changes, StoreError> {
        self.record_call("watch", self.store.watch(call).await)
    }

    async fn reached_revision(&self) -> Result<u64, StoreError> {
        self.record_call("revision", self.store.reached_revision().await)
    }

    async fn put(&self, put: ConditionalPut) -> Result<PutOutcome, StoreError> {
        self.record_call("put", self.store.put(put).await)
    }

    async fn grant_lease(&self, time_to_live: Duration) -> Result<u64, StoreError> {
        self.record_call("grant_lease", self.store.grant_lease(time_to_live).await)
    }

    async fn renew_lease(&self, lease: u64) -> Result<(), StoreError> {
        self.record_call("renew_lease", self.store.renew_lease(lease).await)
    }

    async fn end_lease(&self, lease: u64) -> Result<(), StoreError> {
        self.record_call("end_lease", self.store.end_lease(lease).await)
    }
}
