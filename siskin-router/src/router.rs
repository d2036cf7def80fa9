//! Starts and stops a router.

use {
    crate::{
        caller,
        claims::Claims,
        configure,
        metrics::Metrics,
        operator,
        settings::{Secret, Settings},
        shared::{Shared, lock},
        suspect, vms,
    },
    anyhow::Context,
    siskin_member::{Action, Member, Options},
    siskin_net::control::{self, Control, Received},
    siskin_types::id::Node,
    siskin_wire::{Message, frame::Key},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        net::TcpListener,
        sync::{mpsc, watch},
        task::JoinHandle,
        time,
    },
};

/// Time between calls of the membership's timer.
const MEMBER_TICK: Duration = Duration::from_millis(50);

/// Time between load reports that the owner of a pool asks an endpoint for.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);

/// Rounds of load reports after which a router that does not own a pool asks engines that lack a model again.
const LACKING_ROUNDS: u32 = 4;

/// Frames received from other routers that wait to be handled.
const QUEUE_FRAMES: usize = 4_096;

/// A running router.
#[derive(Debug)]
pub struct Router {
    shared: Arc<Shared>,
    callers: SocketAddr,
    operators: SocketAddr,
    control: SocketAddr,
    stop: watch::Sender<bool>,
    server: JoinHandle<()>,
}

impl Router {
    /// Starts a router. Port 0 in an address takes any free port.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start(settings: Settings) -> anyhow::Result<Self> {
        let incarnation = incarnation();
        let metrics = Metrics::new().context("metrics cannot be registered")?;
        let (control, control_listener) =
            Control::bind(control_options(&settings, incarnation), metrics.control.clone())
                .await
                .with_context(|| {
                format!(
                    "cannot listen on {} for other routers; choose a free address",
                    settings.control
                )
            })?;
        let control = Arc::new(control);
        let control_address = control.address().context("control address is not known")?;
        let listener = bind(settings.listen, "callers").await?;
        let operator_listener = bind(settings.operator, "operators").await?;
        let callers = listener.local_addr().context("caller address is not known")?;
        let operators = operator_listener.local_addr().context("operator address is not known")?;
        let member = Member::new(Options {
            seeds: settings.seeds.clone(),
            ..Options::new(settings.node, control_address, &settings.data_centre, incarnation)
        });
        let shared = Arc::new(Shared::new(settings, incarnation, metrics, control, member));
        let (stop, stopped) = watch::channel(false);
        let (queue, received) = mpsc::channel(QUEUE_FRAMES);
        let server = tokio::spawn(caller::server::run(Arc::clone(&shared), listener, stopped));
        shared.spawn(Arc::clone(&shared.control).run(control_listener, queue));
        shared.spawn(receive(Arc::clone(&shared), received));
        shared.spawn(membership(Arc::clone(&shared)));
        shared.spawn(loads(Arc::clone(&shared)));
        shared.spawn(Arc::clone(&shared).refresh_endpoints_when_changed());
        shared.spawn(Claims::run(Arc::clone(&shared)));
        shared.spawn(vms::run(Arc::clone(&shared)));
        shared.spawn(configure::run(Arc::clone(&shared)));
        shared.spawn(operator::run(Arc::clone(&shared), operator_listener));
        log::info!(
            node:% = shared.settings.node,
            callers:% = callers,
            control:% = control_address,
            operators:% = operators,
            incarnation;
            "router started"
        );
        Ok(Self { shared, callers, operators, control: control_address, stop, server })
    }

    /// Address for callers.
    #[must_use]
    pub const fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Address for operators.
    #[must_use]
    pub const fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Address for other routers.
    #[must_use]
    pub const fn control(&self) -> SocketAddr {
        self.control
    }

    /// The router's metrics.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Whether the router takes requests.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.shared.refuses_work().is_none()
    }

    /// Version of the configuration in force.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.shared.view().version()
    }

    /// Routers that this one sees, itself included.
    #[must_use]
    pub fn visible(&self) -> usize {
        lock(&self.shared.member).visible()
    }

    /// Cuts this router off from some others in both directions, for tests and measurements of partitions.
    pub fn block(&self, nodes: &[Node]) {
        self.shared.control.block(nodes.iter().copied());
    }

    /// Stops in order: takes nothing new, finishes what is in flight, tells the other routers, and ends. This takes at
    /// most the notice and the stop timeout.
    pub async fn stop(self) {
        log::info!("router stops: it takes no new requests");
        self.shared.stop();
        // Readiness fails while the listener is still open, so that the balancer moves on first.
        time::sleep(self.shared.settings.stop_notice.min(self.shared.settings.stop_timeout)).await;
        // Connections and requests share one timeout.
        let deadline = time::Instant::now() + self.shared.settings.stop_timeout;
        let _ = self.stop.send(true);
        let _ = self.server.await;
        self.shared.drained(deadline).await;
        let now = self.shared.clock.now();
        let actions = lock(&self.shared.member).leave(now);
        perform(&self.shared, actions);
        self.shared.end();
        log::info!("router stopped");
    }

    /// Ends at once without finishing anything, as a crash would. For tests and measurements.
    pub fn kill(self) {
        self.shared.control.silence();
        self.server.abort();
        self.shared.end();
    }
}

