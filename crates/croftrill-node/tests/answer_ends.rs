//! How an answer's body ended, for any events, line ends, reads, framing, and point and kind of
//! break. Bytes come from memory; an oracle reads them at once, where the node reads them as they come.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use croftrill_node::answer_reader::{AnswerReader, BodyEnd, BodyPart, Content};
use croftrill_node::close_hook::CloseHook;
use croftrill_node::connection::{ConnectionConfig, ConnectionPool};
use croftrill_node::events::EventSplitter;
use http::{Request, Response};
use http_body_util::Full;
use proptest::prelude::*;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

const ADDRESS: &str = "127.0.0.1:1";
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
    Connection,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Break {
    Close,
    Reset,
}

/// An answer as its sender meant it, and what becomes of it.
#[derive(Debug, Clone)]
struct Case {
    body: Vec<u8>,
    framing: Framing,
    /// Sizes of chunks, used again from the first one on.
    chunk_sizes: Vec<usize>,
    /// Part of the encoded body that is sent, in 1/1000; all of it at 1000.
    sent: usize,
    end: Break,
    /// Sizes of reads, used again from the first one on.
    read_sizes: Vec<usize>,
    may_be_empty: bool,
}

fn line_end() -> impl Strategy<Value = &'static str> {
    prop_oneof![Just("\n"), Just("\r"), Just("\r\n")]
}

fn line() -> impl Strategy<Value = String> {
    let text = prop_oneof![
        "id: [0-9]{1,3}",
        "data: [a-zäß:{}\"]{0,12}",
        "data",
        ":[a-z ]{0,6}",
        "x-versions: [0-9]",
        Just(String::new()),
    ];
    (text, line_end()).prop_map(|(text, end)| text + end)
}

/// Any lines, of which the last one may not end, after a byte order mark or none. Short lines and
/// empty ones are as frequent as events.
fn body() -> impl Strategy<Value = Vec<u8>> {
    let lines = prop::collection::vec(line(), 0..14);
    (any::<bool>(), lines, prop::option::of("[a-z:]{1,5}")).prop_map(|(has_mark, lines, last)| {
        let mut body = if has_mark {
            BYTE_ORDER_MARK.to_vec()
        } else {
            Vec::new()
        };
        body.extend_from_slice((lines.concat() + &last.unwrap_or_default()).as_bytes());
        body
    })
}

fn case() -> impl Strategy<Value = Case> {
    let framing = prop_oneof![
        Just(Framing::Length),
        Just(Framing::Chunks),
        Just(Framing::Connection)
    ];
    let sent = prop_oneof![Just(1000_usize), 0..1000_usize];
    let end = prop_oneof![Just(Break::Close), Just(Break::Reset)];
    let sizes = || prop::collection::vec(1..9_usize, 1..6);
    (body(), framing, sizes(), sent, end, sizes(), any::<bool>()).prop_map(
        |(body, framing, chunk_sizes, sent, end, read_sizes, may_be_empty)| Case {
            body,
            framing,
            chunk_sizes,
            sent,
            end,
            read_sizes,
            may_be_empty,
        },
    )
}

/// Splits bytes into parts of these sizes.
fn split(mut bytes: &[u8], sizes: &[usize]) -> Vec<Vec<u8>> {
    let mut parts = Vec::new();
    for size in sizes.iter().cycle() {
        if bytes.is_empty() {
            break;
        }
        let (part, rest) = bytes.split_at(bytes.len().min(*size));
        parts.push(part.to_vec());
        bytes = rest;
    }
    parts
}

impl Case {
    /// Returns the head, the encoded body that is sent, and how many bytes of the body are in it.
    fn encode(&self) -> (String, Vec<u8>, usize) {
        // Each encoded byte with the number of body bytes up to it.
        let mut encoded: Vec<(u8, usize)> = Vec::new();
        let mut count = 0;
        let header = match self.framing {
            Framing::Chunks => {
                for chunk in split(&self.body, &self.chunk_sizes) {
                    encoded.extend(format!("{:x}\r\n", chunk.len()).bytes().map(|byte| (byte, count)));
                    for byte in chunk {
                        count += 1;
                        encoded.push((byte, count));
                    }
                    encoded.extend(b"\r\n".map(|byte| (byte, count)));
                }
                encoded.extend(b"0\r\n\r\n".map(|byte| (byte, count)));
                "transfer-encoding: chunked\r\n".to_string()
            }
            Framing::Length | Framing::Connection => {
                encoded.extend(self.body.iter().zip(1..).map(|(byte, count)| (*byte, count)));
                match self.framing {
                    Framing::Length => format!("content-length: {}\r\n", self.body.len()),
                    _ => String::new(),
                }
            }
        };
        let sent = encoded.len() * self.sent / 1000;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{header}\r\n");
        let received = encoded[..sent].last().map_or(0, |(_, count)| *count);
        let bytes = encoded[..sent].iter().map(|(byte, _)| *byte).collect();
        (head, bytes, received)
    }
}

/// Returns the complete lines of a stream and what follows them.
fn lines(stream: &[u8]) -> (Vec<String>, String) {
    let stream = stream.strip_prefix(BYTE_ORDER_MARK).unwrap_or(stream);
    let text = String::from_utf8_lossy(stream)
        .replace("\r\n", "\n")
        .replace('\r', "\n");
    let mut lines: Vec<String> = text.split('\n').map(str::to_string).collect();
    let last = lines.pop().unwrap_or_default();
    (lines, last)
}

fn is_inside_event(stream: &[u8]) -> bool {
    let (lines, last) = lines(stream);
    let fields = lines.iter().filter(|line| !line.starts_with(':'));
    let is_open = fields.fold(false, |_, line| !line.is_empty());
    is_open || !last.is_empty()
}

