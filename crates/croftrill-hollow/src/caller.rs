//! A caller of a gateway that asks at a steady rate.

use crate::population;
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior};

/// Ends each whole stream.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// A caller of one gateway.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

/// What became of many requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallOutcome {
    /// Requests sent.
    pub asked: usize,
    /// Answers that came whole.
    pub whole: usize,
}

impl Caller {
    /// A caller of the gateway at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            address,
        }
    }

    /// Asks for a stream of so many tokens; whether it came whole.
    pub async fn complete(&self, tokens: u32) -> bool {
        self.try_complete(tokens).await.unwrap_or(false)
    }

    /// Asks at a rate for a time, whatever the answers take.
    pub async fn call_at_rate(self, tokens: u32, rate: usize, time: Duration) -> CallOutcome {
        let mut ticks = tokio::time::interval(Duration::from_secs(1) / rate as u32);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
        let until = Instant::now() + time;
        let mut calls = JoinSet::new();
        while Instant::now() < until {
            ticks.tick().await;
            let caller = self.clone();
            calls.spawn(async move { caller.complete(tokens).await });
        }
        let asked = calls.len();
        let answers = calls.join_all().await;
        CallOutcome {
            asked,
            whole: answers.into_iter().filter(|whole| *whole).count(),
        }
    }

    async fn try_complete(&self, tokens: u32) -> anyhow::Result<bool> {
        let body = json!({
            "model": population::model_id(0).to_string(),
            "prompt": "Which clauses of the contract name a deadline?",
            "max_tokens": tokens,
            "stream": true,
        });
        let request = Request::post(format!("http://{}/v1/completions", self.address))
            .header("content-type", "application/json")
            .header("x-croftrill-group", population::group_id(0).to_string())
            .body(Full::new(Bytes::from(body.to_string())))?;
        let response = self.client.request(request).await?;
        let mut stream = response.into_body();
        let mut last = Bytes::new();
        while let Some(frame) = stream.frame().await {
            if let Ok(data) = frame?.into_data() {
                last = data;
            }
        }
        Ok(last.ends_with(DONE))
    }
}
