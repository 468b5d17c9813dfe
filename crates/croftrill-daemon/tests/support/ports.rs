//! Stable addresses for nodes that a test may start again.
//!
//! A port that the system chose (port 0) may be taken by an outgoing connection
//! of any process once the node is down, and the node could not come back on
//! it. These ports lie below the range of outgoing connections.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

const FIRST_PORT: u32 = 12_000;
const PORTS: u32 = 20_000;
/// Test processes start at different ports.
const PROCESS_STRIDE: u32 = 211;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// An address of loopback that is free for TCP and UDP and that no other node of
/// this test process was given.
pub fn stable_address() -> SocketAddr {
    let first = std::process::id().wrapping_mul(PROCESS_STRIDE);
    for _ in 0..PORTS {
        let offset = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % PORTS;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, (FIRST_PORT + offset) as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no port is free");
}
