//! Plain HTTP/1.1 for the stand-ins: reading a message and writing one.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
};

/// A request or response that was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the whole body arrived.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let named = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.as_str())
    }

    /// Method and target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; `None` if the connection ends before its first byte.
pub fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let head = loop {
        if let Some(end) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            break buffer.drain(..end + 4).collect::<Vec<u8>>();
        }
        if fill(stream, buffer)? == 0 {
            return if buffer.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
    };
    let text = String::from_utf8_lossy(&head).into_owned();
    let mut lines = text.split("\r\n");
    let start = lines.next().unwrap_or("").to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let mut message = Message { start, headers, ..Message::default() };
    if message.header("transfer-encoding").is_some() {
        message.complete = read_chunks(stream, buffer, &mut message.body);
        return Ok(Some(message));
    }
    let length = message.header("content-length").and_then(|length| length.parse().ok());
    let length: usize = length.unwrap_or(0);
    while buffer.len() < length {
        if fill(stream, buffer).unwrap_or(0) == 0 {
            message.body = std::mem::take(buffer);
            return Ok(Some(message));
        }
    }
    message.body = buffer.drain(..length).collect();
    message.complete = true;
    Ok(Some(message))
}

fn read_chunks(stream: &mut TcpStream, buffer: &mut Vec<u8>, body: &mut Vec<u8>) -> bool {
    loop {
        let Some(line) = read_line(stream, buffer) else { return false };
        let digits = line.split(';').next().unwrap_or("").trim();
        let Ok(length) = usize::from_str_radix(digits, 16) else { return false };
        while buffer.len() < length + 2 {
            if fill(stream, buffer).unwrap_or(0) == 0 {
                body.extend_from_slice(&buffer[..buffer.len().min(length)]);
                return false;
            }
        }
        body.extend(buffer.drain(..length));
        buffer.drain(..2);
        if length == 0 {
            return true;
        }
    }
}

fn read_line(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = buffer.windows(2).position(|two| two == b"\r\n") {
            let line: Vec<u8> = buffer.drain(..end + 2).collect();
            return String::from_utf8(line).ok();
        }
        if fill(stream, buffer).ok()? == 0 {
            return None;
        }
    }
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    let mut bytes = [0; 16 * 1024];
    let length = stream.read(&mut bytes)?;
    buffer.extend_from_slice(&bytes[..length]);
    Ok(length)
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
