//! The store is silent for a moment, just after a configuration was acknowledged. The next one comes when it is back.

use {
    crate::{
        fleet::{Fleet, KEPT_KEY, Outcome, REVOKED_KEY, config},
        store::Mode,
    },
    std::{
        path::Path,
        thread::sleep,
        time::{Duration, Instant},
    },
};

const ROUTERS: usize = 8;

/// Time from the ack of the first configuration to the outage.
const LEAD: Duration = Duration::from_millis(100);

const OUTAGE: Duration = Duration::from_millis(400);

/// `contact_ms`: so long after the end of the outage, the machines are in touch again.
const CONTACT: Duration = Duration::from_millis(3_000);

/// `config_apply_ms`.
const APPLY: Duration = Duration::from_millis(2_000);

pub fn run(record: &Path, trouble: bool) -> Outcome {
    let mut fleet = Fleet::start(ROUTERS)?;
    for router in 0..ROUTERS {
        for key in [KEPT_KEY, REVOKED_KEY] {
            fleet.add_client(router, key, Duration::from_millis(100));
        }
    }
    sleep(Duration::from_secs(1));
    fleet.store.put("op/config", &config(5, 590, true));
    fleet.note("configuration 5, with another time limit of the route, is acknowledged");
    sleep(LEAD);
    if trouble {
        set_mode(&fleet, Mode::Silent);
        fleet.note("the store is silent");
    }
    sleep(OUTAGE);
    set_mode(&fleet, Mode::Sound);
    let back = Instant::now();
    fleet.note("the store answers");
    sleep(Duration::from_millis(500));
    let acknowledged = fleet.store.put("op/config", &config(8, 590, false));
    fleet.note("configuration 8, without one of the keys, is acknowledged");
    sleep(Duration::from_secs(7));
    fleet.stop_clients();
    let bound = (back + CONTACT).max(acknowledged + APPLY);
    let late = fleet.run_after(REVOKED_KEY, bound);
    let last = late.iter().map(|sent| sent.at).max();
    let beyond = last.map_or(Duration::ZERO, |last| last - bound);
    fleet.note(&format!(
        "{} requests with the withdrawn key were sent after the bound and run, the last one {} ms after it",
        late.len(),
        beyond.as_millis()
    ));
    fleet.write_record(record)?;
    if fleet.routers.iter_mut().any(|router| router.has_ended()) {
        return Err("a router has ended by itself".into());
    }
    Ok(late.is_empty())
}

fn set_mode(fleet: &Fleet, mode: Mode) {
    for store in &fleet.stores {
        fleet.store.set_mode(*store, mode);
    }
}
