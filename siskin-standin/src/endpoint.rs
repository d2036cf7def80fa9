//! What engines and applications have in common: slots, load reports, and faults on command.

use {
    crate::{
        body::{self, Body},
        fault::{Command, Fault, Plan},
        load::{Lagged, Load},
        run::{End, History, Number},
        server::Listener,
    },
    hyper::{Method, Response, StatusCode},
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// Slots and load of one life of the endpoint's process.
#[derive(Debug)]
pub(crate) struct Life {
    pub(crate) number: u64,
    pub(crate) load: Lagged<Load>,
    pub(crate) slots: Arc<Semaphore>,
}

impl Life {
    /// Starts with the slots of `load`.
    pub(crate) fn new(load_lag: Duration, load: Load) -> Arc<Self> {
        let slots = Arc::new(Semaphore::new(load.slots as usize));
        Arc::new(Self { number: load.instance, load: Lagged::new(load_lag, load), slots })
    }

    /// Whether the process has died.
    pub(crate) fn is_dead(&self) -> bool {
        self.slots.is_closed()
    }
}

/// One life of an endpoint's process with what it keeps in memory; a crash begins a new one.
pub(crate) trait Instance {
    /// How the endpoint behaves.
    type Options;

    /// Starts a life.
    fn new(number: u64, options: &Self::Options, leaving: bool) -> Self;

    /// Its slots and load.
    fn life(&self) -> &Arc<Life>;

    /// Ends what the death of the process ends, beside the slots.
    fn abort(&self);
}

/// An endpoint behind its listener.
#[derive(Debug)]
pub(crate) struct Endpoint<I: Instance> {
    pub(crate) options: Arc<I::Options>,
    pub(crate) listener: Listener,
    pub(crate) plan: Arc<Plan>,
    pub(crate) history: Arc<History>,
    instance: Mutex<Arc<I>>,
    /// Whether faults are taken over HTTP.
    control: bool,
}

impl<I: Instance> Endpoint<I> {
    pub(crate) fn new(options: I::Options, listener: Listener, control: bool) -> Self {
        let instance = I::new(crate::instance_after(0), &options, false);
        Self {
            options: Arc::new(options),
            listener,
            plan: Arc::default(),
            history: Arc::default(),
            instance: Mutex::new(Arc::new(instance)),
            control,
        }
    }

    pub(crate) fn instance(&self) -> Arc<I> {
        Arc::clone(&crate::lock(&self.instance))
    }

    /// The true load.
    pub(crate) fn load(&self) -> Load {
        self.instance().life().load.current()
    }

    /// Stops it and drops all connections.
    pub(crate) fn stop(&self) {
        self.listener.stop();
        self.history.crashed();
        kill(&*self.instance());
    }

    /// Carries out a fault command.
    pub(crate) fn command(&self, command: Command) {
        if let Fault::Crash { restart_ms } = command.fault {
            return self.crash(Duration::from_millis(restart_ms));
        }
        self.plan.command(command);
        let leaving = self.plan.leaving();
        self.instance().life().load.change(|load| load.leaving = leaving);
    }

    /// Dies; the next instance accepts connections after `pause`.
    pub(crate) fn crash(&self, pause: Duration) {
        self.listener.restart(pause);
        self.history.crashed();
        let mut instance = crate::lock(&self.instance);
        kill(&**instance);
        let number = crate::instance_after(instance.life().number);
        *instance = Arc::new(I::new(number, &self.options, self.plan.leaving()));
    }

    /// Answers a request for the load or to inject faults; none if it is another one.
    pub(crate) fn handle(
        &self,
        method: &Method,
        path: &str,
        bytes: &[u8],
    ) -> Option<Response<Body>> {
        match (method, path) {
            (&Method::GET, "/load") => {
                Some(body::json(StatusCode::OK, &self.instance().life().load.reported()))
            }
            (&Method::POST, "/control") if self.control => Some(self.control(bytes)),
            (&Method::GET, "/control") if self.control => {
                Some(body::json(StatusCode::OK, &self.history.counts()))
            }
            _ => None,
        }
    }

    fn control(&self, bytes: &[u8]) -> Response<Body> {
        match serde_json::from_slice::<Command>(bytes) {
            Ok(command) => {
                self.command(command);
                body::json(StatusCode::OK, &serde_json::json!({}))
            }
            Err(error) => body::error(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }
}

fn kill(instance: &impl Instance) {
    instance.life().slots.close();
    instance.abort();
}

/// Keeps the counters right however a request ends.
pub(crate) struct Guard {
    life: Arc<Life>,
    history: Arc<History>,
    pub(crate) number: Number,
    /// Dropped after the counters are updated, so that they never exceed the slots.
    slot: Option<OwnedSemaphorePermit>,
    pub(crate) completed: bool,
}

impl Guard {
    /// Counts a request that has a slot or waits for one.
    pub(crate) fn new(
        life: Arc<Life>,
        history: Arc<History>,
        number: Number,
        slot: Option<OwnedSemaphorePermit>,
    ) -> Self {
        life.load.change(|load| match slot {
            Some(_) => load.running += 1,
            None => load.waiting += 1,
        });
        Self { life, history, number, slot, completed: false }
    }

    /// Waits for a slot unless it has one; false if the process dies meanwhile.
    pub(crate) async fn wait(&mut self) -> bool {
        if self.slot.is_none() {
            let slots = Arc::clone(&self.life.slots);
            let Ok(slot) = slots.acquire_owned().await else { return false };
            self.slot = Some(slot);
            self.life.load.change(|load| {
                load.waiting -= 1;
                load.running += 1;
            });
        }
        true
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let running = self.slot.is_some();
        self.life.load.change(|load| {
            let count = if running { &mut load.running } else { &mut load.waiting };
            *count -= 1;
        });
        let end = if self.completed { End::Completed } else { End::Cancelled };
        self.history.ended(self.number, end);
    }
}
