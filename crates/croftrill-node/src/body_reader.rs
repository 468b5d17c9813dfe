//! Reads the bodies of requests, within the limits of callers and the memory of the node.

use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::memory_account::SMALL_BYTES;
use http::StatusCode;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{sleep, timeout};

use crate::memory::{HeldMemory, Memory, FREE_BYTES};

/// Limits of one body.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BodyLimits {
    /// Maximum size, in bytes.
    pub(crate) max_bytes: u64,
    /// Maximum time without a byte.
    pub(crate) max_pause: Duration,
    /// Maximum time that it waits for room.
    pub(crate) max_wait: Duration,
}

/// Why a body was not read to its end. The request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It is larger than a body may be.
    #[error("the body is too large")]
    TooLarge,
    /// Its connection failed, or it is not well formed.
    #[error("the body cannot be read")]
    Broken,
    /// It did not arrive in time.
    #[error("the body does not arrive")]
    Stalled,
    /// It did not arrive, and others needed its memory.
    #[error("other callers need the memory of a body that does not arrive")]
    GaveWay,
    /// Others hold the memory that it needs.
    #[error("no memory for the body")]
    NoRoom,
}

impl BodyError {
    /// Returns the status of the answer.
    pub fn status(self) -> StatusCode {
        match self {
            BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::Broken => StatusCode::BAD_REQUEST,
            BodyError::Stalled | BodyError::GaveWay => StatusCode::REQUEST_TIMEOUT,
            BodyError::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            BodyError::TooLarge => "too large",
            BodyError::Broken => "broken",
            BodyError::Stalled => "stalled",
            BodyError::GaveWay => "gave way",
            BodyError::NoRoom => "no room",
        }
    }
}

/// A whole body, and the memory that it holds.
pub struct HeldBody {
    /// The body.
    pub bytes: Bytes,
    /// Absent for a small one.
    _held: Option<HeldMemory>,
}

/// Reads a body to its end.
///
/// Its bytes are copied out of the buffers into which they were read, so that small chunks keep no more
/// memory than they hold.
pub(crate) async fn read(
    mut body: Incoming,
    limits: BodyLimits,
    memory: &Memory,
) -> Result<HeldBody, BodyError> {
    let max_bytes = limits.max_bytes.min(memory.max_holder_bytes());
    let announced = body.size_hint().exact();
    if announced.is_some_and(|announced| announced > max_bytes) {
        return Err(BodyError::TooLarge);
    }
    let mut received: Vec<u8> = Vec::new();
    let mut allowed = FREE_BYTES;
    let mut held: Option<HeldMemory> = None;
    while let Some(bytes) = next_bytes(&mut body, &limits, held.as_ref()).await? {
        let size = (received.len() + bytes.len()) as u64;
        if size > max_bytes {
            return Err(BodyError::TooLarge);
        }
        if size > allowed {
            allowed = allowance(size, announced, max_bytes);
            let held = held.get_or_insert_with(|| memory.hold("body"));
            let grown = timeout(limits.max_wait, held.grow(allowed)).await;
            grown
                .map_err(|_| BodyError::NoRoom)?
                .map_err(|_| BodyError::TooLarge)?;
        }
        if received.capacity() < size as usize {
            let capacity = announced.map_or(allowed, |announced| announced.min(allowed));
            received.reserve_exact(capacity as usize - received.len());
        }
        received.extend_from_slice(&bytes);
        if let Some(held) = &held {
            held.record_moved(bytes.len());
        }
    }
    if let Some(held) = &held {
        held.set_waits_for_caller(false);
        held.shrink(received.len() as u64);
    }
    let bytes = Bytes::from(received);
    Ok(HeldBody { bytes, _held: held })
}

/// Returns the next bytes of a body, or `None` at its end.
async fn next_bytes(
    body: &mut Incoming,
    limits: &BodyLimits,
    held: Option<&HeldMemory>,
) -> Result<Option<Bytes>, BodyError> {
    let evicted = async {
        match held {
            Some(held) => held.eviction().requested().await,
            None => std::future::pending().await,
        }
    };
    let stalled = sleep(limits.max_pause);
    tokio::pin!(evicted, stalled);
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = &mut evicted => return Err(BodyError::GaveWay),
            () = &mut stalled => return Err(BodyError::Stalled),
        };
        match frame {
            None => return Ok(None),
            Some(Err(_)) => return Err(BodyError::Broken),
            // A trailer holds nothing that is passed on.
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    return Ok(Some(bytes));
                }
            }
        }
    }
}

/// Returns the room that a body of `size` bytes so far asks for. A large one asks for all that it may come
/// to hold.
fn allowance(size: u64, announced: Option<u64>, max_bytes: u64) -> u64 {
    if size <= SMALL_BYTES {
        let step = size.next_power_of_two();
        return announced
            .map_or(step, |announced| announced.min(SMALL_BYTES))
            .max(size);
    }
    announced.unwrap_or(max_bytes)
}
