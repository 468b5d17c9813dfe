//! Frames of attempt events: a 4-byte big-endian length and one encoded event
//! behind its checksum.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use croftrill_protocol::attempt::AttemptEvent;
use croftrill_state::checked_message::{self, MessageError};
use thiserror::Error;

/// Largest event accepted, in bytes.
pub(crate) const MAX_EVENT_BYTES: usize = 1024 * 1024;

const LENGTH_BYTES: usize = 4;

/// Why bytes are not a frame.
#[derive(Debug, Error)]
pub(crate) enum FrameError {
    /// The frame is larger than the limit.
    #[error("an event of {0} bytes is larger than the limit")]
    TooLarge(usize),
    /// The frame holds no event.
    #[error("an event cannot be decoded: {0}")]
    Malformed(#[from] MessageError),
}

/// An event as one frame.
pub(crate) fn encode(event: &AttemptEvent) -> Bytes {
    let body = checked_message::encode(event);
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    frame.put_u32(body.len() as u32);
    frame.put_slice(&body);
    frame.freeze()
}

/// Takes the first whole event off the buffer, if there is one.
pub(crate) fn decode(buffer: &mut BytesMut) -> Result<Option<AttemptEvent>, FrameError> {
    if buffer.len() < LENGTH_BYTES {
        return Ok(None);
    }
    let mut length_bytes = &buffer[..LENGTH_BYTES];
    let length = length_bytes.get_u32() as usize;
    if length > MAX_EVENT_BYTES {
        return Err(FrameError::TooLarge(length));
    }
    if buffer.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buffer.advance(LENGTH_BYTES);
    let body = buffer.split_to(length);
    Ok(Some(checked_message::decode(&body)?))
}
