//! Faults that a scenario injects in the middle third of its time.

use {
    crate::{
        mode::{Unknown, find},
        site::Site,
    },
    siskin_standin::{
        fault::{Command, Fault as Endpoint},
        kv,
    },
    std::{str::FromStr, time::Duration},
    tokio::time::{Instant, sleep_until},
};

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// A small customer sends three times the capacity.
    Flood,
    /// The key-value service does not answer.
    StoreOutage,
    /// The key-value service takes half a second longer.
    StoreSlow,
    /// Writes of the key-value service take effect, but their answers are lost.
    StoreLossy,
    /// Answers of the application break off after the call has run.
    LostReplies,
    /// A router dies and starts again a second later, without memory.
    Restart,
    /// Two data centres lose sight of the other two.
    Partition,
    /// Streams go silent on connections that stay open.
    Silent,
    /// A customer keeps sending a request that crashes engines.
    Crash,
    /// An engine reports that it is leaving.
    Leaving,
    /// All routers and engines of a data centre are lost at once and come back together.
    DataCentre,
    /// A quarter of the routers of a data centre is lost at once and comes back together.
    Rack,
    /// All routers die at once and start again at once, without memory.
    SiteRestart,
}

/// Data centre that is lost, or has a rack that is lost. It is not the one of the application, so the confirmations go on.
const LOST_DATA_CENTRE: &str = "dc2";

/// Racks of a data centre.
const RACKS: usize = 4;

/// Router that [`Fault::Restart`] kills; not the only one, and seldom the owner of a pool.
const VICTIM: usize = 1;

/// Added time of a slow store.
const STORE_DELAY_MS: u64 = 500;

/// Writes to the store, and answers of the application, that are lost.
const LOST: u32 = 20;

/// Time until a killed router starts again.
const ROUTER_RESTART: Duration = Duration::from_secs(1);

/// Time until a crashed engine accepts connections again.
const ENGINE_RESTART_MS: u64 = 500;

/// Streams of each engine that go silent.
const SILENT_STREAMS: u64 = 3;

/// Events after which a stream goes silent.
const SILENT_AFTER_EVENTS: u32 = 2;

/// Text of the request that crashes engines.
pub const CRASH_TEXT: &str = "crash-the-engine";

impl Fault {
    /// All faults.
    pub const ALL: [Self; 13] = [
        Self::Flood,
        Self::StoreOutage,
        Self::StoreSlow,
        Self::StoreLossy,
        Self::LostReplies,
        Self::Restart,
        Self::Partition,
        Self::Silent,
        Self::Crash,
        Self::Leaving,
        Self::DataCentre,
        Self::Rack,
        Self::SiteRestart,
    ];

    /// Its name in flags and reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Flood => "flood",
            Self::StoreOutage => "store-outage",
            Self::StoreSlow => "store-slow",
            Self::StoreLossy => "store-lossy",
            Self::LostReplies => "lost-replies",
            Self::Restart => "restart",
            Self::Partition => "partition",
            Self::Silent => "silent",
            Self::Crash => "crash",
            Self::Leaving => "leaving",
            Self::DataCentre => "data-centre",
            Self::Rack => "rack",
            Self::SiteRestart => "site-restart",
        }
    }

    /// One line of explanation.
    #[must_use]
    pub const fn summary(self) -> &'static str {
        match self {
            Self::Flood => "a small customer sends three times the capacity",
            Self::StoreOutage => "the key-value service does not answer",
            Self::StoreSlow => "the key-value service takes 500 ms longer",
            Self::StoreLossy => "20 writes to the store take effect without an answer",
            Self::LostReplies => "20 answers of the application break off after the call has run",
            Self::Restart => "a router dies and starts again a second later, without memory",
            Self::Partition => "two of four data centres lose sight of the other two",
            Self::Silent => "three streams of each engine go silent on open connections",
            Self::Crash => "a request that crashes engines is sent again and again",
            Self::Leaving => "an engine reports that it is leaving",
            Self::DataCentre => {
                "all routers and engines of one of four data centres are lost at once"
            }
            Self::Rack => "a quarter of the routers of a data centre is lost at once",
            Self::SiteRestart => "all routers die and start again at once, without memory",
        }
    }

    /// The routers that die.
    fn victims(self, site: &Site) -> Vec<usize> {
        let count = site.callers().len();
        match self {
            Self::Restart => vec![VICTIM.min(count - 1)],
            Self::DataCentre => site.routers_of(LOST_DATA_CENTRE),
            Self::Rack => {
                let mut routers = site.routers_of(LOST_DATA_CENTRE);
                routers.truncate(routers.len().div_ceil(RACKS));
                routers
            }
            Self::SiteRestart => (0..count).collect(),
            _ => Vec::new(),
        }
    }

    /// When the routers that died start again.
    fn back(self, start: Instant, end: Instant) -> Instant {
        match self {
            Self::Restart => start + ROUTER_RESTART,
            Self::SiteRestart => start,
            _ => end,
        }
    }
}

