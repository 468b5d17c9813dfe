//! The lease on the role of coordinator.

use croftrill_platform::key_value::{KeyValueError, KeyValueService, LeaseId, StoredValue, WriteOutcome};
use croftrill_state::{CellId, NodeId};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

/// Times of the lease.
#[derive(Clone, Debug)]
pub struct LeaseConfig {
    /// Its length, in milliseconds.
    pub ttl_millis: u64,
    /// Between two renewals, in milliseconds.
    pub renew_millis: u64,
    /// The holder stops this long before the lease could end, in milliseconds.
    pub margin_millis: u64,
}

impl Default for LeaseConfig {
    fn default() -> Self {
        Self {
            ttl_millis: 8_000,
            renew_millis: 2_500,
            margin_millis: 500,
        }
    }
}

/// Why the lease was not taken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LeaseError {
    /// Another node holds it.
    #[error("the lease is held by {0}")]
    Held(String),
    /// The service does not answer.
    #[error(transparent)]
    Service(#[from] KeyValueError),
}

/// A held lease.
pub struct CoordinatorLease {
    config: LeaseConfig,
    service: Arc<dyn KeyValueService>,
    id: LeaseId,
    /// Counted from before the call that granted or renewed it.
    valid_until: Instant,
}

fn key(cell: &CellId) -> String {
    format!("croftrill/lease/{cell}")
}

impl CoordinatorLease {
    /// Takes the lease if nobody holds it. `attempt` is a random number that
    /// names this attempt, so that a lost answer can be resolved.
    pub async fn take(
        service: Arc<dyn KeyValueService>,
        cell: &CellId,
        node: &NodeId,
        attempt: u64,
        config: LeaseConfig,
    ) -> Result<Self, LeaseError> {
        if let Some(present) = service.get(&key(cell)).await? {
            return Err(held(&present));
        }
        let asked_at = Instant::now();
        let id = service.grant_lease(config.ttl_millis).await?;
        let lease = Self {
            valid_until: valid_until(&config, asked_at),
            config,
            service,
            id,
        };
        match lease.write_key(cell, node, attempt).await {
            Ok(()) => Ok(lease),
            Err(error) => {
                lease.give_back().await;
                Err(error)
            }
        }
    }

    async fn write_key(&self, cell: &CellId, node: &NodeId, attempt: u64) -> Result<(), LeaseError> {
        let value = format!("{node} {:016x}", attempt).into_bytes();
        let written = self
            .service
            .write_if(&key(cell), value.clone(), None, Some(self.id))
            .await;
        let found = match written {
            Ok(WriteOutcome::Written(_)) => return Ok(()),
            Ok(WriteOutcome::Conflict(found)) => found,
            Err(KeyValueError::OutcomeUnknown(_)) => self.service.get(&key(cell)).await?,
            Err(error) => return Err(error.into()),
        };
        match found {
            Some(present) if present.value == value => Ok(()),
            Some(present) => Err(held(&present)),
            None => Err(KeyValueError::OutcomeUnknown("the lease was not written".into()).into()),
        }
    }

    /// Renews the lease until it is lost.
    pub async fn keep(&mut self) {
        let mut next_renewal = self.config.renew_millis;
        loop {
            let renew_at = Instant::now() + Duration::from_millis(next_renewal);
            tokio::time::sleep_until(renew_at.min(self.valid_until)).await;
            let asked_at = Instant::now();
            if asked_at >= self.valid_until {
                return;
            }
            let renewed = tokio::time::timeout_at(self.valid_until, self.service.renew_lease(self.id));
            match renewed.await {
                Ok(Ok(())) => {
                    self.valid_until = valid_until(&self.config, asked_at);
                    next_renewal = self.config.renew_millis;
                }
                Ok(Err(KeyValueError::LeaseExpired)) | Err(_) => return,
                Ok(Err(error)) => {
                    log::warn!("coordinator: lease not renewed error=\"{error}\"");
                    next_renewal = retry_after(&self.config, &error);
                }
            }
        }
    }

    /// Ends the lease, so that another node need not wait for its end.
    pub async fn give_back(self) {
        if let Err(error) = self.service.revoke_lease(self.id).await {
            log::debug!("coordinator: lease not given back error=\"{error}\"");
        }
    }
}

fn valid_until(config: &LeaseConfig, asked_at: Instant) -> Instant {
    asked_at + Duration::from_millis(config.ttl_millis.saturating_sub(config.margin_millis))
}

fn retry_after(config: &LeaseConfig, error: &KeyValueError) -> u64 {
    match error {
        KeyValueError::RateLimited { retry_after_millis } => *retry_after_millis,
        _ => config.renew_millis / 2,
    }
}

fn held(present: &StoredValue) -> LeaseError {
    LeaseError::Held(String::from_utf8_lossy(&present.value).into_owned())
}
