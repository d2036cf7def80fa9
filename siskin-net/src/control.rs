//! Frames to and from other routers.
//!
//! A frame that fits a datagram is sent over UDP; a larger one is sent over a TCP connection of its own, with a length
//! prefix. Delivery is unreliable: the state machines repeat what was not acknowledged.

use {
    crate::{lock, metrics::Creator},
    prometheus::IntCounterVec,
    siskin_types::id::Node,
    siskin_wire::{
        Message,
        frame::{Key, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, Opened, Opener, Rejection, Sealer},
    },
    std::{
        collections::HashSet,
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError, RwLock,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream, UdpSocket},
        sync::{Semaphore, mpsc},
        time::timeout,
    },
};

/// Bytes of the IP and UDP headers of a datagram, counted as control traffic.
const DATAGRAM_HEADER_BYTES: u64 = 28;

/// Bytes of the IP and TCP headers of a short connection: handshake, one data segment, acknowledgements and close.
const CONNECTION_HEADER_BYTES: u64 = 320;

/// Timeout for sending or receiving a frame over TCP.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);

/// Most concurrent TCP connections from other routers.
const CONNECTIONS_MAX: usize = 128;

/// Ports that are tried if the port is not specified.
const ANY_PORT_ATTEMPTS: u32 = 16;

/// Address, identity and keys for exchanging frames.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address for UDP and TCP; port 0 selects a port that is free for both.
    pub address: SocketAddr,
    /// This router.
    pub node: Node,
    /// Incarnation, larger than that of any earlier process of this router.
    pub incarnation: u64,
    /// Key of the fleet.
    pub key: Key,
    /// A second key to accept during key rotation.
    pub next_key: Option<Key>,
}

/// Metrics of the frames exchanged.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Control messages by direction and kind.
    pub messages: IntCounterVec,
    /// Control bytes by direction and kind, including 28 bytes of IP and UDP headers per datagram.
    pub bytes: IntCounterVec,
    /// Frames dropped, by reason.
    pub rejected: IntCounterVec,
    /// Frames that could not be sent, by reason.
    pub unsent: IntCounterVec,
}

impl Metrics {
    /// Creates the counters and registers them.
    ///
    /// # Errors
    ///
    /// A metric name is already registered.
    pub fn new(create: &Creator<'_>) -> prometheus::Result<Self> {
        Ok(Self {
            messages: create.counters(
                "siskin_control_messages_total",
                "Control messages between routers.",
                &["direction", "kind"],
            )?,
            bytes: create.counters(
                "siskin_control_bytes_total",
                "Control bytes between routers, IP and transport headers included.",
                &["direction", "kind"],
            )?,
            rejected: create.counters(
                "siskin_frames_rejected_total",
                "Frames from other routers dropped.",
                &["reason"],
            )?,
            unsent: create.counters(
                "siskin_frames_unsent_total",
                "Frames for other routers that could not be sent.",
                &["reason"],
            )?,
        })
    }
}

/// A message from another router.
#[derive(Debug)]
pub struct Received {
    /// The sender's address.
    pub from: SocketAddr,
    /// The sender and its message.
    pub opened: Opened,
}

/// Sockets for exchanging frames with other routers.
#[derive(Debug)]
pub struct Control {
    socket: UdpSocket,
    sealer: Mutex<Sealer>,
    opener: Mutex<Opener>,
    metrics: Metrics,
    /// Whether sending is disabled, to simulate a killed router.
    silenced: AtomicBool,
    /// Nodes whose frames are dropped in both directions, to simulate partitions in tests and measurements.
    blocked: RwLock<HashSet<Node>>,
}

impl Control {
    /// Binds both sockets. The TCP listener is returned for [`Control::run`].
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn bind(options: Options, metrics: Metrics) -> io::Result<(Self, TcpListener)> {
        let (socket, listener) = bind_both(options.address).await?;
        let sealer = Sealer::new(options.node, options.incarnation, options.key.clone());
        let control = Self {
            socket,
            sealer: Mutex::new(sealer),
            opener: Mutex::new(Opener::new(options.key, options.next_key)),
            metrics,
            silenced: AtomicBool::new(false),
            blocked: RwLock::default(),
        };
        Ok((control, listener))
    }

    /// The bound address.
    ///
    /// # Errors
    ///
    /// The operating system cannot report it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Drops all frames to and from `nodes`, to simulate a partition in tests and measurements.
    pub fn block(&self, nodes: impl IntoIterator<Item = Node>) {
        *self.blocked.write().unwrap_or_else(PoisonError::into_inner) = nodes.into_iter().collect();
    }

    /// Disables sending, to simulate a dead process.
    pub fn silence(&self) {
        self.silenced.store(true, Ordering::Relaxed);
    }

    /// Raises the incarnation in frames, after another router reported a later one of this node.
    pub fn raise_incarnation(&self, incarnation: u64) {
        lock(&self.sealer).raise_incarnation(incarnation);
    }

