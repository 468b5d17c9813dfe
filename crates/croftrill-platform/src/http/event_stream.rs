//! Reads an engine's server-sent events.

use crate::engine::{EngineError, EngineEvent, EngineStream};
use bytes::{Bytes, BytesMut};
use futures::{stream, StreamExt};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::time::Duration;

/// Ends each event.
const EVENT_END: &[u8] = b"\n\n";
/// Begins a line that carries data.
const DATA_PREFIX: &[u8] = b"data:";
/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 8 * 1024 * 1024;

/// The events of one run. After `Finished` or an error the stream ends; if the
/// body ends before, the last item is `Broken`.
pub(super) fn engine_events(body: Incoming, idle_timeout: Duration) -> EngineStream {
    let reader = EventReader {
        body,
        buffer: BytesMut::new(),
        idle_timeout,
        ended: false,
    };
    stream::unfold(reader, |mut reader| async move {
        if reader.ended {
            return None;
        }
        let item = reader.next_event().await;
        reader.ended = !matches!(item, Ok(EngineEvent::Tokens { .. }));
        Some((item, reader))
    })
    .boxed()
}

struct EventReader {
    body: Incoming,
    buffer: BytesMut,
    idle_timeout: Duration,
    ended: bool,
}

impl EventReader {
    async fn next_event(&mut self) -> Result<EngineEvent, EngineError> {
        loop {
            while let Some(event) = self.take_buffered() {
                // Comments have no data; they only show that the engine lives.
                if let Some(data) = data_of(&event) {
                    return decode(data);
                }
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(EngineError::Broken("an event is too large".to_string()));
            }
            let bytes = self.read().await?;
            self.buffer.extend_from_slice(&bytes);
        }
    }

    fn take_buffered(&mut self) -> Option<BytesMut> {
        let end = self
            .buffer
            .windows(EVENT_END.len())
            .position(|window| window == EVENT_END)?;
        Some(self.buffer.split_to(end + EVENT_END.len()))
    }

    async fn read(&mut self) -> Result<Bytes, EngineError> {
        match tokio::time::timeout(self.idle_timeout, self.body.frame()).await {
            Err(_) => Err(EngineError::Broken("the stream is silent".to_string())),
            Ok(None) => Err(EngineError::Broken("the stream ended early".to_string())),
            Ok(Some(Err(error))) => Err(EngineError::Broken(error.to_string())),
            Ok(Some(Ok(frame))) => Ok(frame.into_data().unwrap_or_default()),
        }
    }
}

fn data_of(event: &[u8]) -> Option<&[u8]> {
    let mut lines = event.split(|byte| *byte == b'\n');
    lines.find_map(|line| line.strip_prefix(DATA_PREFIX))
}

fn decode(data: &[u8]) -> Result<EngineEvent, EngineError> {
    serde_json::from_slice(data).map_err(|error| EngineError::Broken(error.to_string()))
}