fn event_count(stream: &[u8]) -> usize {
    let (lines, _) = lines(stream);
    let fields: Vec<&String> = lines.iter().filter(|line| !line.starts_with(':')).collect();
    fields
        .windows(2)
        .filter(|pair| !pair[0].is_empty() && pair[1].is_empty())
        .count()
}

/// Returns how many bytes lead up to the end of the last complete event, with what lies between events.
fn complete_bytes(stream: &[u8]) -> usize {
    (0..=stream.len())
        .rev()
        .find(|&end| !is_inside_event(&stream[..end]))
        .unwrap_or(0)
}

fn last_id(stream: &[u8]) -> Option<String> {
    let (lines, _) = lines(&stream[..complete_bytes(stream)]);
    lines
        .iter()
        .rev()
        .find_map(|line| line.strip_prefix("id:"))
        .map(|id| id.trim().to_string())
}

/// Returns the name of the end that a reader must tell.
fn expected_end(case: &Case, body: &[u8]) -> &'static str {
    let is_all = case.sent == 1000;
    match (case.framing, case.end) {
        (Framing::Connection, Break::Reset) => "broken",
        (Framing::Length | Framing::Chunks, _) if !is_all && !is_whole_by_framing(case, body) => "broken",
        _ if is_inside_event(body) => "inside an event",
        (Framing::Length | Framing::Chunks, _) => "whole",
        (Framing::Connection, Break::Close) if event_count(body) == 0 && !case.may_be_empty => {
            "before the first event"
        }
        (Framing::Connection, Break::Close) => "closed",
    }
}

fn is_whole_by_framing(case: &Case, body: &[u8]) -> bool {
    case.framing == Framing::Length && body.len() == case.body.len()
}

/// A connection whose reads are given. They begin once a request was written.
struct Scripted {
    is_asked: bool,
    waker: Option<Waker>,
    reads: VecDeque<Vec<u8>>,
    end: Break,
}

impl AsyncRead for Scripted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.is_asked {
            self.waker = Some(context.waker().clone());
            return Poll::Pending;
        }
        match (self.reads.pop_front(), self.end) {
            (Some(bytes), _) => buffer.put_slice(&bytes),
            (None, Break::Close) => {}
            (None, Break::Reset) => return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Scripted {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.is_asked = true;
        self.waker.take().into_iter().for_each(Waker::wake);
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

fn run<T>(test: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

/// Sends a request over a connection with these reads. `read` gets its answer.
fn exchange<T>(case: &Case, read: impl AsyncFnOnce(Response<AnswerReader>) -> T) -> T {
    let (head, encoded, _) = case.encode();
    // The head comes apart from the body, as an error after both could end the exchange before it.
    let mut reads = VecDeque::from([head.into_bytes()]);
    reads.extend(split(&encoded, &case.read_sizes));
    let scripted = Scripted {
        is_asked: false,
        waker: None,
        reads,
        end: case.end,
    };
    run(async {
        let pool = ConnectionPool::new(ConnectionConfig::default());
        let address = ADDRESS.parse().expect("an address");
        let connected = pool.handshake_over(scripted, address, CloseHook::new(|| {}));
        let mut connection = connected.await.expect("a connection");
        let answer = connection.send(Request::new(Full::new(Bytes::new())));
        read(answer.await.expect("an answer")).await
    })
}

/// Reads the body. Returns what came of it and how it ended.
async fn read_body(answer: Response<AnswerReader>, case: &Case) -> (Vec<Bytes>, BodyEnd) {
    let mut reader = answer.into_body();
    reader.set_content(Content::Events {
        may_be_empty: case.may_be_empty,
        is_declared: true,
    });
    let mut pieces = Vec::new();
    loop {
        match reader.next().await {
            BodyPart::Bytes(bytes) => pieces.push(bytes),
            BodyPart::End(end) => return (pieces, end),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(cases()))]

    /// Guards against a broken stream that is taken for a whole one, and a whole one for a broken one.
    #[test]
    fn end_of_any_stream_is_told(case in case()) {
        let (pieces, end) = exchange(&case, async |answer| read_body(answer, &case).await);
        let received = case.encode().2;
        let body = &case.body[..received];
        prop_assert_eq!(pieces.concat(), body);
        prop_assert_eq!(end.name(), expected_end(&case, body), "{:?}", end);
        let is_told = matches!(end.name(), "whole" | "closed");
        prop_assert_eq!(end.is_cut_off(), !is_told);
        if let BodyEnd::InsideEvent { partial_bytes } = end {
            prop_assert_eq!(partial_bytes as usize, received - complete_bytes(body));
        }
    }

    /// Guards against events that are passed on late, in part, or changed.
    #[test]
    fn splitter_passes_whole_events_on_at_once(case in case()) {
        let (pieces, _) = exchange(&case, async |answer| read_body(answer, &case).await);
        let mut splitter = EventSplitter::after(None);
        let (mut arrived, mut passed) = (Vec::new(), Vec::new());
        for piece in pieces {
            arrived.extend_from_slice(&piece);
            passed.extend(splitter.push(&piece).unwrap_or_default());
            prop_assert_eq!(passed.as_slice(), &arrived[..complete_bytes(&arrived)]);
            let id = last_id(&arrived);
            prop_assert_eq!(splitter.last_id(), id.as_deref());
        }
    }
}

/// Returns the number of cases, which a run by hand may raise.
fn cases() -> u32 {
    let given = std::env::var("CROFTRILL_ANSWER_CASES").ok();
    given.and_then(|cases| cases.parse().ok()).unwrap_or(400)
}
