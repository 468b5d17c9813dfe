//! Event streams (`text/event-stream`): where their events end.
//!
//! A line ends with LF, CR or CRLF, and an empty line ends an event. Source: the HTML standard,
//! "Server-sent events".

use bytes::{Bytes, BytesMut};

/// A byte order mark, which may precede the first line of a stream.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";
/// Start of the line that gives an event's id.
const ID_FIELD: &[u8] = b"id:";
/// Names of the fields of an event.
const FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];
/// Length of the longest of these names.
const MAX_FIELD_BYTES: usize = 5;

/// What the current line holds so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    /// A comment, which belongs to no event.
    Comment,
    Field,
}

/// Finds the ends of events in a stream that arrives in pieces of any size.
#[derive(Debug, Clone, Default)]
pub struct EventScanner {
    line: Line,
    /// Whether the event has a complete line.
    has_line: bool,
    /// Whether the last byte was a CR, so that an LF belongs to the same line end.
    after_cr: bool,
    /// Whether the first line was reached, before which there may be a byte order mark.
    after_mark: bool,
    /// Bytes of the byte order mark so far.
    mark_bytes: usize,
    /// Bytes after the last complete event.
    partial_bytes: u64,
    /// Number of complete events.
    events: u64,
    /// Bytes since the last of them ended, comments included.
    bytes_since_event: u64,
    /// Start of the current line, of at most one byte more than the longest name of a field.
    line_start: Vec<u8>,
    /// Whether a line has begun with the name of a field.
    has_field: bool,
}

impl EventScanner {
    /// Takes the next bytes of the stream. Returns how many of them are not part of an event that
    /// is still incomplete.
    pub fn push(&mut self, bytes: &[u8]) -> usize {
        let mut complete_bytes = 0;
        for (index, &byte) in bytes.iter().enumerate() {
            let events = self.events;
            self.push_byte(byte);
            self.bytes_since_event = if self.events > events {
                0
            } else {
                self.bytes_since_event + 1
            };
            self.partial_bytes += 1;
            if self.is_between_events() {
                complete_bytes = index + 1;
                self.partial_bytes = 0;
            }
        }
        complete_bytes
    }

    /// Returns the number of bytes after the last complete event; 0 between two events.
    pub fn partial_bytes(&self) -> u64 {
        self.partial_bytes
    }

    /// Returns the number of bytes since the last event ended, comments included.
    pub fn bytes_since_event(&self) -> u64 {
        self.bytes_since_event
    }

    /// Returns whether a line has begun with the name of an event's field.
    pub fn has_field(&self) -> bool {
        self.has_field
    }

    /// Returns the number of complete events so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    fn is_between_events(&self) -> bool {
        let is_inside_mark = !self.after_mark && (1..BYTE_ORDER_MARK.len()).contains(&self.mark_bytes);
        self.line == Line::Empty && !self.has_line && !is_inside_mark
    }

    fn push_byte(&mut self, byte: u8) {
        if !self.after_mark && self.push_mark(byte) {
            return;
        }
        let follows_cr = std::mem::replace(&mut self.after_cr, byte == b'\r');
        self.push_name(byte);
        match (byte, self.line) {
            (b'\n', _) if follows_cr => {}
            (b'\n' | b'\r', _) => self.end_line(),
            (b':', Line::Empty) => self.line = Line::Comment,
            (_, Line::Empty) => self.line = Line::Field,
            _ => {}
        }
    }

    /// Returns whether a byte at the start of the stream is part of a byte order mark.
    fn push_mark(&mut self, byte: u8) -> bool {
        if BYTE_ORDER_MARK.get(self.mark_bytes) == Some(&byte) {
            self.mark_bytes += 1;
            return true;
        }
        self.after_mark = true;
        if (1..BYTE_ORDER_MARK.len()).contains(&self.mark_bytes) {
            // The bytes were the start of a field's name.
            self.line = Line::Field;
        }
        false
    }

    /// Takes a byte of the current line as one of the name of its field.
    fn push_name(&mut self, byte: u8) {
        match byte {
            b':' | b'\n' | b'\r' if FIELDS.contains(&self.line_start.as_slice()) => self.has_field = true,
            _ => {}
        }
        match byte {
            b'\n' | b'\r' => self.line_start.clear(),
            _ if self.line_start.len() <= MAX_FIELD_BYTES => self.line_start.push(byte),
            _ => {}
        }
    }

    fn end_line(&mut self) {
        match std::mem::take(&mut self.line) {
            Line::Field => self.has_line = true,
            Line::Comment => {}
            Line::Empty => {
                self.events += u64::from(self.has_line);
                self.has_line = false;
            }
        }
    }
}

/// Splits a stream into complete events and records the id of the last one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    scanner: EventScanner,
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Returns a splitter for the start of a stream, or for what follows the event `last_id`.
    pub fn after(last_id: Option<String>) -> Self {
        EventSplitter {
            last_id,
            ..EventSplitter::default()
        }
    }

    /// Adds bytes of the stream. Returns the events that are now complete, with the comments and
    /// empty lines between them.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let (complete, partial) = bytes.split_at(self.scanner.push(bytes));
        if complete.is_empty() {
            self.partial.extend_from_slice(partial);
            return None;
        }
        self.partial.extend_from_slice(complete);
        let complete = self.partial.split().freeze();
        self.partial.extend_from_slice(partial);
        if let Some(id) = last_event_id(&complete) {
            self.last_id = Some(id);
        }
        Some(complete)
    }

    /// Adds bytes of a body that holds no events. They are whole only with its end.
    pub fn hold(&mut self, bytes: &[u8]) {
        self.partial.extend_from_slice(bytes);
    }

    /// Returns the number of bytes that are held back.
    pub fn held_bytes(&self) -> u64 {
        self.partial.len() as u64
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Discards the partial event of a stream that was cut off. Another stream follows.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
        self.scanner = EventScanner::default();
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn take_remaining(&mut self) -> Bytes {
        self.partial.split().freeze()
    }
}

fn last_event_id(events: &[u8]) -> Option<String> {
    let events = events.strip_prefix(BYTE_ORDER_MARK).unwrap_or(events);
    let id = events
        .rsplit(|byte| matches!(byte, b'\n' | b'\r'))
        .find_map(|line| line.strip_prefix(ID_FIELD))?;
    let id = std::str::from_utf8(id).ok()?;
    Some(id.trim().to_string())
}
