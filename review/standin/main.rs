//! Stand-ins for the platform's store, the routers, consumers and targets, and the scripts of the review's cases.
//!
//! Uses the standard library only. Usage: `standin CASE FOLDER TROUBLE`, run from the project's root. Writes
//! `FOLDER/record.txt`. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.

mod cases;
mod consumer;
mod http;
mod json;
mod machines;
mod packet;
mod record;
mod store;
mod target;

use std::{panic::catch_unwind, process::exit};

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder, trouble] = &args[..] else {
        eprintln!("usage: standin CASE FOLDER TROUBLE");
        exit(2);
    };
    let trouble = trouble != "0";
    let result = catch_unwind(|| cases::run(case, folder, trouble));
    match result {
        Ok(Ok(true)) => exit(0),
        Ok(Ok(false)) => exit(1),
        Ok(Err(e)) => {
            eprintln!("the case could not run: {e}");
            exit(2);
        }
        Err(_) => exit(2),
    }
}
