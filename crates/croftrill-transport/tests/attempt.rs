//! Attempts over loopback.

use bytes::Bytes;
use croftrill_protocol::attempt::{
    AttemptEvent, AttemptRequest, FinishReason, Generation, QueueLoad, ATTEMPT_PATH, MAX_ATTEMPT_BYTES,
};
use croftrill_state::cluster::Target;
use croftrill_state::configuration::PriorityClass;
use croftrill_state::{AttemptId, EngineId, FencingToken, GroupId, ModelId, RequestId, Revision};
use croftrill_transport::attempt_client::{AttemptClientConfig, AttemptClients, AttemptError};
use croftrill_transport::attempt_server::{AttemptHandler, AttemptServer};
use croftrill_transport::http_server::HttpServerConfig;
use futures::stream::{self, BoxStream};
use futures::StreamExt;
use http::StatusCode;
use http_body_util::Full;
use hyper_util::rt::{TokioExecutor, TokioIo};
use std::future::pending;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Events of a stream that is larger than its window.
const MUCH_EVENTS: usize = 50;

#[derive(Default)]
struct Signals {
    release: Notify,
    dropped: Notify,
}

struct NotifyOnDrop(Arc<Signals>);

impl Drop for NotifyOnDrop {
    fn drop(&mut self) {
        self.0.dropped.notify_one();
    }
}

/// What the owner of a test does, by the prompt.
struct TestOwner {
    signals: Arc<Signals>,
}

impl AttemptHandler for TestOwner {
    fn handle(&self, request: AttemptRequest) -> BoxStream<'static, AttemptEvent> {
        let signals = self.signals.clone();
        let attempt = request.attempt;
        match request.generation.prompt.as_str() {
            "echo" => stream::iter([started(attempt), tokens(attempt), finished(attempt)]).boxed(),
            "end early" => stream::iter([started(attempt)]).boxed(),
            "more after the end" => stream::iter([finished(attempt), tokens(attempt)]).boxed(),
            "hang" => {
                let guard = NotifyOnDrop(signals);
                stream::iter([started(attempt)])
                    .chain(stream::once(async move {
                        let _guard = guard;
                        pending().await
                    }))
                    .boxed()
            }
            "wait" => stream::iter([started(attempt)])
                .chain(stream::once(async move {
                    signals.release.notified().await;
                    finished(attempt)
                }))
                .boxed(),
            "oversize event" => stream::iter([AttemptEvent::Tokens {
                attempt,
                offset: 0,
                count: 1,
                text: "x".repeat(2 * 1024 * 1024),
            }])
            .boxed(),
            "much" => stream::iter((0..MUCH_EVENTS).map(move |_| long_tokens(attempt)))
                .chain(stream::iter([finished(attempt)]))
                .boxed(),
            other => panic!("no such prompt: {other}"),
        }
    }
}

fn started(attempt: AttemptId) -> AttemptEvent {
    AttemptEvent::Started { attempt }
}

fn tokens(attempt: AttemptId) -> AttemptEvent {
    AttemptEvent::Tokens {
        attempt,
        offset: 0,
        count: 1,
        text: "word ".to_string(),
    }
}

fn long_tokens(attempt: AttemptId) -> AttemptEvent {
    AttemptEvent::Tokens {
        attempt,
        offset: 0,
        count: 1,
        text: "x".repeat(4096),
    }
}

fn finished(attempt: AttemptId) -> AttemptEvent {
    AttemptEvent::Finished {
        attempt,
        tokens: 1,
        prompt_tokens: 1,
        reason: FinishReason::Stop,
        load: QueueLoad::default(),
    }
}

fn request(prompt: &str) -> AttemptRequest {
    AttemptRequest {
        request: RequestId(1),
        attempt: AttemptId(7),
        target: Target {
            model: ModelId::from("model"),
            adapter: None,
        },
        engine: EngineId::from("engine"),
        fencing_token: FencingToken(1),
        revision: Revision(1),
        group: GroupId::from("group"),
        priority: PriorityClass::Standard,
        first_token_deadline_millis: 1000,
        total_deadline_millis: 1000,
        unrepeatable: None,
        resume: None,
        generation: Generation {
            prompt: prompt.to_string(),
            ..Generation::default()
        },
    }
}

