//! Client of the key-value store.

use std::net::SocketAddr;
use std::time::Duration;

use base64::prelude::{Engine, BASE64_STANDARD};
use bytes::Bytes;
use croftrill_node::connection::{AnswerLimits, AnswerProgress, ConnectionConfig, ConnectionPool};
use croftrill_node::ports::{
    Changes, ConditionalPut, Freshness, Item, KeyValueStore, PutOutcome, Snapshot, StoreError, StoreEvent,
    WatchCall,
};
use croftrill_node::store_era::StoreEra;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use percent_encoding::{utf8_percent_encode, NON_ALPHANUMERIC};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::store_wire::{
    WireExpectation, WireItem, WireItems, WireLease, WireLeaseRequest, WireRevision, WireTransaction,
    WireWrite, CHANGES_PATH, ERA_HEADER, ITEMS_PATH, LEASES_PATH, REVISION_PATH, WRITE_PATH,
};

/// Time without an acknowledgement after which a connection counts as lost: about as long as a
/// call may take.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);
/// Timeout of a call with a short response.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Era of a store that has never been restored from a copy.
const FIRST_ERA: u64 = 0;
/// Time beyond the requested wait for the head of a watch response to arrive.
const WATCH_MARGIN: Duration = Duration::from_secs(1);

/// Client of the store at one address.
pub struct StoreClient {
    address: SocketAddr,
    pool: ConnectionPool,
    era: StoreEra,
}

impl StoreClient {
    /// Returns a client of the store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        StoreClient {
            address,
            pool: ConnectionPool::new(ConnectionConfig {
                silence_limit: Some(SILENCE_LIMIT),
                ..ConnectionConfig::default()
            }),
            era: StoreEra::with_initial(FIRST_ERA),
        }
    }

    fn request(&self, method: Method, target: &str, body: Bytes) -> Result<Request<Full<Bytes>>, StoreError> {
        Request::builder()
            .method(method)
            .uri(target)
            .header("host", self.address.to_string())
            .body(Full::new(body))
            .map_err(|error| StoreError::Protocol(error.to_string()))
    }

    /// Makes a call whose response is short.
    async fn call(&self, method: Method, target: &str, body: Bytes) -> Result<Response<Bytes>, StoreError> {
        let request = self.request(method, target, body)?;
        let answer = self.pool.exchange(self.address, request, CALL_TIMEOUT).await?;
        self.check_response(answer)
    }

    /// Returns the response, or an error if it belongs to a former era or its status
    /// says that the call was not executed.
    fn check_response(&self, answer: Response<Bytes>) -> Result<Response<Bytes>, StoreError> {
        self.era.record_header(answer.headers(), ERA_HEADER)?;
        match answer.status() {
            StatusCode::SERVICE_UNAVAILABLE => Err(StoreError::Unavailable),
            StatusCode::TOO_MANY_REQUESTS => Err(StoreError::Throttled),
            StatusCode::GONE => Err(StoreError::HistoryGone),
            StatusCode::NOT_FOUND => Err(StoreError::NoSuchLease),
            _ => Ok(answer),
        }
    }

    async fn get<T: DeserializeOwned>(&self, target: &str) -> Result<T, StoreError> {
        parse(&self.call(Method::GET, target, Bytes::new()).await?)
    }

    /// Makes a read whose response may be long.
    async fn get_long<T: DeserializeOwned>(
        &self,
        target: &str,
        limits: AnswerLimits,
        arrival: &AnswerProgress,
    ) -> Result<T, StoreError> {
        let request = self.request(Method::GET, target, Bytes::new())?;
        let exchange = self.pool.exchange_long(self.address, request, limits, arrival);
        parse(&self.check_response(exchange.await?)?)
    }

    async fn post<B: Serialize>(&self, target: &str, body: &B) -> Result<Response<Bytes>, StoreError> {
        let body = serde_json::to_vec(body).map_err(|error| StoreError::Protocol(error.to_string()))?;
        self.call(Method::POST, target, body.into()).await
    }
}

fn parse<T: DeserializeOwned>(answer: &Response<Bytes>) -> Result<T, StoreError> {
    if !answer.status().is_success() {
        return Err(StoreError::Protocol(answer.status().to_string()));
    }
    serde_json::from_slice(answer.body()).map_err(|error| StoreError::Protocol(error.to_string()))
}

