//! The operators' path on one node: a plan, a status, a listing.

use super::state_size::median_millis;
use crate::built_state::BuiltState;
use crate::population::{cell_of, node_id};
use crate::report::{Format, Table};
use async_trait::async_trait;
use bytes::Bytes;
use croftrill_operator_api::{
    ChangeLog, FetchedPlan, OperatorApi, OperatorApiConfig, PlanFetcher, ProposeOutcome,
};
use croftrill_protocol::operator::IntentRequest;
use croftrill_state::entry::{Change, Intent};
use croftrill_state::PlanId;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use serde_json::json;
use std::sync::Arc;

const KIB: f64 = 1024.0;

/// Settings of the experiment.
#[derive(Clone, Debug)]
pub struct OperatorConfig {
    /// Parts of the size to design for, in percent, rising.
    pub percents: Vec<usize>,
}

/// Runs it.
pub async fn run(config: OperatorConfig, format: Format) -> anyhow::Result<()> {
    let mut table = Table::new(
        "operator: processor milliseconds and KiB of one call",
        &[
            "percent",
            "plan_ms",
            "plan_kib",
            "status_ms",
            "status_kib",
            "models_kib",
            "adapters_ms",
            "adapters_kib",
        ],
    );
    for percent in config.percents {
        let built = BuiltState::build(percent)?;
        let plan = plan_body(&built)?;
        let api = api(built);
        let size = async |path: &str| anyhow::Ok(answer_kib(call(&api, Method::GET, path, "").await).await?);
        let plan_call = || call_now(&api, Method::POST, "/v1/plans", &plan);
        table.row(vec![
            json!(percent),
            json!(median_millis(plan_call)),
            json!(answer_kib(call(&api, Method::POST, "/v1/plans", &plan).await).await?),
            json!(median_millis(|| call_now(&api, Method::GET, "/v1/status", ""))),
            json!(size("/v1/status").await?),
            json!(size("/v1/models/configured").await?),
            json!(median_millis(|| call_now(&api, Method::GET, "/v1/adapters", ""))),
            json!(size("/v1/adapters").await?),
        ]);
    }
    print!("{}", table.render(format));
    Ok(())
}

/// The body of a plan that replaces one model.
fn plan_body(built: &BuiltState) -> anyhow::Result<String> {
    let mut intents = Vec::new();
    if let Some(model) = built.state.models.values().next() {
        let mut changed = model.value.clone();
        changed.version += 1;
        intents.push(Intent::PutModel(changed));
    }
    Ok(serde_json::to_string(&IntentRequest { intents })?)
}

fn api(built: BuiltState) -> OperatorApi {
    OperatorApi::new(
        OperatorApiConfig::new(node_id(0), cell_of(0)),
        Arc::new(arc_swap::ArcSwap::from_pointee(built.state)),
        Arc::new(NoLog),
        Arc::new(NoLog),
    )
}

/// The API answers these calls without waiting for anything.
fn call_now(api: &OperatorApi, method: Method, path: &str, body: &str) -> Option<Response<Full<Bytes>>> {
    use futures::FutureExt;
    call(api, method, path, body).now_or_never()
}

async fn call(api: &OperatorApi, method: Method, path: &str, body: &str) -> Response<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body.to_string())));
    *request.method_mut() = method;
    if let Ok(uri) = path.parse() {
        *request.uri_mut() = uri;
    }
    api.handle(request).await
}

async fn answer_kib(answer: Response<Full<Bytes>>) -> anyhow::Result<f64> {
    anyhow::ensure!(answer.status().is_success(), "status {}", answer.status());
    let body = answer.into_body().collect().await?;
    Ok(body.to_bytes().len() as f64 / KIB)
}

/// Nothing is confirmed here.
struct NoLog;

#[async_trait]
impl ChangeLog for NoLog {
    async fn propose(&self, _change: Change) -> ProposeOutcome {
        ProposeOutcome::Unavailable {
            retry_after_millis: 0,
        }
    }

    fn is_reachable(&self) -> bool {
        true
    }
}

#[async_trait]
impl PlanFetcher for NoLog {
    async fn fetch_plan(&self, _plan: &PlanId) -> FetchedPlan {
        FetchedPlan::Unknown
    }
}