/// Where and as whom the router exchanges frames.
fn control_options(settings: &Settings, incarnation: u64) -> control::Options {
    let derive = |secret: &Secret| Key::derive(secret.reveal().as_bytes());
    control::Options {
        address: settings.control,
        node: settings.node,
        incarnation,
        key: derive(&settings.fleet_key),
        next_key: settings.fleet_key_next.as_ref().map(derive),
    }
}

async fn bind(address: SocketAddr, whom: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen on {address} for {whom}; choose a free address"))
}

/// Start time in microseconds: larger than that of any earlier process of this node.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// Hands messages of other routers to the state machines.
async fn receive(shared: Arc<Shared>, mut received: mpsc::Receiver<Received>) {
    while let Some(Received { from, opened }) = received.recv().await {
        let now = shared.clock.now();
        match opened.message {
            // A member speaks only for itself; the frame says who sent it.
            Message::Member(message) if message.from.node != opened.node => {
                shared.metrics.control.rejected.with_label_values(&["wrong_sender"]).inc();
            }
            Message::Member(message) => {
                let actions = lock(&shared.member).receive(now, from, &message);
                perform(&shared, actions);
            }
            Message::Report(report) => {
                if let Some(pool) = shared.pool(report.pool) {
                    pool.reported(&shared, now, opened.node, &report);
                }
            }
            Message::Grant(grant) => {
                if let Some(pool) = shared.pool(grant.pool) {
                    pool.granted(&shared, now, opened.node, &grant);
                }
            }
            Message::Poison(message) => {
                if let Some(pool) = shared.pool(suspect::pool(&message)) {
                    pool.suspects().receive(&shared, now, opened.node, &message);
                }
            }
            Message::Claim(message) => shared.claims.receive(&shared, opened.node, &message),
            Message::Config(message) => configure::receive(&shared, opened.node, &message),
            // Routers with a scheduler share load by reports and grants.
            Message::Load(_)
            | Message::LegacyLoad
            | Message::Relay(_)
            | Message::Crash(_)
            | Message::Strain(_)
            | Message::Limit(_)
            | Message::Work(_)
            | Message::Permit(_) => {
                shared.metrics.control.rejected.with_label_values(&["unexpected"]).inc();
            }
        }
    }
}

/// Serves the timers of the membership.
async fn membership(shared: Arc<Shared>) {
    let mut interval = time::interval(MEMBER_TICK);
    loop {
        interval.tick().await;
        let actions = lock(&shared.member).tick(shared.clock.now());
        perform(&shared, actions);
    }
}

/// Carries out what the membership decided.
pub(crate) fn perform(shared: &Arc<Shared>, actions: Vec<Action>) {
    let mut changed = false;
    for action in actions {
        match action {
            Action::Send { to, message } => {
                shared.control.send(None, to, &Message::Member(message));
            }
            Action::Changed => changed = true,
            Action::Config { .. } => {}
        }
    }
    let frame_incarnation = lock(&shared.member).frame_incarnation();
    shared.control.raise_incarnation(frame_incarnation);
    if changed {
        shared.members_changed();
    }
}

/// Asks the endpoints of owned pools for their load.
async fn loads(shared: Arc<Shared>) {
    let mut interval = time::interval(LOAD_INTERVAL);
    for round in 0_u32.. {
        interval.tick().await;
        let view = shared.view();
        for pool in shared.pools() {
            if !pool.owned() {
                if round.is_multiple_of(LACKING_ROUNDS) {
                    shared.ask_lacking(&view, &pool);
                }
                continue;
            }
            for endpoint in view.endpoints(pool.name()) {
                let shared = Arc::clone(&shared);
                let pool = Arc::clone(&pool);
                let endpoint = endpoint.id;
                tokio::spawn(async move { shared.poll_load(&pool, endpoint).await });
            }
        }
    }
}
