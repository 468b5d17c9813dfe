//! Peer calls over loopback.

use croftrill_protocol::peer::{
    ClaimHandOver, ClaimOutcome, ClaimRequest, ClaimResult, FinishOutcome, HandOverOutcome, LoadPermit,
    LoadPermitRequest, LoadReport, LogPage, Peer, ReportOutcome,
};
use croftrill_state::{AttemptId, EngineId, IdempotencyKey, ModelId, PlanId, RequestId, Revision};
use croftrill_transport::peer::{
    call_context, PeerClients, PeerClientsConfig, PeerError, PeerServer, MAX_PEER_FRAME_BYTES,
};
use std::future::pending;
use std::sync::Arc;
use std::time::Duration;
use tarpc::context::Context;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

const CALL_LIMIT: Duration = Duration::from_secs(10);

/// Signals of calls that the test holds back.
#[derive(Default)]
struct Signals {
    entered: Notify,
    release: Notify,
    dropped: Notify,
}

struct NotifyOnDrop(Arc<Signals>);

impl Drop for NotifyOnDrop {
    fn drop(&mut self) {
        self.0.dropped.notify_one();
    }
}

#[derive(Clone, Default)]
struct TestPeer {
    signals: Arc<Signals>,
}

impl Peer for TestPeer {
    async fn fetch_log(self, _: Context, _after: Revision, _limit: u32) -> LogPage {
        LogPage::Entries(Vec::new())
    }

    async fn claim(self, _: Context, request: ClaimRequest) -> ClaimOutcome {
        ClaimOutcome::Taken {
            by: request.request,
            finished: true,
        }
    }

    async fn finish_claim(
        self,
        _: Context,
        _key: IdempotencyKey,
        _request: RequestId,
        _result: ClaimResult,
    ) -> FinishOutcome {
        FinishOutcome::Recorded
    }

    async fn hand_over_claims(self, _: Context, _part: ClaimHandOver) -> HandOverOutcome {
        HandOverOutcome::Recorded
    }

    async fn request_load(self, _: Context, _request: LoadPermitRequest) -> LoadPermit {
        LoadPermit::NotCoordinator
    }

    /// Held back until the test releases it.
    async fn finish_load(self, _: Context, _report: LoadReport) -> ReportOutcome {
        self.signals.entered.notify_one();
        self.signals.release.notified().await;
        ReportOutcome::Recorded
    }

    /// Never answers.
    async fn report_release(
        self,
        _: Context,
        _model: ModelId,
        _engine: EngineId,
        _release: Revision,
    ) -> ReportOutcome {
        let _guard = NotifyOnDrop(self.signals.clone());
        self.signals.entered.notify_one();
        pending().await
    }

    async fn cancel_attempt(self, _: Context, _attempt: AttemptId) -> ReportOutcome {
        ReportOutcome::TryLater
    }

    async fn fetch_plan(self, _: Context, plan: PlanId) -> String {
        plan.0
    }
}

struct Server {
    address: String,
    peer: TestPeer,
    shutdown: CancellationToken,
    task: JoinHandle<()>,
}

async fn start_server() -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let peer = TestPeer::default();
    let shutdown = CancellationToken::new();
    // Spawning it also shows that the future is `Send`.
    let task = tokio::spawn(PeerServer::serve(listener, peer.clone(), shutdown.clone()));
    Server {
        address,
        peer,
        shutdown,
        task,
    }
}

fn load_report() -> LoadReport {
    LoadReport {
        engine: EngineId::from("engine"),
        model: ModelId::from("model"),
        remote_mib: 1,
        duration_millis: 2,
        succeeded: true,
    }
}

#[tokio::test]
async fn calls_share_one_connection_and_keep_their_answers_apart() {
    let server = start_server().await;
    let clients = Arc::new(PeerClients::new(PeerClientsConfig::default()));
    let calls = (0..50).map(|number| {
        let clients = clients.clone();
        let address = server.address.clone();
        tokio::spawn(async move {
            let client = clients.client(&address).await.unwrap();
            let request = ClaimRequest {
                key: IdempotencyKey::from("key"),
                request: RequestId(number),
                revision: Revision(1),
            };
            client.claim(call_context(CALL_LIMIT), request).await.unwrap()
        })
    });
    for (number, answer) in futures::future::join_all(calls).await.into_iter().enumerate() {
        let expected = ClaimOutcome::Taken {
            by: RequestId(number as u64),
            finished: true,
        };
        assert_eq!(answer.unwrap(), expected);
    }
    assert_eq!(clients.connections(), 1);
}

