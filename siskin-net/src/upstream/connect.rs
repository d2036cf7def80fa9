//! Opens connections to endpoints.

use {
    super::{
        Connection, Error, Options,
        written::{Recorded, Written},
    },
    hyper::client::conn::http1,
    hyper_util::rt::TokioIo,
    siskin_types::process::Process,
    socket2::{SockRef, TcpKeepalive},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

/// Idle time before the kernel probes a connection, and the time between its probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keep-alive probes after which the kernel closes a connection.
const KEEPALIVE_PROBES: u32 = 3;

/// Largest head of a response in bytes.
const HEAD_BYTES_MAX: usize = 64 * 1024;
/// Most headers in a response.
const HEADERS_MAX: usize = 100;

/// Opens a connection within the connect timeout.
pub(super) async fn open(address: SocketAddr, options: &Options) -> Result<Connection, Error> {
    let connect_error = |source| Error::Connect { address, source };
    let stream = timeout(options.connect_timeout, TcpStream::connect(address))
        .await
        .map_err(|_| connect_error(io::ErrorKind::TimedOut.into()))?
        .map_err(connect_error)?;
    set_socket_options(&stream, options).map_err(connect_error)?;
    let written = Arc::<Written>::default();
    let stream = Recorded::new(stream, Arc::clone(&written));
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(HEAD_BYTES_MAX)
        .max_headers(HEADERS_MAX)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| connect_error(io::Error::other(error)))?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(endpoint:% = address; "connection to endpoint ended: {error}");
        }
    });
    Ok(Connection {
        address,
        announced_idle_timeout: None,
        responses: 0,
        written,
        request_end: 0,
        is_close_delimited: false,
        process: Process::default(),
        sender,
    })
}

/// Sets the socket options, so that the kernel detects a dead peer.
fn set_socket_options(stream: &TcpStream, options: &Options) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(options.user_timeout))
}