fn encode_query(text: &str) -> String {
    utf8_percent_encode(text, NON_ALPHANUMERIC).to_string()
}

fn event(wire: WireItem) -> Result<StoreEvent, StoreError> {
    let Some(value) = wire.value else {
        return Ok(StoreEvent::Removed {
            key: wire.key,
            revision: wire.revision,
        });
    };
    let value = BASE64_STANDARD
        .decode(value)
        .map_err(|error| StoreError::Protocol(error.to_string()))?;
    Ok(StoreEvent::Written(Item {
        key: wire.key,
        value: value.into(),
        revision: wire.revision,
    }))
}

fn transaction(put: &ConditionalPut) -> WireTransaction {
    let conditions = put.conditions.iter().map(|expectation| WireExpectation {
        key: expectation.key.clone(),
        revision: expectation.revision,
    });
    let writes = put.writes.iter().map(|write| WireWrite {
        key: write.key.clone(),
        value: BASE64_STANDARD.encode(&write.value),
        lease: write.lease,
    });
    WireTransaction {
        conditions: conditions.collect(),
        writes: writes.collect(),
    }
}

impl KeyValueStore for StoreClient {
    fn era(&self) -> &StoreEra {
        &self.era
    }

    async fn range(
        &self,
        prefix: &str,
        // This store always returns the latest revision.
        _freshness: Freshness,
        limit: Duration,
    ) -> Result<Snapshot, StoreError> {
        let limits = AnswerLimits {
            head_timeout: limit,
            max_bytes: u64::MAX,
        };
        let target = format!("{ITEMS_PATH}?prefix={}", encode_query(prefix));
        let answer: WireItems = self.get_long(&target, limits, &AnswerProgress::default()).await?;
        let mut items = Vec::with_capacity(answer.items.len());
        for wire in answer.items {
            if let StoreEvent::Written(item) = event(wire)? {
                items.push(item);
            }
        }
        Ok(Snapshot {
            items,
            revision: answer.revision,
        })
    }

    async fn watch(&self, call: WatchCall<'_>) -> Result<Changes, StoreError> {
        let target = format!(
            "{CHANGES_PATH}?prefix={}&after={}&wait_ms={}",
            encode_query(call.prefix),
            call.after,
            call.wait.as_millis()
        );
        let limits = AnswerLimits {
            head_timeout: call.wait + WATCH_MARGIN,
            max_bytes: call.max_bytes,
        };
        let answer: WireItems = self.get_long(&target, limits, call.arrival).await?;
        let events = answer.items.into_iter().map(event).collect::<Result<_, _>>()?;
        Ok(Changes {
            events,
            revision: answer.revision,
        })
    }

    async fn reached_revision(&self) -> Result<u64, StoreError> {
        self.get(REVISION_PATH)
            .await
            .map(|answer: WireRevision| answer.revision)
    }

    async fn put(&self, put: ConditionalPut) -> Result<PutOutcome, StoreError> {
        let answer = self.post(WRITE_PATH, &transaction(&put)).await?;
        if answer.status() == StatusCode::CONFLICT {
            return Ok(PutOutcome::Rejected);
        }
        parse(&answer).map(|answer: WireRevision| PutOutcome::Done {
            revision: answer.revision,
        })
    }

    async fn grant_lease(&self, time_to_live: Duration) -> Result<u64, StoreError> {
        let request = WireLeaseRequest {
            time_to_live_ms: time_to_live.as_millis() as u64,
        };
        parse(&self.post(LEASES_PATH, &request).await?).map(|answer: WireLease| answer.lease)
    }

    async fn renew_lease(&self, lease: u64) -> Result<(), StoreError> {
        let target = format!("{LEASES_PATH}/{lease}");
        self.call(Method::POST, &target, Bytes::new()).await.map(|_| ())
    }

    async fn end_lease(&self, lease: u64) -> Result<(), StoreError> {
        let target = format!("{LEASES_PATH}/{lease}");
        self.call(Method::DELETE, &target, Bytes::new()).await.map(|_| ())
    }
}
