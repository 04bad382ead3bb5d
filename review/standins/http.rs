//! HTTP/1.1 for the stand-ins: messages with a Content-Length, on connections that stay open.
#![allow(dead_code)]

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A message: its first line, its headers in lower case, its body.
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// A parameter of a request's target, not decoded: the stand-ins look up plain values alone.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let target = self.first_line.split(' ').nth(1)?;
        let (_, query) = target.split_once('?')?;
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|(known, _)| *known == name).map(|(_, v)| v)
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages from one connection; bytes past a message are kept for the next.
pub struct Reader {
    stream: TcpStream,
    unread: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, unread: Vec::new() }
    }

    /// Bytes that lie here beyond the last message.
    pub fn left_over(&self) -> usize {
        self.unread.len()
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16 << 10];
        match self.stream.read(&mut chunk)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.unread.extend_from_slice(&chunk[..count]);
                Ok(())
            }
        }
    }

    pub fn message(&mut self) -> io::Result<Message> {
        let end = loop {
            if let Some(at) = self.unread.windows(4).position(|four| four == b"\r\n\r\n") {
                break at;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.unread[..end]).into_owned();
        self.unread.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers: Vec<_> =
            headers.map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned())).collect();
        let mut message = Message { first_line, headers, body: Vec::new() };
        if message.header("transfer-encoding").is_some() {
            message.body = self.chunks()?;
            return Ok(message);
        }
        let length = message.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        while self.unread.len() < length {
            self.fill()?;
        }
        message.body = self.unread.drain(..length).collect();
        Ok(message)
    }

    fn chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(at) = self.unread.windows(2).position(|two| two == b"\r\n") {
                    break at;
                }
                self.fill()?;
            };
            let size = String::from_utf8_lossy(&self.unread[..end]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            while self.unread.len() < end + 2 + size + 2 {
                self.fill()?;
            }
            body.extend_from_slice(&self.unread[end + 2..end + 2 + size]);
            self.unread.drain(..end + 2 + size + 2);
            if size == 0 {
                return Ok(body);
            }
        }
    }
}

pub fn post(stream: &mut TcpStream, target: &str, body: &[u8]) -> io::Result<()> {
    let head = format!("POST {target} HTTP/1.1\r\nHost: gateway\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// The response of an engine to a query that it ran.
pub fn result(query_id: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/tab-separated-values; charset=UTF-8\r\nX-ClickHouse-Query-Id: {query_id}\r\n\
         Connection: Keep-Alive\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
