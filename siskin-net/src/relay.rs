//! Relays the bytes of a caller's connection to another router.
//!
//! The bytes are not parsed. An error on one side resets the caller's connection, so that a response without a length does not
//! look complete.

use {
    socket2::{SockRef, TcpKeepalive},
    std::{io, net::SocketAddr, pin::pin, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpStream,
            tcp::{ReadHalf, WriteHalf},
        },
        time::{sleep, timeout},
    },
};

/// Longest time to open the connection to the other router, which is in the same data centre.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// TCP user timeout: longest time that sent data may stay unacknowledged before a connection counts as lost.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval of keep-alive probes, which detect that the other side is gone without a reset.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Bytes that are read at once. Each relayed connection takes twice this memory.
const BUFFER_BYTES: usize = 8 * 1024;

/// Pause after bytes for the caller, so that events of a stream that follow each other closely are read and written together.
const GATHER_TIME: Duration = Duration::from_millis(60);

/// Outcome of a relayed connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// One side closed the connection.
    Closed,
    /// The caller had closed the connection before anything was relayed.
    Abandoned,
}

/// Opens a connection to the router at `target`.
///
/// # Errors
///
/// The connection cannot be opened in time. Nothing has been read from the caller then.
pub async fn connect(target: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(target))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_socket_options(&stream)?;
    Ok(stream)
}

/// Relays bytes in both directions until one side closes its connection.
///
/// # Errors
///
/// One of the connections broke.
pub async fn run(mut caller: TcpStream, mut router: TcpStream) -> io::Result<Outcome> {
    set_socket_options(&caller)?;
    let result = relay_both(&mut caller, &mut router).await;
    if result.is_err() {
        // A reset, because a response without a length would look complete after an orderly close.
        SockRef::from(&caller).set_linger(Some(Duration::ZERO))?;
    }
    result
}

async fn relay_both(caller: &mut TcpStream, router: &mut TcpStream) -> io::Result<Outcome> {
    let (from_caller, to_caller) = caller.split();
    let (from_router, to_router) = router.split();
    let mut responses = pin!(relay_responses(from_router, to_caller));
    let ended = tokio::select! {
        result = responses.as_mut() => return result,
        ended = relay_requests(from_caller, to_router) => ended?,
    };
    match ended {
        RequestEnd::Caller(outcome) => Ok(outcome),
        // The other router has answered before it has read the whole request, and its answer is still to be relayed.
        RequestEnd::Router => responses.await,
    }
}

/// Why no more of the caller's requests are relayed.
enum RequestEnd {
    /// The caller closed its side.
    Caller(Outcome),
    /// The other router reads no more.
    Router,
}

/// Relays the caller's requests. A caller that waited in the listen queue may have left: its first bytes are then dropped.
async fn relay_requests(
    mut caller: ReadHalf<'_>,
    mut router: WriteHalf<'_>,
) -> io::Result<RequestEnd> {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut is_first = true;
    loop {
        let mut length = caller.read(&mut buffer).await?;
        if length == 0 {
            let outcome = if is_first { Outcome::Abandoned } else { Outcome::Closed };
            return Ok(RequestEnd::Caller(outcome));
        }
        if is_first && length < buffer.len() {
            match caller.try_read(&mut buffer[length..]) {
                Ok(0) => return Ok(RequestEnd::Caller(Outcome::Abandoned)),
                Ok(more) => length += more,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        is_first = false;
        if router.write_all(&buffer[..length]).await.is_err() {
            return Ok(RequestEnd::Router);
        }
    }
}

async fn relay_responses(
    mut router: ReadHalf<'_>,
    mut caller: WriteHalf<'_>,
) -> io::Result<Outcome> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = router.read(&mut buffer).await?;
        if length == 0 {
            return Ok(Outcome::Closed);
        }
        caller.write_all(&buffer[..length]).await?;
        if length < buffer.len() {
            sleep(GATHER_TIME).await;
        }
    }
}

/// Sets the socket options, so that the kernel detects a dead peer.
fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
