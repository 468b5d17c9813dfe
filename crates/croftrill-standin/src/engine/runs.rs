//! Runs of requests: their place in the batch, prefill, tokens, cancellation.

use super::answer::{prompt_tokens, Answer};
use super::{fenced, Engine, RunEnd};
use crate::server::{now_millis, refuse, Body, HandlerResult, Rejection};
use bytes::Bytes;
use croftrill_platform::engine::{EngineEvent, EngineRequest};
use croftrill_platform::wire::engine::RUN_PATH;
use croftrill_state::AttemptId;
use futures::stream;
use http::{header, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Events that may wait for a slow caller.
const EVENT_BUFFER: usize = 64;
/// A comment is sent after such a silence.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The comment.
const KEEP_ALIVE: &[u8] = b": waiting\n\n";
/// Retry hint of a full engine, in milliseconds.
const FULL_RETRY_MILLIS: u64 = 100;

impl Engine {
    /// Accepts a request and answers with its stream, or refuses it.
    pub(super) fn run(self: Arc<Self>, request: EngineRequest) -> HandlerResult {
        let cancel = self.accept(&request)?;
        let (events, receiver) = mpsc::channel(EVENT_BUFFER);
        tokio::spawn(self.clone().carry_out(request, events, cancel));
        Ok(self.event_stream(receiver))
    }

    pub(super) fn cancel(&self, attempt: AttemptId) {
        if let Some(cancel) = self.lock().runs.get(&attempt) {
            cancel.cancel();
        }
    }

    fn accept(&self, request: &EngineRequest) -> Result<CancellationToken, Rejection> {
        let (running, waiting) = self.slots.counts();
        let mut state = self.lock();
        state
            .check_token(request.fencing_token, RUN_PATH)
            .map_err(fenced)?;
        let refusal = if !state.held.is_loaded(&request.model, request.adapter.as_ref()) {
            Some(refuse(
                StatusCode::CONFLICT,
                "the model or adapter is not loaded",
                0,
            ))
        } else if state.known_attempts.contains(&request.attempt) {
            Some(refuse(StatusCode::CONFLICT, "the attempt is known already", 0))
        } else if running >= self.config.max_running && waiting >= self.config.max_waiting {
            Some(refuse(
                StatusCode::TOO_MANY_REQUESTS,
                "the engine is full",
                FULL_RETRY_MILLIS,
            ))
        } else {
            None
        };
        if let Some(refusal) = refusal {
            state.ledger.requests_refused += 1;
            return Err(refusal.into());
        }
        let cancel = CancellationToken::new();
        state.known_attempts.insert(request.attempt);
        state.runs.insert(request.attempt, cancel.clone());
        state.ledger.run_accepted(request);
        Ok(cancel)
    }

    async fn carry_out(
        self: Arc<Self>,
        request: EngineRequest,
        events: mpsc::Sender<EngineEvent>,
        cancel: CancellationToken,
    ) {
        let end = tokio::select! {
            _ = cancel.cancelled() => RunEnd::Cancelled,
            _ = events.closed() => RunEnd::Cancelled,
            end = self.generate(&request, &events) => end,
        };
        let mut state = self.lock();
        // After a crash it is no longer there.
        if state.runs.remove(&request.attempt).is_some() {
            state.ledger.run_ended(request.attempt, end);
        }
    }

    async fn generate(&self, request: &EngineRequest, events: &mpsc::Sender<EngineEvent>) -> RunEnd {
        let _slot = self.slots.acquire(request.priority).await;
        if let Some(run) = self.lock().ledger.open_run(request.attempt) {
            run.started_at_millis = Some(now_millis());
        }
        self.prefill(request).await;
        let mut generation = Generation::new(request);
        if !generation.agrees_with_resume() {
            self.lock().ledger.wrong_resumes += 1;
        }
        let interval = Duration::from_micros(self.config.token_interval_micros);
        let mut next_token_at = Instant::now();
        while let Some(event) = generation.next() {
            next_token_at += interval;
            tokio::time::sleep_until(next_token_at).await;
            self.thawed().await;
            if events.send(event).await.is_err() {
                return RunEnd::Cancelled;
            }
            if self.count_token(request.attempt) {
                self.crash();
                return RunEnd::Crashed;
            }
        }
        let finished = generation.finished(prompt_tokens(&request.prompt));
        match events.send(finished).await {
            Ok(()) => RunEnd::Finished,
            Err(_) => RunEnd::Cancelled,
        }
    }

    async fn prefill(&self, request: &EngineRequest) {
        let tokens = {
            let mut state = self.lock();
            let uncached = 1.0 - state.prefix_cache.look_up(request);
            let prompt = f64::from(prompt_tokens(&request.prompt)) * uncached;
            let tokens = prompt.round() as u32 + request.resume_tokens;
            if let Some(run) = state.ledger.open_run(request.attempt) {
                run.prefill_tokens = tokens;
            }
            tokens
        };
        let seconds = f64::from(tokens) / self.config.prefill_tokens_per_second;
        tokio::time::sleep(Duration::try_from_secs_f64(seconds).unwrap_or_default()).await;
        self.thawed().await;
    }

    /// Records a token; whether the engine must crash now.
    fn count_token(&self, attempt: AttemptId) -> bool {
        let mut state = self.lock();
        if let Some(run) = state.ledger.open_run(attempt) {
            run.tokens += 1;
        }
        let Some(left) = state.faults.crash_after_tokens.as_mut() else {
            return false;
        };
        *left = left.saturating_sub(1);
        *left == 0
    }

    fn event_stream(self: Arc<Self>, receiver: mpsc::Receiver<EngineEvent>) -> Response<Body> {
        let frames = stream::unfold((self, receiver), |(engine, mut receiver)| async move {
            let bytes = match tokio::time::timeout(KEEP_ALIVE_INTERVAL, receiver.recv()).await {
                Ok(event) => encode(&event?),
                Err(_) => {
                    engine.thawed().await;
                    Bytes::from_static(KEEP_ALIVE)
                }
            };
            let frame: Result<_, Infallible> = Ok(Frame::data(bytes));
            Some((frame, (engine, receiver)))
        });
        Response::builder()
            .header(header::CONTENT_TYPE, "text/event-stream")
            .body(StreamBody::new(frames).boxed())
            .unwrap_or_else(|error| refuse(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string(), 0))
    }
}

fn encode(event: &EngineEvent) -> Bytes {
    let json = serde_json::to_string(event).unwrap_or_default();
    format!("data: {json}\n\n").into()
}

/// The tokens of one run, from its resume point on.
struct Generation<'a> {
    request: &'a EngineRequest,
    answer: Answer,
    text: String,
    tokens: u32,
    stopped: bool,
}