impl FromStr for Fault {
    type Err = Unknown;

    fn from_str(name: &str) -> Result<Self, Unknown> {
        find(&Self::ALL, Self::name, "fault", name)
    }
}

/// Injects `faults` between the two times.
pub(crate) async fn inject(site: &Site, faults: &[Fault], start: Instant, end: Instant) {
    sleep_until(start).await;
    for fault in faults {
        begin(site, *fault, end - start);
    }
    let mut dead = Vec::new();
    for fault in faults {
        let victims = fault.victims(site);
        site.kill_routers(&victims).await;
        dead.push((fault.back(start, end), victims));
    }
    dead.sort();
    for (back, victims) in dead {
        sleep_until(back).await;
        if let Err(error) = site.start_routers(&victims).await {
            log::error!("a router did not start again: {error:#}");
        }
    }
    sleep_until(end).await;
    for fault in faults {
        finish(site, *fault);
    }
}

fn begin(site: &Site, fault: Fault, lasts: Duration) {
    match fault {
        Fault::Flood | Fault::Restart | Fault::Rack | Fault::SiteRestart => {}
        Fault::DataCentre => site.lose_engines(LOST_DATA_CENTRE, lasts),
        Fault::StoreOutage => store(site, &kv::Command::Hang),
        Fault::StoreSlow => store(site, &kv::Command::Slow { delay_ms: STORE_DELAY_MS }),
        Fault::StoreLossy => store(site, &kv::Command::LoseAnswers { times: LOST }),
        Fault::LostReplies => {
            let fault = Endpoint::Cut { after_events: 0 };
            let command = Command { times: Some(u64::from(LOST)), ..Command::always(fault) };
            site.bookings.command(command);
        }
        Fault::Partition => site.partition(),
        Fault::Silent => {
            let fault = Endpoint::Silence { after_events: SILENT_AFTER_EVENTS };
            engines(site, &Command { times: Some(SILENT_STREAMS), ..Command::always(fault) });
        }
        Fault::Crash => {
            let text = CRASH_TEXT.to_owned();
            let fault = Endpoint::CrashOn { text, restart_ms: ENGINE_RESTART_MS };
            engines(site, &Command::always(fault));
        }
        Fault::Leaving => site.engines[0].command(Command::always(Endpoint::Leaving { on: true })),
    }
}

fn finish(site: &Site, fault: Fault) {
    match fault {
        Fault::Flood
        | Fault::Restart
        | Fault::Rack
        | Fault::SiteRestart
        | Fault::Crash
        | Fault::Leaving => {}
        Fault::DataCentre => site.engines_return(),
        Fault::StoreOutage | Fault::StoreSlow | Fault::StoreLossy => store(site, &kv::Command::Up),
        Fault::LostReplies => site.bookings.command(Command::always(Endpoint::Clear)),
        Fault::Partition => site.heal(),
        Fault::Silent => engines(site, &Command::always(Endpoint::Clear)),
    }
}

fn store(site: &Site, command: &kv::Command) {
    if let Err(error) = site.store.command(command) {
        log::error!("the store stand-in refused a command: {error}");
    }
}

fn engines(site: &Site, command: &Command) {
    for engine in &site.engines {
        engine.command(command.clone());
    }
}
