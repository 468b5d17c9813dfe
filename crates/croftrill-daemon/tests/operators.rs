//! Tests of the operator API: status, plans, confirmations and races between them.

use bytes::Bytes;
use croftrill_daemon::daemon::Daemon;
use croftrill_daemon::operator_api::{Confirmed, Failure, Lift, PlanDocument};
use croftrill_daemon::status::NodeStatus;
use croftrill_demo::system::{document, node_settings, write_document};
use croftrill_http::document::{Document, ModelDocument};
use croftrill_node::connection::{ConnectionConfig, ConnectionPool};
use croftrill_scheduler::crash_ledger::{EndedReplica, Fingerprint, Verdict};
use croftrill_standin::http_server::listen;
use croftrill_standin::store::{StoreFault, StoreStandin};
use http::{Method, Request, Response};
use http_body_util::Full;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;

struct Fixture {
    store: Rc<StoreStandin>,
    daemon: Daemon,
}

impl Fixture {
    async fn start() -> Self {
        let (listener, address) = listen().await.expect("a port");
        let store = StoreStandin::start(listener);
        write_document(&store, &document());
        let daemon = Daemon::start(node_settings("n1", address))
            .await
            .expect("it starts");
        while daemon.node.configuration().is_none() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Fixture { store, daemon }
    }

    async fn call<B: Serialize>(&self, method: Method, path: &str, body: Option<&B>) -> Response<Bytes> {
        let body = body
            .map(|body| serde_json::to_vec(body).expect("json"))
            .unwrap_or_default();
        let address = self.daemon.settings.operator;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", address.to_string())
            .body(Full::new(Bytes::from(body)))
            .expect("a request");
        let pool = ConnectionPool::new(ConnectionConfig::default());
        pool.exchange(address, request, Duration::from_secs(10))
            .await
            .expect("an answer")
    }

    async fn plan(&self, desired: &Document) -> PlanDocument {
        read(&self.call(Method::POST, "/v1/plan", Some(desired)).await)
    }
}

fn read<T: DeserializeOwned>(answer: &Response<Bytes>) -> T {
    serde_json::from_slice(answer.body()).expect("it can be read")
}

fn desired(name: &str) -> Document {
    let mut desired = document();
    let model = ModelDocument {
        name: name.to_string(),
        ..desired.models[0].clone()
    };
    desired.models.push(model);
    desired
}

fn run<F: std::future::Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn confirm_applies_plan() {
    run(async {
        let fixture = Fixture::start().await;
        let plan = fixture.plan(&desired("willow")).await;
        assert_eq!(plan.steps.len(), 1, "{:?}", plan.steps);
        assert!(plan.steps[0].contains("willow"));
        let before: Document = read(&fixture.call::<()>(Method::GET, "/v1/document", None).await);
        assert_eq!(before, document());
        let confirmed: Confirmed = read(&fixture.call(Method::POST, "/v1/confirm", Some(&plan)).await);
        assert_eq!(confirmed.version, 2);
        while fixture.daemon.node.configuration().expect("one").version != 2 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let status: NodeStatus = read(&fixture.call::<()>(Method::GET, "/v1/status", None).await);
        assert_eq!(
            (status.configuration_version, status.lifecycle.as_str()),
            (2, "ready")
        );
    });
}

#[test]
fn confirm_outdated_plan() {
    run(async {
        let fixture = Fixture::start().await;
        let (first, second) = (
            fixture.plan(&desired("willow")).await,
            fixture.plan(&desired("aspen")).await,
        );
        assert_eq!(
            fixture
                .call(Method::POST, "/v1/confirm", Some(&second))
                .await
                .status(),
            200
        );
        let rejected = fixture.call(Method::POST, "/v1/confirm", Some(&first)).await;
        assert_eq!(rejected.status(), 409);
        let failure: Failure = read(&rejected);
        let new_plan = failure.new_plan.expect("a plan for the present state");
        assert!(
            new_plan
                .steps
                .iter()
                .any(|step| step.contains("remove model aspen")),
            "{:?}",
            new_plan.steps
        );
        assert_eq!(
            fixture
                .call(Method::POST, "/v1/confirm", Some(&new_plan))
                .await
                .status(),
            200
        );
    });
}