impl<'a> Generation<'a> {
    /// Generates anew what an earlier attempt generated, since only that shows
    /// where a stop text began.
    fn new(request: &'a EngineRequest) -> Self {
        let adapter = request.adapter.as_ref();
        let mut generation = Self {
            request,
            answer: Answer::new(&request.model, adapter, &request.prompt, request.seed),
            text: String::new(),
            tokens: 0,
            stopped: false,
        };
        while generation.tokens < request.resume_tokens && generation.next().is_some() {}
        generation
    }

    /// Whether the caller knows the earlier text exactly.
    fn agrees_with_resume(&self) -> bool {
        self.tokens == self.request.resume_tokens && self.text == self.request.resume_text
    }

    fn next(&mut self) -> Option<EngineEvent> {
        let limit = self.request.max_tokens.min(self.answer.natural_tokens());
        if self.stopped || self.tokens >= limit {
            return None;
        }
        let offset = self.tokens;
        let begins_at = self.text.len();
        self.text.push_str(&self.answer.token(offset));
        self.tokens += 1;
        self.apply_stop(begins_at);
        let text = self.text[begins_at..].to_string();
        Some(EngineEvent::Tokens {
            offset,
            count: 1,
            text,
        })
    }

    /// Ends the text before the first stop text. What was streamed before the
    /// present token stays.
    fn apply_stop(&mut self, present_token: usize) {
        let stops = self.request.stop.iter().filter(|stop| !stop.is_empty());
        if let Some(found_at) = stops.filter_map(|stop| self.text.find(stop)).min() {
            self.text.truncate(found_at.max(present_token));
            self.stopped = true;
        }
    }

    fn finished(&self, prompt_tokens: u32) -> EngineEvent {
        EngineEvent::Finished {
            tokens: self.tokens,
            prompt_tokens,
            reached_length: !self.stopped && self.tokens >= self.request.max_tokens,
        }
    }
}
