//! Minimal HTTP server for stand-ins.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use croftrill_node::stream::AnswerBody;
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

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
    let handler = Rc::new(handler);
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        spawn_local(async move {
            let service = service_fn(move |request: Request<hyper::body::Incoming>| {
                let handler = handler.clone();
                async move {
                    let (head, body) = request.into_parts();
                    let answer = match body.collect().await {
                        Ok(body) => handler(Request::from_parts(head, body.to_bytes())).await,
                        Err(_) => status(StatusCode::BAD_REQUEST),
                    };
                    Ok::<_, Infallible>(answer)
                }
            });
            // An error ends only this caller's connection.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
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
