//! Calls between nodes: `tarpc` over TCP in `nanoserde` binary frames.

mod clients;
mod codec;
mod server;
mod traffic;

pub use clients::{call_context, PeerClients, PeerClientsConfig, PeerError};
pub use codec::{ClientCodec, CodecError, ServerCodec, MAX_PEER_FRAME_BYTES};
pub use server::PeerServer;
pub use traffic::{PeerTraffic, PeerTrafficCounts};
