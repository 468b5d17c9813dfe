//! An owner that answers each attempt by a script.

use croftrill_protocol::attempt::{AttemptEvent, AttemptRequest, FinishReason, QueueLoad};
use croftrill_state::outcome::{Execution, Refusal, RefusalCause};
use croftrill_state::AttemptId;
use croftrill_transport::attempt_server::{AttemptHandler, AttemptServer};
use futures::stream::{self, BoxStream};
use futures::StreamExt;
use std::collections::VecDeque;
use std::future::pending;
use std::sync::{Arc, Mutex};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Tokens of the whole answer.
pub const ANSWER_TOKENS: u32 = 10;

/// The whole answer.
pub fn answer_text() -> String {
    text(0, ANSWER_TOKENS)
}

fn text(from: u32, to: u32) -> String {
    (from..to).map(|index| format!("token{index} ")).collect()
}

/// What an owner does with one attempt.
#[derive(Clone, Debug)]
pub enum Script {
    /// Gives the whole answer from where the attempt resumes.
    Serve,
    /// Gives tokens up to this one, then breaks the stream.
    BreakAt(u32),
    /// Breaks the stream before any event.
    BreakAtOnce,
    /// Starts and gives tokens up to this one, then says nothing more.
    HangAt(u32),
    /// Refuses.
    Refuse(Refusal),
    /// Starts, then refuses.
    RefuseAfterStart(Refusal),
    /// Serves, with each event doubled, and with tokens and an end of another
    /// attempt mixed in.
    ServeDisordered,
    /// Skips a token.
    Gap,
    /// Ends before all tokens came.
    ShortEnd,
}

impl Script {
    /// Whether an attempt with this script may have run.
    pub fn may_run(&self) -> bool {
        let (Script::Refuse(refusal) | Script::RefuseAfterStart(refusal)) = self else {
            return true;
        };
        refusal.execution == Execution::MayHaveRun
    }

    pub fn not_run(cause: RefusalCause) -> Self {
        Script::Refuse(Refusal::not_run(cause, 2500))
    }

    pub fn may_have_run(cause: RefusalCause) -> Self {
        Script::Refuse(Refusal::may_have_run(cause, 2500))
    }
}

#[derive(Default)]
struct Shared {
    scripts: Mutex<VecDeque<Script>>,
    played: Mutex<Vec<(AttemptRequest, Script)>>,
    cancelled: Notify,
}

/// An owner on loopback. It serves when its scripts are used up.
pub struct ScriptedOwner {
    pub address: String,
    shared: Arc<Shared>,
}

impl ScriptedOwner {
    pub async fn start(scripts: impl IntoIterator<Item = Script>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let shared = Arc::new(Shared {
            scripts: Mutex::new(scripts.into_iter().collect()),
            ..Shared::default()
        });
        let handler = Arc::new(Handler(shared.clone()));
        tokio::spawn(AttemptServer::serve(listener, handler, CancellationToken::new()));
        Self { address, shared }
    }

    /// Attempts that came so far.
    pub fn seen(&self) -> Vec<AttemptRequest> {
        let played = self.played();
        played.into_iter().map(|(attempt, _)| attempt).collect()
    }

    /// Attempts that came so far, and what was done with each.
    pub fn played(&self) -> Vec<(AttemptRequest, Script)> {
        self.shared.played.lock().unwrap().clone()
    }

    /// Returns when a hanging attempt was cancelled.
    pub async fn cancelled(&self) {
        self.shared.cancelled.notified().await;
    }
}

struct Handler(Arc<Shared>);

impl AttemptHandler for Handler {
    fn handle(&self, request: AttemptRequest) -> BoxStream<'static, AttemptEvent> {
        let script = self.0.scripts.lock().unwrap().pop_front();
        let script = script.unwrap_or(Script::Serve);
        let played = (request.clone(), script.clone());
        self.0.played.lock().unwrap().push(played);
        play(script, &request, self.0.clone())
    }
}

struct NotifyOnDrop(Arc<Shared>);

impl Drop for NotifyOnDrop {
    fn drop(&mut self) {
        self.0.cancelled.notify_one();
    }
}

fn play(script: Script, request: &AttemptRequest, shared: Arc<Shared>) -> BoxStream<'static, AttemptEvent> {
    let attempt = request.attempt;
    let from = request.resume.as_ref().map_or(0, |resume| resume.tokens);
    if let Some(resume) = &request.resume {
        assert_eq!(resume.text, text(0, resume.tokens));
    }
    let mut events = vec![accepted(attempt), AttemptEvent::Started { attempt }];
    match script {
        Script::Serve => {
            events.extend(tokens(attempt, from, ANSWER_TOKENS));
            events.push(finished(attempt, ANSWER_TOKENS));
        }
        Script::BreakAt(at) => events.extend(tokens(attempt, from, at)),
        Script::BreakAtOnce => events.clear(),
        Script::HangAt(at) => {
            events.extend(tokens(attempt, from, at));
            let guard = NotifyOnDrop(shared);
            let hang = stream::once(async move {
                let _guard = guard;
                pending().await
            });
            return stream::iter(events).chain(hang).boxed();
        }
        Script::Refuse(refusal) => events = vec![refused(attempt, refusal)],
        Script::RefuseAfterStart(refusal) => events.push(refused(attempt, refusal)),
        Script::ServeDisordered => {
            let foreign = AttemptId(attempt.0.wrapping_add(1));
            for event in tokens(attempt, from, ANSWER_TOKENS) {
                events.extend(tokens(foreign, from, ANSWER_TOKENS + 5));
                events.extend([event.clone(), event]);
            }
            events.push(finished(foreign, ANSWER_TOKENS));
            events.push(finished(attempt, ANSWER_TOKENS));
        }
        Script::Gap => {
            events.extend(tokens(attempt, from, from + 1));
            events.extend(tokens(attempt, from + 2, ANSWER_TOKENS));
            events.push(finished(attempt, ANSWER_TOKENS));
        }
        Script::ShortEnd => {
            events.extend(tokens(attempt, from, ANSWER_TOKENS - 1));
            events.push(finished(attempt, ANSWER_TOKENS));
        }
    }
    stream::iter(events).boxed()
}

fn accepted(attempt: AttemptId) -> AttemptEvent {
    AttemptEvent::Accepted {
        attempt,
        load: QueueLoad::default(),
    }
}

fn tokens(attempt: AttemptId, from: u32, to: u32) -> Vec<AttemptEvent> {
    (from..to)
        .map(|offset| AttemptEvent::Tokens {
            attempt,
            offset,
            count: 1,
            text: text(offset, offset + 1),
        })
        .collect()
}

fn finished(attempt: AttemptId, tokens: u32) -> AttemptEvent {
    AttemptEvent::Finished {
        attempt,
        tokens,
        prompt_tokens: 3,
        reason: FinishReason::Stop,
        load: QueueLoad::default(),
    }
}

fn refused(attempt: AttemptId, refusal: Refusal) -> AttemptEvent {
    AttemptEvent::Refused {
        attempt,
        refusal,
        load: QueueLoad::default(),
    }
}
