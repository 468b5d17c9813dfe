//! Tests of the fault proxy.

use std::time::Duration;

use croftrill_standin::http_server::listen;
use croftrill_standin::proxy::{Fault, Proxy};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};

const SHORT: Duration = Duration::from_millis(100);
const LONG: Duration = Duration::from_secs(10);

/// Starts a proxy in front of an echo server.
async fn echo() -> (std::rc::Rc<Proxy>, std::net::SocketAddr) {
    let (upstream, address) = listen().await.expect("a port");
    spawn_local(async move {
        while let Ok((mut stream, _)) = upstream.accept().await {
            spawn_local(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    let (listener, front) = listen().await.expect("a port");
    (Proxy::start(listener, address), front)
}

async fn echoes_byte(stream: &mut TcpStream, limit: Duration) -> Option<bool> {
    stream.write_all(b"x").await.ok()?;
    let mut byte = [0];
    timeout(limit, stream.read_exact(&mut byte))
        .await
        .ok()
        .map(|read| read.is_ok())
}

#[test]
fn set_fault_on_open_connection() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (proxy, front) = echo().await;
        let mut stream = TcpStream::connect(front).await.expect("a connection");
        assert_eq!(echoes_byte(&mut stream, LONG).await, Some(true));
        proxy.set(Fault::Silence);
        assert_eq!(echoes_byte(&mut stream, SHORT).await, None);
        proxy.set(Fault::None);
        let mut byte = [0];
        timeout(LONG, stream.read_exact(&mut byte))
            .await
            .expect("the byte arrives after the fault")
            .expect("the byte is not lost");
        proxy.set(Fault::NoAnswers);
        assert_eq!(echoes_byte(&mut stream, SHORT).await, None);
        proxy.set(Fault::Reset);
        assert!(
            timeout(LONG, stream.read_to_end(&mut Vec::new())).await.is_ok(),
            "it is closed"
        );
    });
}

#[test]
fn silence_existing_leaves_new_connections_working() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (proxy, front) = echo().await;
        let mut present = TcpStream::connect(front).await.expect("a connection");
        assert_eq!(echoes_byte(&mut present, LONG).await, Some(true));
        proxy.silence_existing();
        let mut new = TcpStream::connect(front).await.expect("a connection");
        assert_eq!(echoes_byte(&mut new, LONG).await, Some(true));
        assert_eq!(echoes_byte(&mut present, SHORT).await, None);
    });
}

/// Guards against a soak that ends because the connection of another process took a proxy's port.
#[test]
fn restart_while_port_is_taken() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (proxy, front) = echo().await;
        let (upstream, address) = listen().await.expect("a port");
        proxy.end();
        let socket = TcpSocket::new_v4().expect("a socket");
        while socket.bind(front).is_err() {
            // The task that listens ends later than it is told to.
            sleep(SHORT / 10).await;
        }
        let connection = socket.connect(address).await.expect("a connection");
        connection.set_zero_linger().expect("an open socket");
        let restarted = proxy.restart(address);
        tokio::pin!(restarted);
        assert!(
            timeout(SHORT, restarted.as_mut()).await.is_err(),
            "the port is taken"
        );
        drop((connection, upstream));
        timeout(LONG, restarted)
            .await
            .expect("in time")
            .expect("the port is free");
    });
}
