//! Replicas that serve models, and streams of events.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::http::Request;
use crate::replica::Replica;

/// Writes a stream of events, from the one after `Last-Event-Id` on. Returns whether it was whole.
pub fn write_events(replica: &Arc<Replica>, request: &Request, stream: &mut TcpStream, events: u32, gap: Duration) -> bool {
    let id = request.header("x-croftrill-attempt-id").unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Croftrill-Attempt-Id: {id}\r\n\
         X-Croftrill-Response-Signature: sig.{id}\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    let after = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
    for number in after + 1..=events {
        let event = format!("id: {number}\ndata: piece {number} of {id}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if !replica.is_up() || stream.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
        thread::sleep(gap);
    }
    replica.is_up() && stream.write_all(b"0\r\n\r\n").is_ok()
}

/// The headers of a request for a model.
pub fn model_headers(id: &str, host: &str, model: &str, usage: &str, parts: &str, deadline_ms: u64) -> Vec<(&'static str, String)> {
    vec![
        ("Host", host.to_string()),
        ("X-Croftrill-Attempt-Id", id.to_string()),
        ("X-Croftrill-Model", model.to_string()),
        ("X-Croftrill-Token-Usage", usage.to_string()),
        ("X-Croftrill-Prefix-Hash", parts.to_string()),
        ("X-Croftrill-Deadline-Ms", deadline_ms.to_string()),
        ("Connection", "close".to_string()),
    ]
}

/// The models of a configuration.
pub fn models_text(count: usize, weights_mb: u32, load_s: f64) -> String {
    let model = |number: usize| {
        format!(
            "{{\"name\":\"m{number}\",\"weightsMb\":{weights_mb},\"loadS\":{load_s},\"adapters\":0,\"adapterMb\":12.0,\"warmS\":0.4,\"diskLoadS\":0.84}}"
        )
    };
    (0..count).map(model).collect::<Vec<_>>().join(",")
}
