//! Stand-ins and scenarios for the scripts of the second review. Standard library only.
//!
//! Usage: `standin SCENARIO RECORD_FILE`, from the project's root. `TROUBLE=0` leaves the disruption out.
//! Exit status: 1 the rule was broken, 0 it held, 2 the scenario could not run.

mod consumer;
mod packet;
mod platform;
mod process;
mod record;
mod scenarios;
mod site;
mod store;
mod target;

use std::process::ExitCode;

use record::Record;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [scenario, file] = &args[..] else {
        eprintln!("usage: standin SCENARIO RECORD_FILE");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(file) {
        Ok(it) => it,
        Err(e) => {
            eprintln!("{file}: {e}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("scenario {scenario}, trouble {}", u8::from(trouble)));
    let run = || scenarios::run(scenario, trouble, &record);
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run));
    let result = result.unwrap_or_else(|_| Err("panicked".to_owned()));
    match result {
        Ok(broken) => {
            record
                .line(&format!("result: the rule {}", if broken { "was broken" } else { "held" }));
            ExitCode::from(u8::from(broken))
        }
        Err(e) => {
            record.line(&format!("result: could not run: {e}"));
            eprintln!("{e}");
            ExitCode::from(2)
        }
    }
}
