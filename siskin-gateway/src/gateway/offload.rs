//! Relays new connections to larger routers of the data centre while this one uses most of its processor time.

use {
    super::Gateway,
    crate::{directory::hash_to_u32, peers::Listing},
    siskin_dispatch::offload::{self, Change, Offload, Target},
    siskin_net::{lock, server::Placement},
    siskin_types::id::Node,
    std::{
        collections::HashSet,
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
    tokio::{runtime::Handle, time::Instant},
};

/// What decides on new connections.
#[derive(Debug, Default)]
pub(super) struct State {
    offload: Offload,
    /// Addresses of the routers that relay connections to this one. These are served here.
    sources: HashSet<IpAddr>,
    last_sample: Option<Sample>,
}

/// Time for which the runtime was busy, up to a moment.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Instant,
    busy: Duration,
}

impl Sample {
    fn take() -> Self {
        // The program runs on a current-thread runtime, whose only worker has the number 0.
        Self { at: Instant::now(), busy: Handle::current().metrics().worker_total_busy_duration(0) }
    }

    /// Share of the time since an earlier sample in which the runtime was busy. That includes time in which it waited for its
    /// share of a processor.
    fn utilisation_since(&self, before: &Self) -> f64 {
        let elapsed = (self.at - before.at).max(Duration::from_millis(1));
        self.busy.saturating_sub(before.busy).div_duration_f64(elapsed)
    }
}

impl Gateway {
    /// Replaces the routers to which connections can be relayed.
    pub(crate) fn set_offload_targets(&self, own: Node, routers: &[Listing]) {
        let here = |listed: &&Listing| listed.router.data_centre == self.options.data_centre;
        let Some(millicores) = routers.iter().find(|listed| listed.router.node == own) else {
            return;
        };
        let millicores = millicores.router.millicores;
        let others = || routers.iter().filter(here).filter(|listed| listed.router.node != own);
        let relays_here =
            |listed: &&Listing| offload::is_larger(millicores, listed.router.millicores);
        let targets = others().filter_map(|listed| {
            let (node, address) = (listed.router.node, listed.callers?);
            Some(Target { node, address, millicores: listed.router.millicores })
        });
        let mut state = lock(&self.offload);
        state.offload.set_targets(millicores, targets);
        state.sources = others().filter(relays_here).map(|one| one.address.ip()).collect();
    }

    /// Replaces the routers that are short of processor time themselves.
    pub(crate) fn set_strained_targets(&self, strained: impl IntoIterator<Item = Node>) {
        lock(&self.offload).offload.set_strained(strained);
    }

    /// Samples the utilisation of the runtime, and logs when relaying begins or ends.
    pub(super) fn sample_utilisation(&self) {
        let sample = Sample::take();
        let mut state = lock(&self.offload);
        let Some(before) = state.last_sample.replace(sample) else { return };
        let change = state.offload.record_utilisation(sample.utilisation_since(&before));
        let utilisation = state.offload.utilisation();
        drop(state);
        self.metrics.offload.utilisation.set(utilisation);
        let rounded = format!("{utilisation:.2}");
        match change {
            Some(Change::Began) => log::warn!(
                utilisation:% = rounded;
                "router is loaded; new connections are relayed to larger routers"
            ),
            Some(Change::Ended) => log::info!(
                utilisation:% = rounded; "new connections are no longer relayed"
            ),
            None => {}
        }
    }

    /// Whether callers should close open connections, so that their next ones are relayed.
    pub(super) fn should_offload_connections(&self) -> bool {
        lock(&self.offload).offload.should_close_connections()
    }

    /// Decides where a new connection is served.
    pub(super) fn place_connection(&self, from: SocketAddr) -> Placement {
        let mut state = lock(&self.offload);
        if state.sources.contains(&from.ip().to_canonical()) {
            self.metrics.offload.connections.with_label_values(&["received"]).inc();
            return Placement::Once;
        }
        let target = state.offload.choose(u64::from(hash_to_u32(&from.to_string())));
        drop(state);
        match target {
            Some(target) => {
                self.metrics.offload.connections.with_label_values(&["sent"]).inc();
                if self.stopping() {
                    Placement::RelayInTime(target)
                } else {
                    Placement::Relay(target)
                }
            }
            None => Placement::Here,
        }
    }
}
