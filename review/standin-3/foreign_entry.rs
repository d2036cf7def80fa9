//! Another writer leaves an entry with missing fields in the place of an engine's own, under another service.

use {
    crate::{
        engine::Engine,
        fleet::{Fleet, KEPT_KEY, Outcome, SERVICE, document, route},
    },
    std::{path::Path, thread::sleep, time::Duration},
};

const ROUTERS: usize = 6;

/// The service whose requests the entry would divert.
const MODELS: &str = "sazlik-llm";

/// `heartbeat_ms`: after this time the engine writes its own entry again.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub fn run(record: &Path, trouble: bool) -> Outcome {
    let routes = [
        route("r-lookup", "/loads/", "idempotent", SERVICE, 600),
        route("r-digest", "/digests/", "non_idempotent", MODELS, 3_000),
    ];
    let config = document(3, &routes, &[SERVICE, MODELS], &[("hule930", &[KEPT_KEY])]);
    let mut fleet = Fleet::start_with(ROUTERS, &config)?;
    for number in 0..2 {
        let id = format!("i-c04e61b{number}");
        let engine =
            Engine::start(&id, MODELS, "isparta-a", Duration::from_millis(60), &fleet.runs)?;
        fleet.store.put(&engine.key(), &engine.entry("ready"));
    }
    sleep(Duration::from_secs(1));
    for router in 0..ROUTERS {
        for _ in 0..4 {
            fleet.add_client_for(router, KEPT_KEY, "/digests/lake", Duration::from_millis(5));
        }
        fleet.add_client(router, KEPT_KEY, Duration::from_millis(40));
    }
    sleep(Duration::from_secs(2));
    let engine = fleet.engines[0].clone();
    if trouble {
        let entry = format!(
            "{{\"service\":\"{MODELS}\",\"address\":\"{}\",\"zone\":\"{}\",\"slots\":6,\"state\":\"ready\"}}",
            engine.address, engine.zone
        );
        fleet.store.put(&engine.key(), &entry);
        fleet.note(&format!("another writer leaves in {}: {entry}", engine.key()));
        sleep(HEARTBEAT);
        fleet.store.put(&engine.key(), &engine.entry("ready"));
        fleet.note("the engine has written its own entry again");
    }
    sleep(Duration::from_secs(3));
    fleet.stop_clients();
    let diverted = fleet
        .runs
        .all()
        .iter()
        .filter(|run| run.path.starts_with("/digests/") && run.engine.starts_with("i-7f3a91c"))
        .count();
    fleet.note(&format!("{diverted} requests for {MODELS} were run by an engine of {SERVICE}"));
    fleet.write_record(record)?;
    Ok(diverted == 0)
}
