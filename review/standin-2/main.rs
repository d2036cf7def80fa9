//! Stand-ins and cases of the second review. Usage: `review-2 CASE FOLDER`, at the root of the repository; with `TROUBLE=0` in the
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
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-2 CASE FOLDER");
        exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = Path::new(folder);
    // A run takes less than two minutes; one that does not ends here, with its processes.
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(114));
        eprintln!("the case took too long");
        router::kill_all();
        exit(2);
    });
    let code = match case.as_str() {
        "relay-freeze" => relay::run_freeze(folder, trouble),
        "relay-stop" => relay::run_stop(folder, trouble),
        "wrong-bytes" => wrong_bytes::run_once(folder, trouble),
        "endless-head" => wrong_bytes::run_endless_head(folder, trouble),
        _ => 2,
    };
    exit(code);
}
