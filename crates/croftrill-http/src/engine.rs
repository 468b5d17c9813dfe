//! Client of the model replicas' control API: orders and reports.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use croftrill_node::connection::{ConnectionConfig, ConnectionPool};
use croftrill_node::connector::Connector;
use croftrill_node::ports::{EngineAddress, EngineAnswer, EngineControl, FencedOrder};
use croftrill_scheduler::replica::{Order, OrderOutcome, ReplicaReport};
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;

use crate::engine_wire::{
    replica_signals, Operation, WireOrder, WireReport, INCARNATION_HEADER, ORDER_PATH, REPORT_PATH,
};

const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Controls replicas over HTTP.
pub struct EngineClient {
    pool: ConnectionPool,
}

impl EngineClient {
    /// Returns a client with its own connection pool, whose connections `connector` opens.
    pub fn new(connector: Rc<dyn Connector>) -> Self {
        // An order that a partition held up must not arrive after another node gives orders.
        let config = ConnectionConfig {
            resets_on_close: true,
            ..ConnectionConfig::default()
        };
        EngineClient {
            pool: ConnectionPool::with_connector(config, connector),
        }
    }
}

fn wire_order(fenced: &FencedOrder) -> WireOrder {
    let (operation, adapter) = match &fenced.order {
        Order::LoadModel(_) => (Operation::Load, None),
        Order::UnloadModel(_) => (Operation::Unload, None),
        Order::LoadAdapter(_, adapter) => (Operation::Load, Some(adapter.to_string())),
        Order::UnloadAdapter(_, adapter) => (Operation::Unload, Some(adapter.to_string())),
    };
    WireOrder {
        operation,
        model: fenced.order.model().to_string(),
        adapter,
        holder: fenced.holder.clone(),
        fencing_token: fenced.fencing_token,
        expected_sequence: fenced.expected_sequence,
    }
}

fn outcome(status: StatusCode) -> OrderOutcome {
    match status {
        StatusCode::ACCEPTED => OrderOutcome::Accepted,
        StatusCode::OK => OrderOutcome::AlreadyHolds,
        StatusCode::CONFLICT => OrderOutcome::Conflict,
        StatusCode::PRECONDITION_FAILED => OrderOutcome::Fenced,
        StatusCode::MISDIRECTED_REQUEST => OrderOutcome::OtherIncarnation,
        StatusCode::BAD_REQUEST => OrderOutcome::Rejected,
        _ => OrderOutcome::Unknown,
    }
}

fn request(target: &EngineAddress, method: Method, path: &str, body: Bytes) -> Option<Request<Full<Bytes>>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", target.address.to_string())
        .header(INCARNATION_HEADER, &*target.replica)
        .body(Full::new(body))
        .ok()
}

fn parse_report(answer: &Response<Bytes>) -> Option<ReplicaReport> {
    let wire: WireReport = serde_json::from_slice(answer.body()).ok()?;
    Some(ReplicaReport {
        holdings: wire.holdings.into(),
        in_transit: wire
            .in_transit
            .map(|adapters| adapters.into_iter().map(Into::into).collect()),
        busy: wire.busy,
        waiting: wire.waiting,
        running: wire.running,
        started_ms: wire.started_ms,
    })
}

impl EngineControl for EngineClient {
    async fn order(&self, target: &EngineAddress, order: &FencedOrder) -> EngineAnswer<OrderOutcome> {
        let body = serde_json::to_vec(&wire_order(order)).unwrap_or_default();
        let Some(request) = request(target, Method::POST, ORDER_PATH, body.into()) else {
            return EngineAnswer::without_signals(OrderOutcome::Rejected);
        };
        match self.pool.exchange(target.address, request, CALL_TIMEOUT).await {
            Ok(answer) => EngineAnswer {
                answer: outcome(answer.status()),
                signals: replica_signals(answer.status(), answer.headers()),
            },
            Err(error) if error.nothing_sent() => EngineAnswer::without_signals(OrderOutcome::Conflict),
            Err(_) => EngineAnswer::without_signals(OrderOutcome::Unknown),
        }
    }

    async fn report(&self, target: &EngineAddress) -> EngineAnswer<Option<ReplicaReport>> {
        let Some(request) = request(target, Method::GET, REPORT_PATH, Bytes::new()) else {
            return EngineAnswer::without_signals(None);
        };
        let answer = self.pool.exchange(target.address, request, CALL_TIMEOUT).await;
        let Ok(answer) = answer else {
            return EngineAnswer::without_signals(None);
        };
        EngineAnswer {
            answer: parse_report(&answer),
            signals: replica_signals(answer.status(), answer.headers()),
        }
    }
}
