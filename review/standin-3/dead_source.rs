//! The store turns two routers away. Most of the others, among them the one that told them first of a newer configuration, are lost.

use {
    crate::{
        fleet::{Fleet, KEPT_KEY, Outcome, REVOKED_KEY, config},
        store::Mode,
    },
    std::{path::Path, thread::sleep, time::Duration},
};

const ROUTERS: usize = 8;

/// The routers that the store turns away.
const TURNED_AWAY: [usize; 2] = [6, 7];

/// The router that stays beside them.
const SURVIVOR: usize = 5;

/// How long the store turns the routers away: the largest dose of a site file.
const TURNED_AWAY_TIME: Duration = Duration::from_secs(9);

/// `config_apply_ms` and `max_stretch_ms`.
const BOUND: Duration = Duration::from_millis(2_000 + 5_000);

pub fn run(folder: &Path, trouble: bool) -> Outcome {
    let mut fleet = Fleet::start(ROUTERS)?;
    for router in 0..ROUTERS {
        for key in [KEPT_KEY, REVOKED_KEY] {
            fleet.add_client(router, key, Duration::from_millis(80));
        }
    }
    sleep(Duration::from_secs(1));
    if trouble {
        for router in TURNED_AWAY {
            fleet.store.set_mode(fleet.stores[router], Mode::Busy);
        }
        fleet.note(&format!("the store turns routers {TURNED_AWAY:?} away with 503"));
    }
    sleep(Duration::from_millis(700));
    let acknowledged = fleet.store.put("op/config", &config(5, 600, false));
    fleet.note("configuration 5, without one of the keys, is acknowledged");
    sleep(Duration::from_millis(150));
    if trouble {
        for router in 0..SURVIVOR {
            fleet.routers[router].kill();
        }
        fleet.note(&format!("routers 0 to {} are lost for good", SURVIVOR - 1));
    }
    sleep(TURNED_AWAY_TIME - Duration::from_millis(850));
    for router in TURNED_AWAY {
        fleet.store.set_mode(fleet.stores[router], Mode::Sound);
    }
    fleet.note("the store serves all routers again");
    sleep(Duration::from_secs(5));
    fleet.stop_clients();
    let late = fleet.run_after(REVOKED_KEY, acknowledged + BOUND);
    for router in TURNED_AWAY {
        let asked =
            fleet.routers[router].log_lines("versions are older than those of a peer").len();
        let text = "asked another router for the newer configuration";
        fleet.note(&format!("router {router} {text} {asked} times"));
    }
    fleet.note(&format!(
        "{} requests with the withdrawn key were sent more than {} ms after the ack and run",
        late.len(),
        BOUND.as_millis()
    ));
    fleet.write_record(folder)?;
    if fleet.routers[SURVIVOR..].iter_mut().any(|router| router.has_ended()) {
        return Err("a router has ended by itself".into());
    }
    Ok(late.is_empty())
}