struct Server {
    address: String,
    signals: Arc<Signals>,
    shutdown: CancellationToken,
    task: JoinHandle<()>,
}

async fn start_server() -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let signals = Arc::new(Signals::default());
    let owner = Arc::new(TestOwner {
        signals: signals.clone(),
    });
    let shutdown = CancellationToken::new();
    let config = HttpServerConfig {
        ping_interval: Duration::from_millis(200),
        ping_timeout: Duration::from_millis(400),
        ..HttpServerConfig::default()
    };
    let task = tokio::spawn(AttemptServer::serve_with(
        listener,
        owner,
        config,
        shutdown.clone(),
    ));
    Server {
        address,
        signals,
        shutdown,
        task,
    }
}

fn clients() -> AttemptClients {
    AttemptClients::new(AttemptClientConfig::default())
}

fn is_broken(item: &Result<AttemptEvent, AttemptError>) -> bool {
    matches!(item, Err(AttemptError::Broken(_)))
}

#[tokio::test]
async fn events_arrive_whole_and_in_order() {
    let server = start_server().await;
    let stream = clients().start(&server.address, &request("echo")).await.unwrap();
    let events: Vec<_> = stream.map(Result::unwrap).collect().await;
    let attempt = AttemptId(7);
    assert_eq!(events, [started(attempt), tokens(attempt), finished(attempt)]);
}

#[tokio::test]
async fn nothing_follows_the_last_event() {
    let server = start_server().await;
    let stream = clients()
        .start(&server.address, &request("more after the end"))
        .await
        .unwrap();
    let events: Vec<_> = stream.map(Result::unwrap).collect().await;
    assert_eq!(events, [finished(AttemptId(7))]);
}

#[tokio::test]
async fn a_stream_without_a_last_event_is_broken() {
    let server = start_server().await;
    let stream = clients()
        .start(&server.address, &request("end early"))
        .await
        .unwrap();
    let items: Vec<_> = stream.collect().await;
    assert_eq!(items.len(), 2);
    assert!(is_broken(&items[1]));
}

#[tokio::test]
async fn an_oversize_event_breaks_the_stream() {
    let server = start_server().await;
    let stream = clients()
        .start(&server.address, &request("oversize event"))
        .await
        .unwrap();
    let items: Vec<_> = stream.collect().await;
    assert_eq!(items.len(), 1);
    assert!(is_broken(&items[0]));
}

#[tokio::test]
async fn dropping_the_stream_cancels_the_attempt() {
    let server = start_server().await;
    let mut stream = clients().start(&server.address, &request("hang")).await.unwrap();
    assert_eq!(stream.next().await, Some(Ok(started(AttemptId(7)))));
    drop(stream);
    server.signals.dropped.notified().await;
}

#[tokio::test]
async fn a_refused_connection_is_not_sent() {
    let unused = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = unused.local_addr().unwrap().to_string();
    drop(unused);
    let error = clients().start(&address, &request("echo")).await.err().unwrap();
    assert!(matches!(error, AttemptError::NotSent(_)));
}

#[tokio::test]
async fn an_oversize_request_is_not_sent() {
    let server = start_server().await;
    let prompt = "x".repeat(MAX_ATTEMPT_BYTES + 1);
    let error = clients()
        .start(&server.address, &request(&prompt))
        .await
        .err()
        .unwrap();
    assert!(matches!(error, AttemptError::NotSent(_)));
}

/// Posts a body past the client's own checks.
async fn post_raw(address: &str, body: Vec<u8>) -> Option<StatusCode> {
    let stream = TcpStream::connect(address).await.unwrap();
    let handshake = hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.unwrap();
    tokio::spawn(connection);
    let request = http::Request::post(format!("http://{address}{ATTEMPT_PATH}"))
        .body(Full::new(Bytes::from(body)))
        .unwrap();
    let response = sender.send_request(request).await.ok()?;
    Some(response.status())
}

