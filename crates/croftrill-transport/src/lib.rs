//! Connections: `tarpc` between peers, attempts over HTTP/2, and the HTTP
//! server that every HTTP interface of the daemon shares.
//!
//! Nothing here decides anything; it moves the messages of
//! `croftrill-protocol` and says truthfully whether they may have arrived.

pub mod attempt_client;
pub mod attempt_server;
pub mod http_server;
pub mod peer;

mod connection_pool;
mod event_frames;
