//! Finds the handler of a request.

use crate::responses::{self, ApiResponse};
use crate::{listings, OperatorApi};
use bytes::Bytes;
use croftrill_protocol::operator::IntentRequest;
use croftrill_state::PlanId;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;
use percent_encoding::percent_decode_str;
use std::fmt::Display;

const PLANS: &str = "/v1/plans";
const CONFIRM: &str = "/confirm";

/// A resource of the API.
enum Route {
    Plans,
    Plan(PlanId),
    Confirm(PlanId),
    Status,
    Groups,
    Models,
    Adapters,
}

/// Answers a request.
pub(crate) async fn answer<B>(api: &OperatorApi, request: Request<B>) -> ApiResponse
where
    B: Body,
    B::Error: Display + Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let Some(route) = route(request.uri().path()) else {
        let path = request.uri().path();
        return responses::error(StatusCode::NOT_FOUND, format!("no such resource: {path}"));
    };
    let (expected, allowed) = match &route {
        Route::Plans | Route::Confirm(_) => (Method::POST, "POST"),
        _ => (Method::GET, "GET"),
    };
    if request.method() != expected {
        return responses::method_not_allowed(allowed);
    }
    match route {
        Route::Plans => make_plan(api, request).await,
        Route::Plan(id) => show_plan(api, &id).await,
        Route::Confirm(id) => responses::confirmation(&api.confirm(&id).await),
        Route::Status => responses::json(StatusCode::OK, &listings::status(api)),
        Route::Groups => responses::json(StatusCode::OK, &listings::groups(api)),
        Route::Models => responses::json(StatusCode::OK, &listings::models(api)),
        Route::Adapters => responses::json(StatusCode::OK, &listings::adapters(api)),
    }
}

fn route(path: &str) -> Option<Route> {
    match path {
        PLANS => return Some(Route::Plans),
        "/v1/status" => return Some(Route::Status),
        "/v1/groups" => return Some(Route::Groups),
        "/v1/models/configured" => return Some(Route::Models),
        "/v1/adapters" => return Some(Route::Adapters),
        _ => {}
    }
    let plan = path.strip_prefix(PLANS)?.strip_prefix('/')?;
    match plan.strip_suffix(CONFIRM) {
        Some(plan) => Some(Route::Confirm(plan_id(plan)?)),
        None => Some(Route::Plan(plan_id(plan)?)),
    }
}

/// Decodes a plan's identifier; its slash may also stand as it is.
fn plan_id(encoded: &str) -> Option<PlanId> {
    let decoded = percent_decode_str(encoded).decode_utf8().ok()?;
    let well_formed = decoded.split_once('/').is_some_and(|(node, number)| {
        !node.is_empty() && !number.is_empty() && number.bytes().all(|byte| byte.is_ascii_hexdigit())
    });
    well_formed.then(|| PlanId::new(decoded))
}

async fn make_plan<B>(api: &OperatorApi, request: Request<B>) -> ApiResponse
where
    B: Body,
    B::Error: Display + Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let body = match read_body(request.into_body(), api.config.max_body_bytes).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let request: IntentRequest = match serde_json::from_slice(&body) {
        Ok(request) => request,
        Err(error) => {
            let text = format!("the body is not a list of intents: {error}");
            return responses::error(StatusCode::BAD_REQUEST, text);
        }
    };
    match api.make_plan(&request) {
        Ok(plan) => responses::json(StatusCode::CREATED, &plan),
        Err(refused) => responses::plan_refused(&refused),
    }
}

async fn read_body<B>(body: B, limit: usize) -> Result<Bytes, ApiResponse>
where
    B: Body,
    B::Error: Display + Into<Box<dyn std::error::Error + Send + Sync>>,
{
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            let text = format!("the body is larger than {limit} bytes");
            Err(responses::error(StatusCode::PAYLOAD_TOO_LARGE, text))
        }
        Err(error) => {
            let text = format!("the body cannot be read: {error}");
            Err(responses::error(StatusCode::BAD_REQUEST, text))
        }
    }
}

async fn show_plan(api: &OperatorApi, id: &PlanId) -> ApiResponse {
    match api.find_plan(id).await {
        Ok(Some(plan)) => responses::json(StatusCode::OK, &plan),
        Ok(None) => responses::error(
            StatusCode::NOT_FOUND,
            format!("plan {id} is not known; it may have expired"),
        ),
        Err(unreachable) => responses::error(StatusCode::SERVICE_UNAVAILABLE, unreachable.to_string()),
    }
}
