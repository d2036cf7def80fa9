//! Stand-ins and cases of the second review. Usage: `review-2 CASE RECORD`, at the root of the repository; with `TROUBLE=0` in the
//! environment the disruption is left out.

mod engine;
mod http;
mod json;
mod record;
mod relay;
mod router;
mod site;
mod store;
mod wrong_bytes;

use std::{env, path::Path, process::exit, thread, time::Duration};

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, record] = &arguments[..] else {
        eprintln!("usage: review-2 CASE RECORD");
        exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Path::new(record);
    // A run takes less than two minutes; one that does not ends here, with its processes.
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(114));
        eprintln!("the case took too long");
        router::kill_all();
        exit(2);
    });
    let code = match case.as_str() {
        "relay-freeze" => relay::run_freeze(record, trouble),
        "relay-stop" => relay::run_stop(record, trouble),
        "wrong-bytes" => wrong_bytes::run_once(record, trouble),
        "endless-head" => wrong_bytes::run_endless_head(record, trouble),
        _ => 2,
    };
    exit(code);
}
