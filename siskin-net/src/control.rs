//! Frames to and from other routers.
//!
//! A frame that fits a datagram goes over UDP; a larger one goes over a TCP connection of its own, with its length
//! in front. Loss is made up for by the state machines, which repeat what was not acknowledged.

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

/// Bytes of IP and UDP header in front of a datagram, counted as control traffic.
const DATAGRAM_HEADER_BYTES: u64 = 28;

/// Bytes of header of a short TCP connection: handshake, one data segment, acknowledgements and close.
const CONNECTION_HEADER_BYTES: u64 = 320;

/// Longest time to send or receive a frame over TCP.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);

/// TCP connections from other routers that are served at the same time.
const CONNECTIONS_MAX: usize = 128;

/// Ports that are tried if any port will do.
const ANY_PORT_ATTEMPTS: u32 = 16;

/// Where frames are exchanged, and as whom.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address for UDP and TCP; port 0 takes any that is free for both.
    pub address: SocketAddr,
    /// This router.
    pub node: Node,
    /// Number that is larger than that of any earlier process of this router.
    pub incarnation: u64,
    /// Key of the fleet.
    pub key: Key,
    /// Another key to accept while the key is being changed.
    pub next_key: Option<Key>,
}

/// Counters of frames.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Control messages by direction and kind.
    pub messages: IntCounterVec,
    /// Control bytes by direction, with 28 bytes of IP and UDP header for each datagram.
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
    /// A name is taken.
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

/// Sockets for other routers.
#[derive(Debug)]
pub struct Control {
    socket: UdpSocket,
    sealer: Mutex<Sealer>,
    opener: Mutex<Opener>,
    metrics: Metrics,
    /// Whether the router was killed and must not send any more.
    silenced: AtomicBool,
    /// Nodes cut off on purpose, in tests and measurements of partitions.
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
    /// The system does not know it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Cuts this router off from some others, in both directions. For tests and measurements of partitions.
    pub fn block(&self, nodes: impl IntoIterator<Item = Node>) {
        *self.blocked.write().unwrap_or_else(PoisonError::into_inner) = nodes.into_iter().collect();
    }

    /// Sends nothing from now on, as a dead process.
    pub fn silence(&self) {
        self.silenced.store(true, Ordering::Relaxed);
    }

    /// Raises the incarnation in frames, after another router knew a later one of this node.
    pub fn raise_incarnation(&self, incarnation: u64) {
        lock(&self.sealer).raise_incarnation(incarnation);
    }

    /// Sends a message. A message that cannot be sent now is lost, as on the network.
    pub fn send(self: &Arc<Self>, node: Option<Node>, to: SocketAddr, message: &Message) {
        let blocked = node.is_some_and(|node| self.is_blocked(node));
        if blocked || self.silenced.load(Ordering::Relaxed) {
            return;
        }
        let kind = kind(message);
        let sealed = lock(&self.sealer).seal(message);
        let frame = match sealed {
            Ok(frame) => frame,
            Err(error) => {
                self.unsent("encoding");
                log::error!(kind; "message cannot be sent: {error}; report this as a fault");
                return;
            }
        };
        if frame.len() <= MAX_DATAGRAM_BYTES {
            self.count("sent", kind, frame.len() as u64 + DATAGRAM_HEADER_BYTES);
            if let Err(error) = self.socket.try_send_to(&frame, to) {
                self.unsent("socket");
                log::debug!(to:% = to, kind; "datagram was not sent: {error}");
            }
            return;
        }
        self.count("sent", kind, frame.len() as u64 + CONNECTION_HEADER_BYTES);
        let control = Arc::clone(self);
        tokio::spawn(async move {
            match timeout(CONNECTION_TIMEOUT, send_stream(to, &frame)).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => {
                    control.unsent("connection");
                    log::debug!(to:% = to, kind; "frame was not sent: {error}");
                }
                Err(_) => {
                    control.unsent("timeout");
                    log::debug!(to:% = to, kind; "frame was not sent in time");
                }
            }
        });
    }

    fn unsent(&self, reason: &str) {
        self.metrics.unsent.with_label_values(&[reason]).inc();
    }

    /// Receives frames until the router stops.
    pub async fn run(self: Arc<Self>, listener: TcpListener, queue: mpsc::Sender<Received>) {
        tokio::join!(self.receive_datagrams(&queue), self.accept(listener, &queue));
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
            self.accepted(queue, from, opened, length as u64 + DATAGRAM_HEADER_BYTES);
        }
    }

    async fn accept(self: &Arc<Self>, listener: TcpListener, queue: &mpsc::Sender<Received>) {
        let permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
        loop {
            let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
            let Ok((stream, from)) = listener.accept().await else { continue };
            let control = Arc::clone(self);
            let queue = queue.clone();
            tokio::spawn(async move {
                let _permit = permit;
                let Ok(Ok(frame)) = timeout(CONNECTION_TIMEOUT, receive_stream(stream)).await
                else {
                    control.metrics.rejected.with_label_values(&["incomplete"]).inc();
                    return;
                };
                let opened = lock(&control.opener).open(&frame);
                let bytes = frame.len() as u64 + CONNECTION_HEADER_BYTES;
                control.accepted(&queue, from, opened, bytes);
            });
        }
    }

    fn accepted(
        &self,
        queue: &mpsc::Sender<Received>,
        from: SocketAddr,
        opened: Result<Opened, Rejection>,
        bytes: u64,
    ) {
        match opened {
            Ok(opened) if self.is_blocked(opened.node) => {}
            Ok(opened) => {
                self.count("received", kind(&opened.message), bytes);
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

    fn count(&self, direction: &str, kind: &str, bytes: u64) {
        self.metrics.messages.with_label_values(&[direction, kind]).inc();
        self.metrics.bytes.with_label_values(&[direction, kind]).inc_by(bytes);
    }
}

/// Binds UDP and TCP to the same port. If any port will do, a port that is free for UDP may be taken for TCP, so
/// others are tried.
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

async fn send_stream(to: SocketAddr, frame: &[u8]) -> io::Result<()> {
    let mut stream = TcpStream::connect(to).await?;
    let length = u32::try_from(frame.len()).map_err(io::Error::other)?;
    stream.write_u32(length).await?;
    stream.write_all(frame).await?;
    stream.shutdown().await
}

async fn receive_stream(mut stream: TcpStream) -> io::Result<Vec<u8>> {
    let length = stream.read_u32().await? as usize;
    if length > MAX_FRAME_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut frame = vec![0; length];
    stream.read_exact(&mut frame).await?;
    Ok(frame)
}

/// Label of a message in metrics.
const fn kind(message: &Message) -> &'static str {
    match message {
        Message::Member(_) => "member",
        Message::Report(_) => "report",
        Message::Grant(_) => "grant",
        Message::Config(_) => "config",
        Message::Claim(_) => "claim",
        Message::Poison(_) => "poison",
        Message::Load(_) | Message::FormerLoad => "load",
        Message::Relay(_) => "relay",
    }
}