#[test]
fn plan_invalid_document() {
    run(async {
        let fixture = Fixture::start().await;
        let mut bad = desired("too/large");
        bad.models[0].weights_mb = 1e9;
        let answer = fixture.call(Method::POST, "/v1/plan", Some(&bad)).await;
        assert_eq!(answer.status(), 400);
        assert_eq!(read::<Failure>(&answer).findings.len(), 2);
    });
}

#[test]
fn confirm_store_unavailable() {
    run(async {
        let fixture = Fixture::start().await;
        let plan = fixture.plan(&desired("willow")).await;
        fixture.store.set_fault(StoreFault::Refusing);
        let answer = fixture.call(Method::POST, "/v1/confirm", Some(&plan)).await;
        assert_eq!(answer.status(), 503);
        let ready = fixture.call::<()>(Method::GET, "/ready", None).await;
        assert_eq!(ready.status(), 200, "the node still accepts requests");
    });
}

#[test]
fn list_models_with_adapters() {
    run(async {
        let fixture = Fixture::start().await;
        let address = fixture.daemon.settings.listen;
        let request = Request::builder()
            .uri("/v1/models")
            .header("host", address.to_string())
            .body(Full::default());
        let pool = ConnectionPool::new(ConnectionConfig::default());
        let answer = pool
            .exchange(address, request.expect("a request"), Duration::from_secs(10))
            .await;
        let list: serde_json::Value = read(&answer.expect("an answer"));
        let names: Vec<&str> = list["data"]
            .as_array()
            .expect("a list")
            .iter()
            .filter_map(|model| model["id"].as_str())
            .collect();
        assert_eq!(
            names.len(),
            document().models.len() * 5,
            "six models with four adapters each"
        );
        assert!(names.contains(&"maple") && names.contains(&"maple/a1"));
    });
}

/// Every metric named in `docs/OPERATIONS.md` is exported.
#[test]
fn metrics_all_documented_are_served() {
    run(async {
        let fixture = Fixture::start().await;
        let served = fixture.call::<()>(Method::GET, "/metrics", None).await;
        let served = String::from_utf8_lossy(served.body()).into_owned();
        let page = include_str!("../../../docs/OPERATIONS.md");
        let named = page.split('`').filter(|word| word.starts_with("croftrill_"));
        for metric in named {
            assert!(
                served.contains(metric.trim_end_matches("_total")),
                "{metric} is not served"
            );
        }
    });
}

#[test]
fn lift_refused_request() {
    run(async {
        let fixture = Fixture::start().await;
        let node = &fixture.daemon.node;
        let fingerprint = Fingerprint(0xabc);
        for replica in 0..3 {
            let now = node.clock.now();
            let ledger = &mut node.state.borrow_mut().crash_ledger;
            ledger.record_end(fingerprint, EndedReplica(replica), now);
        }
        let status: NodeStatus = read(&fixture.call::<()>(Method::GET, "/v1/status", None).await);
        assert_eq!(status.suspects.len(), 1);
        assert_eq!(status.suspects[0].verdict, "refused");
        let lift = Lift {
            fingerprint: status.suspects[0].fingerprint.clone(),
        };
        let answer = fixture.call(Method::POST, "/v1/lift", Some(&lift)).await;
        assert_eq!(answer.status(), 200);
        let now = node.clock.now();
        let verdict = node.state.borrow_mut().crash_ledger.verdict(fingerprint, now);
        assert_eq!(verdict, Verdict::Free);
        let again = fixture.call(Method::POST, "/v1/lift", Some(&lift)).await;
        assert_eq!(again.status(), 404);
        let bad = Lift {
            fingerprint: "no number".to_string(),
        };
        let answer = fixture.call(Method::POST, "/v1/lift", Some(&bad)).await;
        let failure: Failure = read(&answer);
        assert_eq!((answer.status().as_u16(), failure.findings.len()), (400, 1));
    });
}