    /// Sends a message. A message that cannot be sent at once is dropped.
    pub fn send(self: &Arc<Self>, node: Option<Node>, to: SocketAddr, message: &Message) {
        let blocked = node.is_some_and(|node| self.is_blocked(node));
        if blocked || self.silenced.load(Ordering::Relaxed) {
            return;
        }
        let kind = kind_label(message);
        let sealed = lock(&self.sealer).seal(message);
        let frame = match sealed {
            Ok(frame) => frame,
            Err(error) => {
                self.count_unsent("encoding");
                log::error!(kind; "message cannot be sent: {error}; report this as a fault");
                return;
            }
        };
        if frame.len() <= MAX_DATAGRAM_BYTES {
            self.count_message("sent", kind, frame.len() as u64 + DATAGRAM_HEADER_BYTES);
            if let Err(error) = self.socket.try_send_to(&frame, to) {
                self.count_unsent("socket");
                log::debug!(to:% = to, kind; "datagram was not sent: {error}");
            }
            return;
        }
        self.count_message("sent", kind, frame.len() as u64 + CONNECTION_HEADER_BYTES);
        let control = Arc::clone(self);
        tokio::spawn(async move {
            match timeout(CONNECTION_TIMEOUT, send_over_tcp(to, &frame)).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => {
                    control.count_unsent("connection");
                    log::debug!(to:% = to, kind; "frame was not sent: {error}");
                }
                Err(_) => {
                    control.count_unsent("timeout");
                    log::debug!(to:% = to, kind; "frame was not sent in time");
                }
            }
        });
    }

    fn count_unsent(&self, reason: &str) {
        self.metrics.unsent.with_label_values(&[reason]).inc();
    }

    /// Receives frames until the router stops.
    pub async fn run(self: Arc<Self>, listener: TcpListener, queue: mpsc::Sender<Received>) {
        tokio::join!(self.receive_datagrams(&queue), self.accept_connections(listener, &queue));
    }

    async fn receive_datagrams(&self, queue: &mpsc::Sender<Received>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    log::debug!("datagram cannot be received: {error}");
                    continue;
                }
            };
            let opened = lock(&self.opener).open_datagram(&buffer[..length]);
            self.enqueue(queue, from, opened, length as u64 + DATAGRAM_HEADER_BYTES);
        }
    }

    async fn accept_connections(
        self: &Arc<Self>,
        listener: TcpListener,
        queue: &mpsc::Sender<Received>,
    ) {
        let permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
        loop {
            let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
            let Ok((stream, from)) = listener.accept().await else { continue };
            let control = Arc::clone(self);
            let queue = queue.clone();
            tokio::spawn(async move {
                let _permit = permit;
                let Ok(Ok(frame)) = timeout(CONNECTION_TIMEOUT, receive_over_tcp(stream)).await
                else {
                    control.metrics.rejected.with_label_values(&["incomplete"]).inc();
                    return;
                };
                let opened = lock(&control.opener).open(&frame);
                let bytes = frame.len() as u64 + CONNECTION_HEADER_BYTES;
                control.enqueue(&queue, from, opened, bytes);
            });
        }
    }

    /// Counts a received frame and queues its message.
    fn enqueue(
        &self,
        queue: &mpsc::Sender<Received>,
        from: SocketAddr,
        opened: Result<Opened, Rejection>,
        bytes: u64,
    ) {
        match opened {
            Ok(opened) if self.is_blocked(opened.node) => {}
            Ok(opened) => {
                self.count_message("received", kind_label(&opened.message), bytes);
                if queue.try_send(Received { from, opened }).is_err() {
                    self.metrics.rejected.with_label_values(&["queue_full"]).inc();
                }
            }
            Err(rejection) => {
                self.metrics.rejected.with_label_values(&[rejection.label()]).inc();
                log::debug!(from:% = from; "frame was dropped: {rejection}");
            }
        }
    }

    fn is_blocked(&self, node: Node) -> bool {
        self.blocked.read().unwrap_or_else(PoisonError::into_inner).contains(&node)
    }

    fn count_message(&self, direction: &str, kind: &str, bytes: u64) {
        self.metrics.messages.with_label_values(&[direction, kind]).inc();
        self.metrics.bytes.with_label_values(&[direction, kind]).inc_by(bytes);
    }
}

/// Binds UDP and TCP to the same port. With port 0, the system selects a port that is free for UDP but may be in use for
/// TCP; other ports are then tried.
async fn bind_both(address: SocketAddr) -> io::Result<(UdpSocket, TcpListener)> {
    let mut attempts = if address.port() == 0 { ANY_PORT_ATTEMPTS } else { 1 };
    loop {
        attempts -= 1;
        let socket = UdpSocket::bind(address).await?;
        match TcpListener::bind(socket.local_addr()?).await {
            Ok(listener) => return Ok((socket, listener)),
            Err(error) if attempts == 0 => return Err(error),
            Err(_) => {}
        }
    }
}

async fn send_over_tcp(to: SocketAddr, frame: &[u8]) -> io::Result<()> {
    let mut stream = TcpStream::connect(to).await?;
    let length = u32::try_from(frame.len()).map_err(io::Error::other)?;
    stream.write_u32(length).await?;
    stream.write_all(frame).await?;
    stream.shutdown().await
}

async fn receive_over_tcp(mut stream: TcpStream) -> io::Result<Vec<u8>> {
    let length = stream.read_u32().await? as usize;
    if length > MAX_FRAME_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut frame = vec![0; length];
    stream.read_exact(&mut frame).await?;
    Ok(frame)
}

/// Metric label for the kind of a message.
const fn kind_label(message: &Message) -> &'static str {
    match message {
        Message::Member(_) => "member",
        Message::Report(_) => "report",
        Message::Grant(_) => "grant",
        Message::Config(_) => "config",
        Message::Claim(_) => "claim",
        Message::Poison(_) => "poison",
        Message::Load(_) | Message::LegacyLoad => "load",
        Message::Relay(_) => "relay",
        Message::Crash(_) => "crash",
        Message::Strain(_) => "strain",
        Message::Limit(_) => "limit",
        Message::Work(_) => "work",
        Message::Permit(_) => "permit",
    }
}
