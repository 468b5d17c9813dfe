//! A key-value service in memory, with clients that suffer faults.

use async_trait::async_trait;
use croftrill_platform::key_value::{KeyValueError, KeyValueService, LeaseId, StoredValue, WriteOutcome};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// What happens to one call of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// It takes effect, but the answer is lost.
    AnswerLost,
    /// It is lost on the way, and the caller cannot tell.
    CallLost,
    /// A write takes effect only when delayed writes are delivered.
    Delayed,
    /// It does not reach the service.
    Unreachable,
    /// It is refused.
    RateLimited,
}

struct Stored {
    value: Vec<u8>,
    version: u64,
    lease: Option<LeaseId>,
}

struct DelayedWrite {
    key: String,
    value: Vec<u8>,
    expected: Option<u64>,
}

#[derive(Default)]
struct Contents {
    stored: BTreeMap<String, Stored>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    delayed: Vec<DelayedWrite>,
    last_version: u64,
    down: bool,
    calls: u64,
}

impl Contents {
    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (until, _)| *until > now);
        let leases = &self.leases;
        self.stored
            .retain(|_, stored| stored.lease.is_none_or(|lease| leases.contains_key(&lease.0)));
    }

    fn get(&self, key: &str) -> Option<StoredValue> {
        self.stored.get(key).map(|stored| StoredValue {
            key: key.to_string(),
            value: stored.value.clone(),
            version: stored.version,
        })
    }

    fn list(&self, prefix: &str, after: &str, limit: u32) -> Vec<StoredValue> {
        self.stored
            .keys()
            .filter(|key| key.starts_with(prefix) && key.as_str() > after)
            .take(limit as usize)
            .filter_map(|key| self.get(key))
            .collect()
    }

    fn write_if(
        &mut self,
        key: &str,
        value: Vec<u8>,
        expected: Option<u64>,
        lease: Option<LeaseId>,
    ) -> WriteOutcome {
        let present = self.stored.get(key).map(|stored| stored.version);
        if present != expected {
            return WriteOutcome::Conflict(self.get(key));
        }
        self.last_version += 1;
        let version = self.last_version;
        let stored = Stored {
            value,
            version,
            lease,
        };
        self.stored.insert(key.to_string(), stored);
        WriteOutcome::Written(version)
    }

    fn delete_if(&mut self, key: &str, expected: u64) -> WriteOutcome {
        if self.stored.get(key).map(|stored| stored.version) != Some(expected) {
            return WriteOutcome::Conflict(self.get(key));
        }
        self.stored.remove(key);
        WriteOutcome::Written(expected)
    }
}

/// The service.
#[derive(Clone)]
pub struct SimulatedService {
    contents: Arc<Mutex<Contents>>,
    changes: watch::Sender<u64>,
}

impl SimulatedService {
    pub fn new() -> Self {
        Self {
            contents: Arc::default(),
            changes: watch::Sender::new(0),
        }
    }

    /// A client without faults so far.
    pub fn client(&self) -> Arc<SimulatedClient> {
        Arc::new(SimulatedClient {
            service: self.clone(),
            faults: Mutex::default(),
            cut_off: Mutex::new(false),
        })
    }

    /// Stops or starts the service for everybody. Leases run on.
    pub fn set_down(&self, down: bool) {
        self.contents().down = down;
        self.changed();
    }

    /// Lets delayed writes take effect, if their conditions still hold.
    pub fn deliver_delayed(&self) {
        let mut contents = self.contents();
        let delayed = std::mem::take(&mut contents.delayed);
        for write in delayed {
            contents.write_if(&write.key, write.value, write.expected, None);
        }
        drop(contents);
        self.changed();
    }

    /// Calls of all clients so far.
    pub fn calls(&self) -> u64 {
        self.contents().calls
    }

    /// Keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let contents = self.contents();
        let keys = contents.stored.keys();
        keys.filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    fn contents(&self) -> MutexGuard<'_, Contents> {
        let mut contents = self.contents.lock().unwrap();
        contents.expire();
        contents
    }

    fn changed(&self) {
        self.changes.send_modify(|count| *count += 1);
    }
}

/// One node's connection to the service.
pub struct SimulatedClient {
    service: SimulatedService,
    faults: Mutex<VecDeque<Fault>>,
    cut_off: Mutex<bool>,
}

impl SimulatedClient {
    /// Faults of the next calls, in order; later calls have none.
    pub fn fail_next(&self, faults: impl IntoIterator<Item = Fault>) {
        self.faults.lock().unwrap().extend(faults);
    }

