//! A store with points of its history in place of revisions ([`crate::store_era`]).
//!
//! This is the only place that converts between the store's revisions and points. Requests
//! that refer to another era than the current one do not reach the store, and answers of
//! another era do not reach the caller.

use std::time::Duration;

use crate::ports::{
    Changes, ConditionalPut, Expectation, Freshness, Item, KeyValueStore, PutOutcome, Snapshot, StoreError,
    StoreEvent, WatchCall,
};
use crate::store_era::StoreEra;

/// Revision of a key that is absent.
const ABSENT: u64 = 0;

/// A store whose callers use points.
pub struct EraStore<'a, S> {
    store: &'a S,
}

impl<'a, S: KeyValueStore> EraStore<'a, S> {
    /// Wraps `store`, which uses its own revisions.
    pub fn new(store: &'a S) -> Self {
        EraStore { store }
    }

    fn item(&self, item: Item) -> Item {
        Item {
            revision: self.era().point(item.revision),
            ..item
        }
    }

    fn event(&self, event: StoreEvent) -> StoreEvent {
        match event {
            StoreEvent::Written(item) => StoreEvent::Written(self.item(item)),
            StoreEvent::Removed { key, revision } => StoreEvent::Removed {
                key,
                revision: self.era().point(revision),
            },
        }
    }

    /// Returns the condition with the store's own revision, or `None` if it refers to a former
    /// era.
    fn expectation(&self, expectation: Expectation) -> Option<Expectation> {
        let revision = match expectation.revision {
            ABSENT => ABSENT,
            point => self.era().revision(point)?,
        };
        Some(Expectation {
            revision,
            ..expectation
        })
    }
}

impl<S: KeyValueStore> KeyValueStore for EraStore<'_, S> {
    fn era(&self) -> &StoreEra {
        self.store.era()
    }

    async fn range(
        &self,
        prefix: &str,
        freshness: Freshness,
        limit: Duration,
    ) -> Result<Snapshot, StoreError> {
        let rises = self.era().rises();
        let snapshot = self.store.range(prefix, freshness, limit).await?;
        if self.era().rises() != rises {
            // The pages of the read may belong to both eras.
            return Err(StoreError::HistoryGone);
        }
        Ok(Snapshot {
            items: snapshot.items.into_iter().map(|item| self.item(item)).collect(),
            revision: self.era().point(snapshot.revision),
        })
    }

    async fn watch(&self, call: WatchCall<'_>) -> Result<Changes, StoreError> {
        // The store may have reused the revision's number for other contents.
        let after = self.era().revision(call.after).ok_or(StoreError::HistoryGone)?;
        let rises = self.era().rises();
        let changes = self.store.watch(WatchCall { after, ..call }).await?;
        if self.era().rises() != rises {
            return Err(StoreError::HistoryGone);
        }
        Ok(Changes {
            events: changes
                .events
                .into_iter()
                .map(|event| self.event(event))
                .collect(),
            revision: self.era().point(changes.revision),
        })
    }

    async fn reached_revision(&self) -> Result<u64, StoreError> {
        let revision = self.store.reached_revision().await?;
        Ok(self.era().point(revision))
    }

    async fn put(&self, put: ConditionalPut) -> Result<PutOutcome, StoreError> {
        let rises = self.era().rises();
        let is_conditional = !put.conditions.is_empty();
        let conditions = put.conditions.into_iter();
        let conditions: Option<Vec<Expectation>> =
            conditions.map(|condition| self.expectation(condition)).collect();
        let Some(conditions) = conditions else {
            return Ok(PutOutcome::Rejected);
        };
        let put = ConditionalPut { conditions, ..put };
        let outcome = self.store.put(put).await?;
        if is_conditional && self.era().rises() != rises {
            // The conditions may have matched revisions whose numbers were reused.
            return Err(StoreError::NoAnswer);
        }
        Ok(match outcome {
            PutOutcome::Done { revision } => PutOutcome::Done {
                revision: self.era().point(revision),
            },
            PutOutcome::Rejected => PutOutcome::Rejected,
        })
    }

    async fn grant_lease(&self, time_to_live: Duration) -> Result<u64, StoreError> {
        self.store.grant_lease(time_to_live).await
    }

    async fn renew_lease(&self, lease: u64) -> Result<(), StoreError> {
        self.store.renew_lease(lease).await
    }

    async fn end_lease(&self, lease: u64) -> Result<(), StoreError> {
        self.store.end_lease(lease).await
    }
}
