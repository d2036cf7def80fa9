//! The platform's list of live and leaving VMs.
//!
//! The list lags behind reality and may flap. An endpoint on a VM that is listed as leaving gets no new work for as
//! long as the list says so; a VM that is missing from the list is not taken for leaving.

use {
    crate::shared::{Shared, lock},
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Request, StatusCode, header::HOST},
    serde::Deserialize,
    siskin_member::Listed,
    std::{
        net::{IpAddr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
    tokio::time,
};

/// Time between reads of the list by a router that owns a pool, and so decides which endpoints get work.
const OWNER_INTERVAL: Duration = Duration::from_secs(1);

/// Time between reads of the list by other routers, which need it only to forget members that are gone.
const INTERVAL: Duration = Duration::from_secs(30);

/// Longest time for an answer of the platform.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Largest list: about 10,000 VMs.
const LIST_BYTES: usize = 1024 * 1024;

/// The list as the platform sends it.
#[derive(Debug, Deserialize)]
struct List {
    vms: Vec<Entry>,
}

#[derive(Debug, Deserialize)]
struct Entry {
    address: String,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Live,
    Leaving,
}

/// Where a listed VM is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Address {
    /// A whole VM.
    Vm(IpAddr),
    /// One process on a VM, for platforms that list them apart.
    Process(SocketAddr),
}

impl Address {
    fn parse(text: &str) -> Option<Self> {
        let process = text.parse().ok().map(Self::Process);
        process.or_else(|| text.parse().ok().map(Self::Vm))
    }

    const fn ip(self) -> IpAddr {
        match self {
            Self::Vm(ip) => ip,
            Self::Process(address) => address.ip(),
        }
    }

    /// Whether something that listens at `address` is meant.
    pub(crate) fn covers(self, address: SocketAddr) -> bool {
        match self {
            Self::Vm(ip) => ip == address.ip(),
            Self::Process(process) => process == address,
        }
    }
}

/// Follows the list until the router ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let Some(address) = shared.settings.vm_list else { return };
    let mut read_at: Option<time::Instant> = None;
    let mut interval = time::interval(OWNER_INTERVAL);
    loop {
        interval.tick().await;
        // A router that has just become an owner must not wait for the longer interval.
        let owner = shared.pools().iter().any(|pool| pool.owned());
        if !owner && read_at.is_some_and(|read_at| read_at.elapsed() < INTERVAL) {
            continue;
        }
        read_at = Some(time::Instant::now());
        match time::timeout(TIMEOUT, read(&shared, address)).await.ok().flatten() {
            Some(list) => take(&shared, &list),
            None => log::debug!(address:% = address; "the platform's list of VMs does not answer"),
        }
    }
}

async fn read(shared: &Shared, address: SocketAddr) -> Option<List> {
    let request = Request::get("/vms").header(HOST, address.to_string());
    let request = request.body(Full::new(Bytes::new())).ok()?;
    let mut connection = shared.upstream.open(address).await.ok()?;
    let response = connection.send(request).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let body = Limited::new(response.into_body(), LIST_BYTES).collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body)
        .inspect_err(|error| log::warn!("the platform's list of VMs is malformed: {error}"))
        .ok()
}

fn take(shared: &Arc<Shared>, list: &List) {
    let entries = list.vms.iter();
    let entries = entries.filter_map(|entry| Some((Address::parse(&entry.address)?, entry.state)));
    let entries: Vec<_> = entries.collect();
    let listed: Vec<_> = entries
        .iter()
        .map(|(address, state)| Listed { address: address.ip(), leaving: *state == State::Leaving })
        .collect();
    let actions = lock(&shared.member).set_platform_list(shared.clock.now(), &listed);
    crate::router::perform(shared, actions);
    let leaving = entries.into_iter().filter(|(_, state)| *state == State::Leaving);
    let leaving: Vec<_> = leaving.map(|(address, _)| address).collect();
    shared.set_listed_leaving(&leaving);
}
