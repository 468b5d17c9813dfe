//! Connections to replicas that say nothing for a second or so and go on.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use croftrill_node::connection::{ConnectionConfig, ConnectionPool};
use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};

/// Time for which the replica accepts no byte.
const SILENCE: Duration = Duration::from_millis(1_700);
/// Body that fills the buffers of both sockets, so that some of it waits for the replica.
const BODY_BYTES: usize = 32 << 20;
/// Receive buffer of the replica.
const RECEIVE_BUFFER_BYTES: u32 = 16 << 10;
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn listen() -> (TcpListener, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .expect("a buffer size");
    socket
        .bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .expect("a free port");
    let listener = socket.listen(8).expect("a listener");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Reads a request after the silence and answers it.
async fn answer_late(mut stream: TcpStream) {
    sleep(SILENCE).await;
    let mut left = BODY_BYTES;
    let mut buffer = vec![0; 64 << 10];
    while left > 0 {
        let read = stream.read(&mut buffer).await.expect("the rest of the request");
        assert_ne!(read, 0, "the connection was closed");
        left = left.saturating_sub(read);
    }
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    stream.write_all(answer).await.expect("a reader");
}

// Guards against a request that is taken for broken, and sent again or failed, as its sound replica
// acknowledges nothing for a second or so.
#[test]
fn request_to_replica_that_is_silent_for_a_while() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (listener, address) = listen();
        spawn_local(async move {
            let (stream, _) = listener.accept().await.expect("a connection");
            answer_late(stream).await;
        });
        let pool = ConnectionPool::new(ConnectionConfig::default());
        let mut connection = pool.dial(address).await.expect("a connection");
        let request = Request::post("/")
            .header("host", "a.example")
            .body(Full::new(Bytes::from(vec![0; BODY_BYTES])))
            .expect("a request");
        let answer = timeout(TEST_TIMEOUT, connection.send(request)).await;
        let answer = answer.expect("an answer in time");
        assert_eq!(answer.expect("an unbroken connection").status(), StatusCode::OK);
    });
}
