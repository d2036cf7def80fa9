//! Machines are replaced: one is added, and the ones that its settings name are stopped and leave. The store turns the new one away.

use {
    crate::{
        fleet::{Fleet, KEPT_KEY, Outcome, REVOKED_KEY, config},
        router,
        store::Mode,
    },
    std::{
        path::Path,
        thread::sleep,
        time::{Duration, Instant},
    },
};

/// Machines before one is added.
const ROUTERS: usize = 7;

/// Machines that the settings of the added one name.
const SEEDS: usize = 3;

/// Time from the SIGTERM of the machines that leave to the start of the new one.
const LEAD: Duration = Duration::from_millis(1_900);

/// How long the store turns the router away: the largest dose of a site file.
const TURNED_AWAY_TIME: Duration = Duration::from_secs(9);

/// `config_apply_ms` and `max_stretch_ms`.
const BOUND: Duration = Duration::from_millis(2_000 + 5_000);

pub fn run(record: &Path, trouble: bool) -> Outcome {
    let mut fleet = Fleet::start(ROUTERS)?;
    for router in SEEDS..ROUTERS {
        fleet.add_client(router, KEPT_KEY, Duration::from_millis(80));
    }
    sleep(Duration::from_secs(1));
    for seed in 0..SEEDS {
        fleet.routers[seed].terminate()?;
    }
    fleet.note("routers 0 to 2 get SIGTERM and leave");
    sleep(LEAD);
    let mode = if trouble { Mode::Busy } else { Mode::Sound };
    let added = fleet.add_router(mode)?;
    let turned_away = Instant::now();
    fleet.note(&format!("router {added} is added; the store is {mode:?} for it"));
    if !router::wait_until_ready(&fleet.routers[added..], Duration::from_millis(1_000)) {
        return Err("the added router did not become ready".into());
    }
    fleet.note(&format!("router {added} is ready"));
    for key in [KEPT_KEY, REVOKED_KEY] {
        fleet.add_client(added, key, Duration::from_millis(80));
    }
    while !fleet.routers[..SEEDS].iter_mut().all(|seed| seed.has_ended()) {
        if turned_away.elapsed() > Duration::from_millis(1_800) {
            return Err("the stopped routers did not end in time".into());
        }
        sleep(Duration::from_millis(10));
    }
    fleet.note("routers 0 to 2 have ended");
    let acknowledged = fleet.store.put("op/config", &config(5, 600, false));
    fleet.note("configuration 5, without one of the keys, is acknowledged");
    sleep(TURNED_AWAY_TIME.saturating_sub(turned_away.elapsed()));
    fleet.store.set_mode(fleet.stores[added], Mode::Sound);
    fleet.note("the store serves all routers");
    sleep(Duration::from_secs(4));
    fleet.stop_clients();
    let late = fleet.run_after(REVOKED_KEY, acknowledged + BOUND);
    fleet.note(&format!(
        "{} requests with the withdrawn key were sent more than {} ms after the ack and run",
        late.len(),
        BOUND.as_millis()
    ));
    fleet.write_record(record)?;
    if fleet.routers[SEEDS..].iter_mut().any(|router| router.has_ended()) {
        return Err("a router has ended by itself".into());
    }
    Ok(late.is_empty())
}
