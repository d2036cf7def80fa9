//! Connections to endpoints.
//!
//! A connection carries one request at a time and is reused only after its response was read to the end. A connection
//! whose response was abandoned is closed, so a late response can never reach another caller.

mod connect;
mod interim;
mod pool;
mod written;

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        HeaderMap, Request, Response,
        body::{Body, Incoming},
        client::conn::http1::SendRequest,
        header::{CONTENT_LENGTH, TRANSFER_ENCODING},
    },
    siskin_types::{id::Endpoint, process::Process},
    std::{net::SocketAddr, ops::RangeInclusive, sync::Arc, time::Duration},
    written::Written,
};

pub use pool::Pool;

/// Options of connections and of the pool.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Connections that have been idle for longer are closed.
    pub idle_timeout: Duration,
    /// Most idle connections kept per endpoint.
    pub idle_limit: usize,
    /// Longest time that sent data may stay unacknowledged before the kernel closes the connection (`TCP_USER_TIMEOUT`).
    pub user_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(10),
            idle_limit: 64,
            user_timeout: Duration::from_secs(4),
        }
    }
}

/// Why a request got no response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection could be opened. No byte of the request was sent.
    #[error("cannot connect to endpoint {address}: {source}; check that it runs and is reachable")]
    Connect {
        /// The endpoint.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The endpoint is not in the configuration in force. No byte of the request was sent.
    #[error("{endpoint} is no longer configured; the request goes to another endpoint")]
    Unconfigured {
        /// The endpoint.
        endpoint: Endpoint,
    },
    /// The connection was closed before any byte of the request was written to it.
    #[error("connection to endpoint {address} was closed before the request was sent")]
    Unsent {
        /// The endpoint.
        address: SocketAddr,
    },
    /// The response has a status that no response may have. The endpoint may have run the request.
    #[error(
        "endpoint {address} sent a response with the invalid status {status}; check the endpoint"
    )]
    InvalidStatus {
        /// The endpoint.
        address: SocketAddr,
        /// The status.
        status: u16,
    },
    /// The connection broke after the request may have been sent.
    #[error("connection to endpoint {address} broke: {source}")]
    Broken {
        /// The endpoint.
        address: SocketAddr,
        /// The cause.
        source: hyper::Error,
    },
}

impl Error {
    /// Whether the cause is local: no file descriptor was left, which says nothing about the endpoint.
    #[must_use]
    pub fn is_out_of_descriptors(&self) -> bool {
        let Self::Connect { source, .. } = self else { return false };
        matches!(source.raw_os_error(), Some(PROCESS_FILE_LIMIT | SYSTEM_FILE_LIMIT))
    }
}

/// Statuses of final responses. No request asks for another protocol, so 101 is not valid either.
const STATUSES: RangeInclusive<u16> = 200..=599;

/// Error number for too many open files in the process (`EMFILE`).
const PROCESS_FILE_LIMIT: i32 = 24;

/// Error number for too many open files in the system (`ENFILE`).
const SYSTEM_FILE_LIMIT: i32 = 23;

/// An open connection, taken from the pool or new.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    /// Idle timeout announced by the endpoint, if any.
    announced_idle_timeout: Option<Duration>,
    /// Number of response heads that it has carried.
    responses: u64,
    /// What has been written.
    written: Arc<Written>,
    /// Number of bytes written before the last request, plus the length of its body and one.
    request_end: u64,
    /// Whether the body of the last response ends with the connection.
    is_close_delimited: bool,
    /// What answers on it.
    process: Process,
    sender: SendRequest<Full<Bytes>>,
}

impl Connection {
    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`] if no byte was written, [`Error::Broken`] if some may have been, [`Error::InvalidStatus`] if the
    /// response has an invalid status.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        let address = self.address;
        let body_length = request.body().size_hint().lower();
        self.request_end = self.written.bytes() + body_length + 1;
        self.written.await_response();
        let response = self.sender.try_send_request(request).await;
        if let Ok(response) = &response {
            self.is_close_delimited =
                !response.body().is_end_stream() && ends_with_connection(response.headers());
            self.announced_idle_timeout = announced_idle_timeout(response.headers());
            self.responses += 1;
        }
        let response = response.map_err(|mut error| {
            if error.take_message().is_some() {
                Error::Unsent { address }
            } else {
                Error::Broken { address, source: error.into_error() }
            }
        })?;
        let status = response.status().as_u16();
        if STATUSES.contains(&status) {
            Ok(response)
        } else {
            Err(Error::InvalidStatus { address, status })
        }
    }

    /// Whether it has carried an earlier response than the last one, which a faulty endpoint may have sent again.
    #[must_use]
    pub const fn carried_earlier_response(&self) -> bool {
        self.responses > 1
    }

    /// Whether the last response, whose body has ended, may be a part of one: it ends with the connection, and the connection
    /// failed or the endpoint ended it before the request was written. A write that fails may hide that the endpoint reset the
    /// connection, and an endpoint that closes its side in the middle of an upload may have failed.
    #[must_use]
    pub fn may_be_cut_off(&self) -> bool {
        self.is_close_delimited && !self.written.is_complete(self.request_end)
    }

    /// Waits until it can carry another request, after its last response was read. Returns whether it can.
    pub async fn is_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// The process that answers on it, as far as it was noted.
    #[must_use]
    pub const fn process(&self) -> &Process {
        &self.process
    }

    /// Notes which process answers on it. A connection cannot pass to another process.
    pub fn set_process(&mut self, process: Process) {
        self.process = process;
    }

    /// The endpoint's address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Whether the body of a response with these headers ends with its connection: it has no length and is not chunked.
///
/// ```
/// use {hyper::HeaderMap, siskin_net::upstream::ends_with_connection};
/// let mut headers = HeaderMap::new();
/// assert!(ends_with_connection(&headers));
/// headers.insert("content-length", "2".parse().unwrap());
/// assert!(!ends_with_connection(&headers));
/// headers.insert("transfer-encoding", "gzip".parse().unwrap());
/// assert!(ends_with_connection(&headers), "the encoding counts before the length");
/// headers.insert("transfer-encoding", "gzip, Chunked".parse().unwrap());
/// assert!(!ends_with_connection(&headers));
/// ```
#[must_use]
pub fn ends_with_connection(headers: &HeaderMap) -> bool {
    match headers.get_all(TRANSFER_ENCODING).iter().next_back() {
        Some(encodings) => {
            let last = encodings.to_str().unwrap_or_default().rsplit(',').next();
            !last.unwrap_or_default().trim().eq_ignore_ascii_case("chunked")
        }
        None => !headers.contains_key(CONTENT_LENGTH),
    }
}

/// The idle timeout that a `Keep-Alive` header announces, in whole seconds.
///
/// ```
/// use {hyper::HeaderMap, siskin_net::upstream::announced_idle_timeout, std::time::Duration};
/// let mut headers = HeaderMap::new();
/// assert_eq!(announced_idle_timeout(&headers), None);
/// headers.insert("keep-alive", "timeout=5, max=100".parse().unwrap());
/// assert_eq!(announced_idle_timeout(&headers), Some(Duration::from_secs(5)));
/// ```
#[must_use]
pub fn announced_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
