//! HTTP/1.1 with one thread a connection, as far as the stand-ins need it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request, or the head of an answer, whose status is in `target`.
#[derive(Debug, Clone)]
pub struct Message {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a field of the query, decoded.
    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| decode(value)).unwrap_or_default()
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match code {
            Some(code) => {
                decoded.push(code);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// A connection, with the bytes that were read ahead.
pub struct Link {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Link {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Link { stream, ahead: Vec::new() }
    }

    fn more(&mut self) -> io::Result<bool> {
        let mut buffer = [0; 16 * 1024];
        let count = self.stream.read(&mut buffer)?;
        self.ahead.extend_from_slice(&buffer[..count]);
        Ok(count > 0)
    }

    /// Reads a head and a body with a length or chunks; `None` at the end of the connection.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        message.body = self.read_body(&message, false)?;
        Ok(Some(message))
    }

    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.ahead.windows(4).position(|window| window == b"\r\n\r\n") {
                break end;
            }
            if !self.more()? {
                return Ok(None);
            }
        };
        let head: Vec<u8> = self.ahead.drain(..end + 4).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let mut first = lines.next().unwrap_or_default().split(' ');
        first.next();
        let target = first.next().unwrap_or_default().to_string();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.to_string(), value.trim().to_string())).collect();
        Ok(Some(Message { target, headers, body: Vec::new() }))
    }

    /// Reads a body. With `to_end`, one without length or chunks ends with the connection.
    pub fn read_body(&mut self, head: &Message, to_end: bool) -> io::Result<Vec<u8>> {
        if head.header("transfer-encoding").is_some() {
            return self.read_chunks();
        }
        match head.header("content-length").and_then(|length| length.parse::<usize>().ok()) {
            Some(length) => {
                while self.ahead.len() < length {
                    if !self.more()? {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                Ok(self.ahead.drain(..length).collect())
            }
            None if to_end => {
                while self.more()? {}
                Ok(std::mem::take(&mut self.ahead))
            }
            None => Ok(Vec::new()),
        }
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = loop {
                if let Some(end) = self.ahead.windows(2).position(|window| window == b"\r\n") {
                    let line: Vec<u8> = self.ahead.drain(..end + 2).collect();
                    break String::from_utf8_lossy(&line[..end]).into_owned();
                }
                if !self.more()? {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            };
            let size = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            while self.ahead.len() < size + 2 {
                if !self.more()? {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            let chunk: Vec<u8> = self.ahead.drain(..size + 2).collect();
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }

    pub fn answer(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut text = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}

/// An answer that a caller got: its status, and the body if it arrived whole.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub body: Option<Vec<u8>>,
}

/// Sends a request on a new connection and reads its answer.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Answer> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    let mut link = Link::new(stream);
    link.stream.write_all(request)?;
    let head = link.read_head()?.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
    let status = head.target.parse().unwrap_or(0);
    let body = link.read_body(&head, true).ok();
    Ok(Answer { status, body })
}