#[tokio::test]
async fn a_call_ends_at_its_deadline() {
    let server = start_server().await;
    let clients = PeerClients::new(PeerClientsConfig::default());
    let client = clients.client(&server.address).await.unwrap();
    let context = call_context(Duration::from_millis(50));
    let answer = client
        .report_release(context, ModelId::from("m"), EngineId::from("e"), Revision(1))
        .await;
    assert!(matches!(answer, Err(tarpc::client::RpcError::DeadlineExceeded)));
}

#[tokio::test]
async fn dropping_a_call_cancels_it_at_the_peer() {
    let server = start_server().await;
    let clients = PeerClients::new(PeerClientsConfig::default());
    let client = clients.client(&server.address).await.unwrap();
    let call = tokio::spawn(async move {
        client
            .report_release(
                call_context(CALL_LIMIT),
                ModelId::from("m"),
                EngineId::from("e"),
                Revision(1),
            )
            .await
    });
    server.peer.signals.entered.notified().await;
    call.abort();
    server.peer.signals.dropped.notified().await;
}

#[tokio::test]
async fn shutdown_finishes_calls_that_run() {
    let server = start_server().await;
    let clients = PeerClients::new(PeerClientsConfig::default());
    let client = clients.client(&server.address).await.unwrap();
    let call = tokio::spawn(async move { client.finish_load(call_context(CALL_LIMIT), load_report()).await });
    server.peer.signals.entered.notified().await;
    server.shutdown.cancel();
    server.peer.signals.release.notify_one();
    assert_eq!(call.await.unwrap().unwrap(), ReportOutcome::Recorded);
    server.task.await.unwrap();
}

#[tokio::test]
async fn a_refused_connection_is_an_error_at_once() {
    let unused = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = unused.local_addr().unwrap().to_string();
    drop(unused);
    let clients = PeerClients::new(PeerClientsConfig::default());
    let error = clients.client(&address).await.err().unwrap();
    assert!(matches!(error, PeerError::Connect { .. }));
}

#[tokio::test]
async fn a_broken_connection_is_replaced() {
    let server = start_server().await;
    let clients = PeerClients::new(PeerClientsConfig::default());
    clients.client(&server.address).await.unwrap();
    server.shutdown.cancel();
    server.task.await.unwrap();

    let listener = TcpListener::bind(&server.address).await.unwrap();
    let again = CancellationToken::new();
    tokio::spawn(PeerServer::serve(listener, TestPeer::default(), again));
    // The client may need a moment to notice that the connection ended.
    let plan = loop {
        let client = clients.client(&server.address).await.unwrap();
        let answer = client
            .fetch_plan(call_context(CALL_LIMIT), PlanId::from("plan"))
            .await;
        if let Ok(plan) = answer {
            break plan;
        }
    };
    assert_eq!(plan, "plan");
}

#[tokio::test(start_paused = true)]
async fn an_idle_connection_is_closed() {
    let server = start_server().await;
    let idle_limit = Duration::from_secs(60);
    let clients = PeerClients::new(PeerClientsConfig {
        idle_limit,
        ..PeerClientsConfig::default()
    });
    drop(clients.client(&server.address).await.unwrap());
    assert_eq!(clients.connections(), 1);
    tokio::time::sleep(idle_limit / 2).await;
    drop(clients.client(&server.address).await.unwrap());
    tokio::time::sleep(idle_limit * 3 / 4).await;
    assert_eq!(clients.connections(), 1, "used within the limit");
    tokio::time::sleep(idle_limit).await;
    assert_eq!(clients.connections(), 0);
}

#[tokio::test]
async fn an_oversize_frame_ends_only_its_own_connection() {
    let server = start_server().await;
    let mut stream = TcpStream::connect(&server.address).await.unwrap();
    let length = (MAX_PEER_FRAME_BYTES as u32) + 1;
    stream.write_all(&length.to_be_bytes()).await.unwrap();
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest).await;
    assert!(rest.is_empty());
    assert_still_serves(&server).await;
}

#[tokio::test]
async fn a_frame_without_a_message_ends_only_its_own_connection() {
    let server = start_server().await;
    let mut stream = TcpStream::connect(&server.address).await.unwrap();
    stream.write_all(&[0, 0, 0, 2, 0xff, 0xff]).await.unwrap();
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest).await;
    assert!(rest.is_empty());
    assert_still_serves(&server).await;
}

async fn assert_still_serves(server: &Server) {
    let clients = PeerClients::new(PeerClientsConfig::default());
    let client = clients.client(&server.address).await.unwrap();
    let plan = client
        .fetch_plan(call_context(CALL_LIMIT), PlanId::from("p"))
        .await;
    assert_eq!(plan.unwrap(), "p");
}
