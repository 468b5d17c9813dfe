//! HTTP/1.1 on plain threads: requests and answers with a length, chunks or neither.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub type Headers = Vec<(String, String)>;

pub fn find<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let mut rows = headers.iter();
    rows.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| decode(value))
    }
}

fn decode(text: &str) -> String {
    let (bytes, mut out, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end_matches(['\r', '\n']).to_string()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Headers> {
    let mut headers = Headers::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.trim().to_string(), value.trim().to_string()));
        }
    }
}

/// Reads chunks up to the last one. What arrived stays in `body` if they end before it.
fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Reads a request; `None` if the connection ended before it.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some(first) = read_line(reader)? else { return Ok(None) };
    let mut words = first.split(' ').map(str::to_string);
    let (Some(method), Some(target)) = (words.next(), words.next()) else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    let headers = read_headers(reader)?;
    let body = if find(&headers, "transfer-encoding").is_some() {
        let mut body = Vec::new();
        read_chunks(reader, &mut body)?;
        body
    } else {
        let length = find(&headers, "content-length").and_then(|text| text.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut body)?;
        body
    };
    Ok(Some(Request { method, target, headers, body }))
}

pub fn write_answer(stream: &mut TcpStream, status: u16, headers: &[(&str, String)], body: &[u8]) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (key, value) in headers {
        text.push_str(&format!("{key}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// What a client saw.
#[derive(Debug, Clone)]
pub enum Seen {
    NoConnection(String),
    /// The connection ended before the head or before the end of the body.
    CutOff { status: Option<u16>, body: Vec<u8> },
    Answer { status: u16, headers: Headers, body: Vec<u8> },
}

impl Seen {
    pub fn status(&self) -> Option<u16> {
        match self {
            Seen::Answer { status, .. } => Some(*status),
            _ => None,
        }
    }

    pub fn text(&self) -> String {
        match self {
            Seen::NoConnection(error) => format!("no connection: {error}"),
            Seen::CutOff { status, body } => format!("cut off after status {status:?} and {} bytes", body.len()),
            Seen::Answer { status, headers, body } => {
                let signed = find(headers, "x-croftrill-response-signature").unwrap_or("none");
                let again = find(headers, "retry-after").unwrap_or("none");
                let text = if *status >= 400 { String::from_utf8_lossy(body).into_owned() } else { format!("{} bytes", body.len()) };
                format!("{status}, signature {signed}, retry-after {again}, whole body: {text}")
            }
        }
    }
}

pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

pub fn write_request(stream: &mut TcpStream, method: &str, target: &str, headers: &[(&str, String)], body: &[u8]) -> io::Result<()> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (key, value) in headers {
        text.push_str(&format!("{key}: {value}\r\n"));
    }
    if method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Reads an answer to its end.
pub fn read_answer(stream: TcpStream) -> Seen {
    let mut reader = BufReader::new(stream);
    let cut = |status, body| Seen::CutOff { status, body };
    let Ok(Some(first)) = read_line(&mut reader) else { return cut(None, Vec::new()) };
    let Some(status) = first.split(' ').nth(1).and_then(|text| text.parse().ok()) else { return cut(None, Vec::new()) };
    let Ok(headers) = read_headers(&mut reader) else { return cut(Some(status), Vec::new()) };
    let mut body = Vec::new();
    let whole = if find(&headers, "transfer-encoding").is_some() {
        read_chunks(&mut reader, &mut body)
    } else if let Some(length) = find(&headers, "content-length").and_then(|text| text.parse::<usize>().ok()) {
        body.resize(length, 0);
        reader.read_exact(&mut body)
    } else {
        reader.read_to_end(&mut body).map(|_| ())
    };
    match whole {
        Ok(()) => Seen::Answer { status, headers, body },
        Err(_) => cut(Some(status), body),
    }
}

/// Sends one request over a connection of its own and reads the whole answer.
pub fn call(address: SocketAddr, method: &str, target: &str, headers: &[(&str, String)], body: &[u8], limit: Duration) -> Seen {
    let mut stream = match connect(address) {
        Ok(stream) => stream,
        Err(error) => return Seen::NoConnection(error.to_string()),
    };
    let _ = stream.set_read_timeout(Some(limit));
    if write_request(&mut stream, method, target, headers, body).is_err() {
        return Seen::CutOff { status: None, body: Vec::new() };
    }
    read_answer(stream)
}
