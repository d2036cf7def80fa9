//! Stand-ins and scenarios of the third review: `standin-3 CASE RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. Without `TROUBLE=0` the disruption of the
//! case is part of the run. Uses the standard library only.

mod client;
mod engine;
mod fleet;
mod foreign_entry;
mod http;
mod json;
mod newcomer;
mod router;
mod short_outage;
mod store;

use std::{env, path::PathBuf, process::ExitCode};

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, record] = arguments.as_slice() else {
        eprintln!("usage: standin-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = PathBuf::from(record);
    let result = match case.as_str() {
        "short-outage" => short_outage::run(&record, trouble),
        "newcomer" => newcomer::run(&record, trouble),
        "foreign-entry" => foreign_entry::run(&record, trouble),
        _ => Err(format!("there is no case '{case}'").into()),
    };
    match result {
        Ok(true) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("the rule was broken; see record.txt");
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
