//! Minimal HTTP server for stand-ins.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use croftrill_http::dialect::ATTEMPT_HEADER;
use croftrill_node::stream::AnswerBody;
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use crate::answer_ends::{AnswerFaults, BreakingBody, ClosedBetweenEvents};

/// HTTP response of a stand-in.
pub type Answer = Response<AnswerBody>;

/// Serves requests on a listener until the process or the local set ends.
///
/// The handler gets requests with their complete body. Its future is dropped when the caller
/// disconnects.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Bytes>) -> F + 'static,
    F: Future<Output = Answer> + 'static,
{
    serve_with_faults(listener, handler, AnswerFaults::default(), Rc::default()).await;
}

/// Like [`serve`], with answers that break off. Each is named by its attempt id, or else by a number.
pub async fn serve_with_faults<H, F>(
    listener: TcpListener,
    handler: H,
    faults: AnswerFaults,
    closed_between_events: ClosedBetweenEvents,
) where
    H: Fn(Request<Bytes>) -> F + 'static,
    F: Future<Output = Answer> + 'static,
{
    let handler = Rc::new(handler);
    let answers = Rc::new(Cell::new(0_u64));
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let (handler, answers, closed) = (handler.clone(), answers.clone(), closed_between_events.clone());
        let reset = Arc::new(AtomicBool::new(false));
        let stream = ResettableStream {
            stream,
            reset: reset.clone(),
        };
        spawn_local(async move {
            let service = service_fn(move |request: Request<hyper::body::Incoming>| {
                let (handler, closed, reset) = (handler.clone(), closed.clone(), reset.clone());
                answers.set(answers.get() + 1);
                let number = answers.get();
                async move {
                    let (head, body) = request.into_parts();
                    let attempt = head
                        .headers
                        .get(ATTEMPT_HEADER)
                        .and_then(|value| value.to_str().ok());
                    let name = attempt.unwrap_or_default().to_string();
                    let answer = match body.collect().await {
                        Ok(body) => handler(Request::from_parts(head, body.to_bytes())).await,
                        Err(_) => status(StatusCode::BAD_REQUEST),
                    };
                    let end = faults.draw(&format!("{name} {number}"));
                    Ok::<_, Infallible>(BreakingBody::wrap(answer, end, name, closed, reset))
                }
            });
            // An error ends only this caller's connection.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// A connection that may be reset when it is closed.
struct ResettableStream {
    stream: TcpStream,
    reset: Arc<AtomicBool>,
}

impl Drop for ResettableStream {
    fn drop(&mut self) {
        if self.reset.load(Ordering::Relaxed) {
            // If it fails, the connection is closed, which the drawn end allows as well.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for ResettableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for ResettableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Binds a free port of the loopback address.
pub async fn listen() -> std::io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Creates a response with a status and an empty body.
pub fn status(status: StatusCode) -> Answer {
    let mut answer = Response::new(AnswerBody::full(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

/// Creates a response with a JSON body.
pub fn json<T: Serialize>(value: &T) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => Response::new(AnswerBody::full(body)),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Returns the percent-decoded value of a query parameter.
pub fn query_value(request: &Request<Bytes>, name: &str) -> Option<String> {
    let query = request.uri().query()?;
    let pair = query
        .split('&')
        .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))?;
    Some(percent_decode(pair.1))
}

fn percent_decode(text: &str) -> String {
    let mut decoded = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        let hex = |digit: Option<u8>| digit.and_then(|digit| (digit as char).to_digit(16));
        match byte {
            b'%' => match (hex(bytes.next()), hex(bytes.next())) {
                (Some(high), Some(low)) => decoded.push((high * 16 + low) as u8),
                _ => decoded.push(b'%'),
            },
            other => decoded.push(other),
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