#[tokio::test]
async fn the_server_refuses_what_is_no_attempt() {
    let server = start_server().await;
    let malformed = post_raw(&server.address, vec![0xff; 3]).await;
    assert_eq!(malformed, Some(StatusCode::BAD_REQUEST));
    let oversize = post_raw(&server.address, vec![0; MAX_ATTEMPT_BYTES + 1]).await;
    assert_eq!(oversize, Some(StatusCode::PAYLOAD_TOO_LARGE));
    let stream = clients().start(&server.address, &request("echo")).await.unwrap();
    assert_eq!(stream.count().await, 3, "the server goes on");
}

#[tokio::test]
async fn shutdown_finishes_streams_that_run() {
    let server = start_server().await;
    let clients = clients();
    let mut stream = clients.start(&server.address, &request("wait")).await.unwrap();
    assert_eq!(stream.next().await, Some(Ok(started(AttemptId(7)))));
    server.shutdown.cancel();
    server.signals.release.notify_one();
    assert_eq!(stream.next().await, Some(Ok(finished(AttemptId(7)))));
    drop(stream);
    server.task.await.unwrap();
    let error = clients
        .start(&server.address, &request("echo"))
        .await
        .err()
        .unwrap();
    assert!(matches!(error, AttemptError::NotSent(_)));
}

/// A planned stop must not leave new attempts in doubt.
#[tokio::test]
async fn during_shutdown_a_new_attempt_is_served_or_not_sent() {
    let server = start_server().await;
    let clients = clients();
    let mut running = clients.start(&server.address, &request("wait")).await.unwrap();
    assert_eq!(running.next().await, Some(Ok(started(AttemptId(7)))));
    server.shutdown.cancel();
    let error = loop {
        match clients.start(&server.address, &request("echo")).await {
            Ok(stream) => {
                let items: Vec<_> = stream.collect().await;
                assert_eq!(items.last(), Some(&Ok(finished(AttemptId(7)))));
            }
            Err(error) => break error,
        }
    };
    assert!(matches!(error, AttemptError::NotSent(_)), "{error}");
    server.signals.release.notify_one();
    assert_eq!(running.next().await, Some(Ok(finished(AttemptId(7)))));
    server.task.await.unwrap();
}

#[tokio::test]
async fn slow_streams_do_not_stop_the_others_of_the_connection() {
    let server = start_server().await;
    let clients = clients();
    let mut unread = Vec::new();
    for _ in 0..150 {
        unread.push(clients.start(&server.address, &request("much")).await.unwrap());
    }
    let stream = clients.start(&server.address, &request("echo")).await.unwrap();
    assert_eq!(stream.count().await, 3);
    for stream in unread {
        assert_eq!(stream.count().await, MUCH_EVENTS + 1);
    }
}

/// Forwards one connection until the token is cancelled; then it goes silent
/// without closing, like a machine that lost its network.
async fn half_open_proxy(target: String, silent: CancellationToken) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let (mut inward, _) = listener.accept().await.unwrap();
        let mut outward = TcpStream::connect(target).await.unwrap();
        tokio::select! {
            () = silent.cancelled() => pending::<()>().await,
            _ = copy_bidirectional(&mut inward, &mut outward) => {}
        }
    });
    address
}

#[tokio::test]
async fn a_half_open_connection_is_noticed_at_both_ends() {
    let server = start_server().await;
    let silent = CancellationToken::new();
    let address = half_open_proxy(server.address.clone(), silent.clone()).await;
    let clients = AttemptClients::new(AttemptClientConfig {
        ping_interval: Duration::from_millis(50),
        ping_timeout: Duration::from_millis(100),
        ..AttemptClientConfig::default()
    });
    let mut stream = clients.start(&address, &request("hang")).await.unwrap();
    assert_eq!(stream.next().await, Some(Ok(started(AttemptId(7)))));
    silent.cancel();
    assert!(is_broken(&stream.next().await.unwrap()));
    server.signals.dropped.notified().await;
}