    /// Forgets faults that have not struck yet.
    pub fn clear_faults(&self) {
        self.faults.lock().unwrap().clear();
    }

    /// Cuts this client off, or connects it again.
    pub fn set_cut_off(&self, cut_off: bool) {
        *self.cut_off.lock().unwrap() = cut_off;
        self.service.changed();
    }

    fn is_down(&self) -> bool {
        *self.cut_off.lock().unwrap() || self.service.contents().down
    }

    async fn call<T>(&self, run: impl FnOnce(&mut Contents) -> T) -> Result<T, KeyValueError> {
        self.call_or_delay(run, None).await
    }

    /// Runs a call, after the pause that every network call has. `write` is
    /// what takes effect later if the call is delayed.
    async fn call_or_delay<T>(
        &self,
        run: impl FnOnce(&mut Contents) -> T,
        write: Option<DelayedWrite>,
    ) -> Result<T, KeyValueError> {
        tokio::time::sleep(Duration::from_millis(1)).await;
        self.service.contents().calls += 1;
        if self.is_down() {
            return Err(unreachable_error());
        }
        let fault = self.faults.lock().unwrap().pop_front().unwrap_or(Fault::None);
        let mut contents = self.service.contents();
        match fault {
            Fault::None => Ok(run(&mut contents)),
            Fault::AnswerLost => {
                run(&mut contents);
                Err(lost_error())
            }
            Fault::CallLost => Err(lost_error()),
            Fault::Delayed => {
                contents.delayed.extend(write);
                Err(lost_error())
            }
            Fault::Unreachable => Err(unreachable_error()),
            Fault::RateLimited => Err(KeyValueError::RateLimited {
                retry_after_millis: 7,
            }),
        }
    }
}

#[async_trait]
impl KeyValueService for SimulatedClient {
    async fn get(&self, key: &str) -> Result<Option<StoredValue>, KeyValueError> {
        self.call(|contents| contents.get(key)).await
    }

    async fn list(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<StoredValue>, KeyValueError> {
        self.call(|contents| contents.list(prefix, after, limit)).await
    }

    async fn write_if(
        &self,
        key: &str,
        value: Vec<u8>,
        expected: Option<u64>,
        lease: Option<LeaseId>,
    ) -> Result<WriteOutcome, KeyValueError> {
        let delayed = DelayedWrite {
            key: key.to_string(),
            value: value.clone(),
            expected,
        };
        let run = |contents: &mut Contents| {
            if lease.is_some_and(|lease| !contents.leases.contains_key(&lease.0)) {
                return Err(KeyValueError::LeaseExpired);
            }
            Ok(contents.write_if(key, value, expected, lease))
        };
        let result = self.call_or_delay(run, Some(delayed)).await;
        self.service.changed();
        result?
    }

    async fn delete_if(&self, key: &str, expected: u64) -> Result<WriteOutcome, KeyValueError> {
        self.call(|contents| contents.delete_if(key, expected)).await
    }

    async fn grant_lease(&self, ttl_millis: u64) -> Result<LeaseId, KeyValueError> {
        self.call(|contents| {
            contents.last_version += 1;
            let id = contents.last_version;
            let ttl = Duration::from_millis(ttl_millis);
            contents.leases.insert(id, (Instant::now() + ttl, ttl));
            LeaseId(id)
        })
        .await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        self.call(|contents| match contents.leases.get_mut(&lease.0) {
            Some((until, ttl)) => {
                *until = Instant::now() + *ttl;
                Ok(())
            }
            None => Err(KeyValueError::LeaseExpired),
        })
        .await?
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        self.call(|contents| {
            contents.leases.remove(&lease.0);
        })
        .await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: &str,
        wait_millis: u64,
    ) -> Result<Vec<StoredValue>, KeyValueError> {
        let until = Instant::now() + Duration::from_millis(wait_millis);
        let mut changes = self.service.changes.subscribe();
        let mut found = self.call(|contents| contents.list(prefix, after, 100)).await?;
        while found.is_empty() && Instant::now() < until {
            let _ = tokio::time::timeout_at(until, changes.changed()).await;
            if self.is_down() {
                return Err(unreachable_error());
            }
            found = self.service.contents().list(prefix, after, 100);
        }
        Ok(found)
    }
}

fn unreachable_error() -> KeyValueError {
    KeyValueError::Unreachable("simulated outage".to_string())
}

fn lost_error() -> KeyValueError {
    KeyValueError::OutcomeUnknown("simulated loss".to_string())
}
