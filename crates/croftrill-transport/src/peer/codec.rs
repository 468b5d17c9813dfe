//! Peer calls as length-delimited frames, each behind its checksum.
//!
//! A deadline travels as the time that remains, because the clocks of two
//! machines are never compared.

use super::traffic::PeerTraffic;
use bytes::{Bytes, BytesMut};
use croftrill_protocol::peer::{PeerRequest, PeerResponse};
use croftrill_state::checked_message::{self, MessageError};
use nanoserde::{DeBin, SerBin};
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tarpc::{context, ClientMessage, Request, Response, ServerError};
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Largest frame sent or accepted, in bytes. The largest message is a snapshot
/// of the whole state.
pub const MAX_PEER_FRAME_BYTES: usize = 32 * 1024 * 1024;
/// Length of the field before each frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// Why a connection between peers is given up.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The connection failed, or a frame is larger than the limit.
    #[error("peer connection: {0}")]
    Connection(#[from] io::Error),
    /// A frame holds no message.
    #[error("peer frame cannot be decoded: {0}")]
    Malformed(#[from] MessageError),
    /// `tarpc` asks to send something that this protocol has no message for.
    #[error("peer message of an unknown kind")]
    Unsupported,
}

#[derive(SerBin, DeBin)]
enum WireRequest {
    Call {
        id: u64,
        remaining_millis: u64,
        body: PeerRequest,
    },
    Cancel {
        id: u64,
    },
}

#[derive(SerBin, DeBin)]
// Built once an answer and written at once, never stored: boxing would gain nothing.
#[allow(clippy::large_enum_variant)]
enum WireResponse {
    Answer { id: u64, body: PeerResponse },
    Failed { id: u64, detail: String },
}

fn frames() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_PEER_FRAME_BYTES)
        .new_codec()
}

/// Frames of one connection, counted.
struct CountedFrames {
    frames: LengthDelimitedCodec,
    traffic: Arc<PeerTraffic>,
}

impl CountedFrames {
    fn new(traffic: Arc<PeerTraffic>) -> Self {
        Self {
            frames: frames(),
            traffic,
        }
    }

    fn encode<T: SerBin>(&mut self, message: &T, output: &mut BytesMut) -> Result<(), CodecError> {
        let before = output.len();
        self.frames
            .encode(Bytes::from(checked_message::encode(message)), output)?;
        self.traffic.count_sent(output.len() - before);
        Ok(())
    }

    fn decode<T: DeBin>(&mut self, source: &mut BytesMut) -> Result<Option<T>, CodecError> {
        let Some(frame) = self.frames.decode(source)? else {
            return Ok(None);
        };
        self.traffic.count_received(frame.len() + LENGTH_BYTES);
        Ok(Some(checked_message::decode(&frame)?))
    }
}

/// The calling side.
pub struct ClientCodec {
    frames: CountedFrames,
}

impl ClientCodec {
    /// Counts its frames in `traffic`.
    pub fn counted(traffic: Arc<PeerTraffic>) -> Self {
        Self {
            frames: CountedFrames::new(traffic),
        }
    }
}

impl Default for ClientCodec {
    fn default() -> Self {
        Self::counted(Arc::default())
    }
}

impl Encoder<ClientMessage<PeerRequest>> for ClientCodec {
    type Error = CodecError;

    fn encode(
        &mut self,
        message: ClientMessage<PeerRequest>,
        output: &mut BytesMut,
    ) -> Result<(), CodecError> {
        let wire = match message {
            ClientMessage::Request(request) => WireRequest::Call {
                id: request.id,
                remaining_millis: remaining_millis(request.context.deadline),
                body: request.message,
            },
            ClientMessage::Cancel { request_id, .. } => WireRequest::Cancel { id: request_id },
            _ => return Err(CodecError::Unsupported),
        };
        self.frames.encode(&wire, output)
    }
}

impl Decoder for ClientCodec {
    type Item = Response<PeerResponse>;
    type Error = CodecError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Self::Item>, CodecError> {
        let wire = self.frames.decode(source)?;
        Ok(wire.map(|wire| match wire {
            WireResponse::Answer { id, body } => Response {
                request_id: id,
                message: Ok(body),
            },
            WireResponse::Failed { id, detail } => Response {
                request_id: id,
                message: Err(ServerError::new(io::ErrorKind::Other, detail)),
            },
        }))
    }
}

/// The answering side.
pub struct ServerCodec {
    frames: CountedFrames,
}

impl ServerCodec {
    /// Counts its frames in `traffic`.
    pub fn counted(traffic: Arc<PeerTraffic>) -> Self {
        Self {
            frames: CountedFrames::new(traffic),
        }
    }
}

impl Default for ServerCodec {
    fn default() -> Self {
        Self::counted(Arc::default())
    }
}

impl Encoder<Response<PeerResponse>> for ServerCodec {
    type Error = CodecError;

    fn encode(&mut self, response: Response<PeerResponse>, output: &mut BytesMut) -> Result<(), CodecError> {
        let id = response.request_id;
        let wire = match response.message {
            Ok(body) => WireResponse::Answer { id, body },
            Err(error) => WireResponse::Failed {
                id,
                detail: error.to_string(),
            },
        };
        self.frames.encode(&wire, output)
    }
}

impl Decoder for ServerCodec {
    type Item = ClientMessage<PeerRequest>;
    type Error = CodecError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Self::Item>, CodecError> {
        let wire = self.frames.decode(source)?;
        Ok(wire.map(|wire| match wire {
            WireRequest::Call {
                id,
                remaining_millis,
                body,
            } => ClientMessage::Request(Request {
                context: context_with_deadline(remaining_millis),
                id,
                message: body,
            }),
            WireRequest::Cancel { id } => ClientMessage::Cancel {
                trace_context: tarpc::trace::Context::default(),
                request_id: id,
            },
        }))
    }
}

fn remaining_millis(deadline: Instant) -> u64 {
    deadline.saturating_duration_since(Instant::now()).as_millis() as u64
}

/// Longest remaining time that is believed; `Instant` cannot hold any number.
const LONGEST_CALL: Duration = Duration::from_secs(600);

fn context_with_deadline(remaining_millis: u64) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + Duration::from_millis(remaining_millis).min(LONGEST_CALL);
    context
}
