//! Stand-ins and scripts of the review. `standin CASE RECORD` runs a case and writes what was sent, answered and run to the file
//! RECORD; the variable TROUBLE says whether with its disruption (1) or without (0).

#![allow(dead_code)]

mod engine;
mod http;
mod json;
mod lockout;
mod restart;
mod site;
mod stop;
mod store;

use std::{env, path::Path, process::exit};

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let command = arguments.first().map_or("", String::as_str);
    if command == "engine" {
        exit(engine::run(&arguments[1..]));
    }
    let path = arguments.get(1).map_or("record.txt", String::as_str);
    let trouble = env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let record = match site::Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("the record cannot be written: {error}");
            exit(2);
        }
    };
    let ended = match command {
        "lockout" => lockout::run(&record, trouble),
        "stop" => stop::run(&record, trouble),
        "restart" => restart::run(&record, trouble),
        _ => {
            eprintln!("usage: standin lockout|stop|restart RECORD");
            exit(2);
        }
    };
    let code = ended.unwrap_or_else(|error| {
        record.say(&format!("the case cannot run: {error}"));
        2
    });
    record.say(&format!("exit {code}: {}", ["the rule held", "the rule was broken", "could not run"][code as usize]));
    exit(code);
}
