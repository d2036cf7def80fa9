//! A small HTTP/1.1 server and client on blocking sockets, for the stand-ins.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Head and body of a message.
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let named = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.as_str())
    }

    /// The path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    /// The value of a query parameter, percent-decoded.
    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.filter(|(known, _)| *known == name).map(|(_, value)| value).next();
        percent_decode(value.unwrap_or(""))
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn percent_decode(text: &str) -> String {
    let (bytes, mut decoded, mut index) = (text.as_bytes(), Vec::new(), 0);
    while index < bytes.len() {
        let escaped = (bytes[index] == b'%').then(|| text.get(index + 1..index + 3)).flatten();
        match escaped.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                index += 3;
            }
            None => {
                decoded.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn invalid(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}

/// Reads the head of a message.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Message> {
    let start = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(Message { start, headers, body: Vec::new() });
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid("header"))?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads one chunk of a chunked body; empty at its end.
fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let line = read_line(reader)?;
    let length = usize::from_str_radix(line.trim(), 16).map_err(|_| invalid("chunk length"))?;
    let mut chunk = vec![0; length];
    reader.read_exact(&mut chunk)?;
    if !read_line(reader)?.is_empty() {
        return Err(invalid("chunk end"));
    }
    Ok(chunk)
}

/// Reads the body of a message whose head has been read. `data` is called with each part.
pub fn read_body(
    reader: &mut impl BufRead,
    head: &Message,
    mut data: impl FnMut(&[u8]),
) -> io::Result<()> {
    if head.header("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(());
            }
            data(&chunk);
        }
    }
    let length = head.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    data(&body);
    Ok(())
}

/// Reads a whole message.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = read_head(reader)?;
    let mut body = Vec::new();
    read_body(reader, &message, |part| body.extend_from_slice(part))?;
    message.body = body;
    Ok(message)
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// A client's connection that is kept for many requests.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

/// What a client got.
#[derive(Debug)]
pub enum Answer {
    /// A complete response: status, `Retry-After` and body.
    Whole { status: u16, retry_after: String, body: String, signed: bool },
    /// The connection ended inside a response.
    Cut { status: u16, body: String, error: String },
    /// The connection ended without a response.
    Closed { error: String },
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    pub fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }

    /// Sends a request and waits for its answer for at most `limit` without data.
    pub fn ask(&mut self, request: &str, limit: Duration) -> Answer {
        let stream = self.reader.get_mut();
        let sent = stream.set_read_timeout(Some(limit)).and_then(|()| stream.write_all(request.as_bytes()));
        if let Err(error) = sent {
            return Answer::Closed { error: error.to_string() };
        }
        let head = match read_head(&mut self.reader) {
            Ok(head) => head,
            Err(error) => return Answer::Closed { error: error.to_string() },
        };
        let mut body = Vec::new();
        let read = read_body(&mut self.reader, &head, |part| body.extend_from_slice(part));
        let (status, body) = (head.status(), String::from_utf8_lossy(&body).into_owned());
        match read {
            Ok(()) => Answer::Whole {
                status,
                retry_after: head.header("retry-after").unwrap_or("").to_owned(),
                body,
                signed: head.header("x-response-seal").is_some(),
            },
            Err(error) => Answer::Cut { status, body, error: error.to_string() },
        }
    }

    /// Reads what the peer has sent, to find out whether it has closed the connection.
    pub fn is_closed(&mut self) -> bool {
        let stream = self.reader.get_mut();
        if stream.set_nonblocking(true).is_err() {
            return true;
        }
        let closed = match stream.peek(&mut [0]) {
            Ok(0) => true,
            Ok(_) => false,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        };
        stream.set_nonblocking(false).is_err() || closed
    }
}

/// Whether the peer has closed a connection on which it has sent nothing more.
pub fn peer_has_left(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let mut byte = [0];
    let left = match stream.peek(&mut byte) {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    };
    stream.set_nonblocking(false).is_err() || left
}

#[allow(dead_code)]
pub fn drain(stream: &mut TcpStream) {
    let _ = stream.read(&mut [0; 4096]);
}
