//! Room for large messages of other nodes while they arrive, and the codec that tells how large they are.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use bytes::{Bytes, BytesMut};
use croftrill_scheduler::memory_account::SMALL_BYTES;
use croftrill_scheduler::process_limits::MAX_MESSAGE_BYTES;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::memory::{HeldMemory, Memory, TooMuch};

/// Size of the length in front of a message, in bytes.
const LENGTH_BYTES: usize = 4;

type Wait = Pin<Box<dyn Future<Output = Result<HeldMemory, TooMuch>>>>;

/// The memory of a message that arrives on one link, if it is large.
pub(crate) struct MessageRoom {
    memory: Memory,
    /// Size of the message for which room is missing.
    needed_bytes: Cell<Option<u64>>,
    wait: RefCell<Option<Wait>>,
    held: RefCell<Option<HeldMemory>>,
}

impl MessageRoom {
    /// Returns the room of a link that shares this account.
    pub(crate) fn new(memory: Memory) -> Rc<Self> {
        Rc::new(MessageRoom {
            memory,
            needed_bytes: Cell::new(None),
            wait: RefCell::default(),
            held: RefCell::default(),
        })
    }

    /// Polls whether the link may read further.
    ///
    /// Errors: others need the room of the message, as it does not arrive.
    pub(crate) fn poll_room(&self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if let Some(bytes) = self.needed_bytes.get() {
            let held = ready!(self.poll_wait(bytes, context)).map_err(io::Error::other)?;
            self.needed_bytes.set(None);
            self.held.replace(Some(held));
        }
        let held = self.held.borrow();
        let eviction = held.as_ref().map(HeldMemory::eviction);
        if eviction.is_some_and(|eviction| eviction.poll_requested(context).is_ready()) {
            let reason = "others need the memory of a message that does not arrive";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, reason)));
        }
        Poll::Ready(Ok(()))
    }

    fn poll_wait(&self, bytes: u64, context: &mut Context<'_>) -> Poll<Result<HeldMemory, TooMuch>> {
        let mut wait = self.wait.borrow_mut();
        let pending = wait.get_or_insert_with(|| {
            let memory = self.memory.clone();
            Box::pin(async move {
                let held = memory.hold("message");
                held.grow(bytes).await?;
                Ok(held)
            })
        });
        let granted = ready!(pending.as_mut().poll(context));
        *wait = None;
        Poll::Ready(granted)
    }

    /// Records that bytes of a message arrived.
    pub(crate) fn record_read(&self, bytes: usize) {
        if let Some(held) = &*self.held.borrow() {
            held.record_moved(bytes);
        }
    }

    fn release(&self) {
        self.needed_bytes.set(None);
        self.held.replace(None);
    }
}

/// Frames messages by their length. If it has a room, that learns of each large message before its bytes
/// are read.
pub(crate) struct MessageCodec {
    codec: LengthDelimitedCodec,
    room: Option<Rc<MessageRoom>>,
    /// Whether the length of the current message has arrived.
    is_inside: bool,
}

impl MessageCodec {
    pub(crate) fn new(room: Option<Rc<MessageRoom>>) -> Self {
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_MESSAGE_BYTES)
            .new_codec();
        MessageCodec {
            codec,
            room,
            is_inside: false,
        }
    }

    fn read_length(&mut self, source: &BytesMut, room: &MessageRoom) {
        let length = source.first_chunk::<LENGTH_BYTES>();
        let Some(length) = length.filter(|_| !self.is_inside) else {
            return;
        };
        self.is_inside = true;
        let bytes = u64::from(u32::from_be_bytes(*length));
        if bytes > SMALL_BYTES {
            room.needed_bytes.set(Some(bytes));
        }
    }
}

impl Decoder for MessageCodec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, source: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        let Some(room) = self.room.clone() else {
            return self.codec.decode(source);
        };
        self.read_length(source, &room);
        let message = self.codec.decode(source)?;
        if message.is_some() {
            self.is_inside = false;
            room.release();
        }
        Ok(message)
    }
}

impl Encoder<Bytes> for MessageCodec {
    type Error = io::Error;

    fn encode(&mut self, message: Bytes, target: &mut BytesMut) -> io::Result<()> {
        self.codec.encode(message, target)
    }
}
