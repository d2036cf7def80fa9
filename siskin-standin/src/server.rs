//! Listener whose connections can be dropped at once and whose port can refuse for a while.

use {
    crate::{
        Error,
        body::{Body, Doubled},
        tap::{Repeat, Tap},
    },
    hyper::{Request, Response, Version, body::Incoming, service::service_fn},
    hyper_util::{
        rt::{TokioExecutor, TokioIo},
        server::conn::auto,
    },
    std::{convert::Infallible, future::Future, io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpSocket, TcpStream},
        sync::watch,
        task::JoinHandle,
    },
};

/// Pending connections the listener keeps; above the largest number of callers in a test.
const BACKLOG: u32 = 4_096;

/// Pause after a failed accept, which is caused by a lack of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// What the listener is to do; every change drops all connections.
#[derive(Clone, Copy, Debug)]
enum Phase {
    Serving,
    Down(Duration),
    Stopped,
}

/// Handle to a running listener.
#[derive(Clone, Debug)]
pub(crate) struct Listener {
    address: SocketAddr,
    phase: Arc<watch::Sender<Phase>>,
}

impl Listener {
    /// Binds `address` without serving it yet.
    pub(crate) fn bind(address: SocketAddr) -> Result<(Self, Bound), Error> {
        let failed = |source| Error::Bind { address, source };
        let holder = socket(address).map_err(failed)?;
        let address = holder.local_addr().map_err(failed)?;
        let listener = listen(address).map_err(failed)?;
        let phase = Arc::new(watch::Sender::new(Phase::Serving));
        let handle = Self { address, phase: Arc::clone(&phase) };
        Ok((handle, Bound { address, holder, listener, phase }))
    }

    /// The bound address.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops all connections and refuses new ones for `pause`.
    pub(crate) fn restart(&self, pause: Duration) {
        self.phase.send_replace(Phase::Down(pause));
    }

    /// Drops all connections, but accepts new ones.
    pub(crate) fn drop_connections(&self) {
        self.phase.send_replace(Phase::Serving);
    }

    /// Drops all connections and closes the port.
    pub(crate) fn stop(&self) {
        self.phase.send_replace(Phase::Stopped);
    }
}

/// A bound port that is not served yet.
pub(crate) struct Bound {
    address: SocketAddr,
    /// Keeps the port reserved while nothing listens on it, so that a restart finds it free.
    holder: TcpSocket,
    listener: TcpListener,
    phase: Arc<watch::Sender<Phase>>,
}

impl Bound {
    /// Serves the port with `handler` until the listener is stopped.
    pub(crate) fn serve<H, F>(self, handler: H) -> JoinHandle<()>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        tokio::spawn(self.run(handler))
    }

    async fn run<H, F>(self, handler: H)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let Self { address, holder, listener, phase: source } = self;
        let mut changes = source.subscribe();
        let mut open = Some(listener);
        loop {
            let phase = *changes.borrow_and_update();
            match phase {
                Phase::Stopped => break,
                Phase::Down(pause) => {
                    drop(open.take());
                    tokio::select! {
                        () = tokio::time::sleep(pause) => {}
                        _ = changes.changed() => continue,
                    }
                }
                Phase::Serving => {}
            }
            if open.is_none() {
                open = listen(address).ok();
            }
            let Some(listener) = &open else {
                tokio::time::sleep(ACCEPT_RETRY).await;
                continue;
            };
            let seen = changes.clone();
            tokio::select! {
                _ = changes.changed() => {}
                () = accept(listener, &source, &seen, &handler) => {}
            }
        }
        drop(holder);
    }
}

/// Accepts connections; `seen` is the phase in which the listener was opened.
async fn accept<H, F>(
    listener: &TcpListener,
    source: &watch::Sender<Phase>,
    seen: &watch::Receiver<Phase>,
    handler: &H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // A subscription made here sees only later changes, so that a connection opened
                // after a command is not dropped by it.
                let later = source.subscribe();
                // A port that was told to close accepts until the listener is dropped.
                let closing = seen.has_changed().unwrap_or(true)
                    && !matches!(*later.borrow(), Phase::Serving);
                if !closing {
                    tokio::spawn(connection(stream, later, handler.clone()));
                }
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY).await,
        }
    }
}

/// Serves one connection until it ends or the phase changes.
async fn connection<H, F>(stream: TcpStream, mut changes: watch::Receiver<Phase>, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let repeat = Repeat::default();
    let tap = Tap::new(stream, repeat.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let repeat = (request.version() == Version::HTTP_11).then(|| repeat.clone());
        let answer = handler(request);
        async move {
            let response = answer.await;
            if let (Some(repeat), Some(Doubled)) = (repeat, response.extensions().get()) {
                repeat.arm();
            }
            Ok::<_, Infallible>(response)
        }
    });
    let builder = auto::Builder::new(TokioExecutor::new());
    let served = builder.serve_connection(TokioIo::new(tap), service);
    tokio::select! {
        _ = served => {}
        _ = changes.changed() => {}
    }
}

fn socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    socket(address)?.listen(BACKLOG)
}
