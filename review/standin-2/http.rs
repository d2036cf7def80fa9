//! A small HTTP/1.1 reader and writer for stand-ins and clients.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Head and body of a request or of a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(one, _)| one.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Method or, in a response, the protocol version.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.word(1).split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.word(1).split_once('?').map_or("", |(_, query)| query);
        let pair = query.split('&').filter_map(|pair| pair.split_once('='));
        pair.filter(|(one, _)| *one == name)
            .map(|(_, value)| decode(value))
            .next()
            .unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection with the bytes that were read from it and not used yet.
#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    pending: Vec<u8>,
    until: Option<Instant>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, pending: Vec::new(), until: None }
    }

    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, limit)?))
    }

    /// Sets the time at which reads fail.
    pub fn set_deadline(&mut self, until: Option<Instant>) {
        self.until = until;
        let _ = self.stream.set_read_timeout(None);
    }

    /// Reads more bytes; `Ok(0)` at the end.
    pub fn fill(&mut self) -> io::Result<usize> {
        if let Some(until) = self.until {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            self.stream.set_read_timeout(Some(left))?;
        }
        let mut buffer = [0; 16 * 1024];
        let count = self.stream.read(&mut buffer)?;
        self.pending.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.pending.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.pending.drain(..end + 2).take(end).collect();
                return Ok(String::from_utf8_lossy(&line).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.pending.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.pending.drain(..count).collect())
    }

    /// Reads a head without its body.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let first_line = self.take_line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.take_line()?;
            let Some((name, value)) = line.split_once(':') else { break };
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
        Ok(Message { first_line, headers, body: Vec::new() })
    }

    /// Reads a message with its body. A response without a length ends with its connection.
    pub fn read(&mut self, is_response: bool) -> io::Result<Message> {
        let mut message = self.read_head()?;
        let chunked = message.header("transfer-encoding").is_some_and(|v| v.contains("chunked"));
        let length = message.header("content-length").and_then(|v| v.parse::<usize>().ok());
        if chunked {
            loop {
                let line = self.take_line()?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let chunk = self.take(size)?;
                message.body.extend(chunk);
                self.take_line()?;
                if size == 0 {
                    break;
                }
            }
        } else if let Some(length) = length {
            message.body = self.take(length)?;
        } else if is_response {
            while self.fill()? > 0 {}
            message.body = std::mem::take(&mut self.pending);
        }
        Ok(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes a response with a length.
    pub fn respond(&mut self, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
        let mut bytes =
            format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len())
                .into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }
}
