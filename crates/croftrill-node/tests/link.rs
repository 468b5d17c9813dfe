//! Links between nodes over connections that are slow, or silent without a reset.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use croftrill_node::link::PeerLink;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Silence limit of the links in these tests.
const LIMIT: Duration = Duration::from_millis(800);

fn run<F: std::future::Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(test);
}

/// Returns a link and the other end of its connection.
async fn link_and_peer() -> (PeerLink, TcpStream) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let link = PeerLink::connect(address, LIMIT).await.expect("a link");
    let (peer, _) = listener.accept().await.expect("its connection");
    (link, peer)
}

/// Over a slow connection a large message takes longer than the silence limit. When the limit
/// applied to whole messages, the link ended, reconnected and sent the message from its start.
#[test]
fn next_or_timeout_of_a_slow_message_waits() {
    run(async {
        let (mut link, mut peer) = link_and_peer().await;
        let message = vec![7; 64 * 1024];
        let sent = async {
            let length = message.len() as u32;
            peer.write_all(&length.to_be_bytes()).await.expect("sent");
            for piece in message.chunks(4 * 1024) {
                sleep(LIMIT / 8).await;
                peer.write_all(piece).await.expect("sent");
            }
        };
        let (received, ()) = tokio::join!(link.next_or_timeout(), sent);
        let received = received.expect("no silence").expect("a message");
        assert_eq!(received.len(), message.len());
    });
}

#[test]
fn next_or_timeout_of_a_message_that_stops_midway_times_out() {
    run(async {
        let (mut link, mut peer) = link_and_peer().await;
        peer.write_all(&1000u32.to_be_bytes()).await.expect("sent");
        peer.write_all(&[7; 10]).await.expect("sent");
        let received = link
            .next_or_timeout()
            .await
            .map(|_| ())
            .map_err(|error| error.kind());
        assert_eq!(received, Err(io::ErrorKind::TimedOut));
    });
}

/// A peer that reads nothing blocked the sender for as long as the connection was open, and with
/// it all later messages to this peer.
#[test]
fn send_to_a_peer_that_reads_nothing_times_out() {
    run(async {
        let (mut link, _peer) = link_and_peer().await;
        let message = Bytes::from(vec![7; 1024 * 1024]);
        let mut ended = None;
        for _ in 0..64 {
            if let Err(error) = link.send(message.clone()).await {
                ended = Some(error.kind());
                break;
            }
        }
        assert_eq!(ended, Some(io::ErrorKind::TimedOut));
    });
}
