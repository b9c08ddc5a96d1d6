//! The `explain` subcommand.

use std::{
    fs::File,
    io::{self, BufReader},
    path::Path,
    time::Duration,
};

use bpaf::Bpaf;
use camphorwinch_core::timeline::Event;
use serde_json::json;

use crate::{
    config::Flags,
    error::Error,
    explain::{Logs, Question, explain as account},
    output::{Format, Table, print, print_json, utc},
};

/// Tells from logs why an opaque flow ended as it did
///
///
/// Reads the logs of any number of processes and shows the flow's events over all of them in causal order, with the
/// changes of the processes that it has to do with, and the likely cause. The caller's or the upstream's own log gives
/// the flow of a request. Lines that can't be read are counted and passed over. Exit code 4: no line names the flow.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command)]
pub struct Explain {
    #[bpaf(external(crate::config::flags))]
    pub(crate) flags: Flags,
    /// The flow, as CALLER>SERVICE, or the caller's IP:PORT alone
    #[bpaf(argument("FLOW"))]
    flow: String,
    /// Seconds before and after the flow's lines for which changes of processes are shown, default 2
    #[bpaf(argument("SECONDS"), fallback(2))]
    around: u32,
    /// Logs to read, one or more processes in each; none or - for the standard input
    #[bpaf(positional("FILE"))]
    files: Vec<String>,
}

impl Explain {
    /// Runs the command, which needs no platform.
    pub fn run(&self, format: Format) -> Result<(), Error> {
        let logs = self.read()?;
        let around = Duration::from_secs(u64::from(self.around));
        let question = Question { flow: self.flow.clone(), around };
        let account = account(&logs, &question);
        match format {
            Format::Json => print_json(&json!({
                "flow": self.flow,
                "events": account.events,
                "cause": account.cause.to_string(),
                "unreadable": logs.unreadable(),
            }))?,
            Format::Table => {
                print(table(&account.events))?;
                print(format!("cause: {}\n", account.cause))?;
                print(format!("lines that could not be read: {}\n", logs.unreadable()))?;
            }
        }
        if account.events.is_empty() {
            let at = format!("flow {}", self.flow);
            return Err(Error::NotFound { at, peer: "the logs".to_owned() });
        }
        Ok(())
    }

    fn read(&self) -> Result<Logs, Error> {
        let mut logs = Logs::new();
        let none = ["-".to_owned()];
        let files = if self.files.is_empty() { &none[..] } else { &self.files };
        for file in files {
            let step = || format!("read the log {file}");
            if file == "-" {
                logs.read("stdin", io::stdin().lock()).map_err(|e| Error::io(step(), e))?;
                continue;
            }
            let reader = File::open(file).map_err(|e| Error::io(step(), e))?;
            let name = Path::new(file).file_stem().unwrap_or_default().to_string_lossy();
            logs.read(&name, BufReader::new(reader)).map_err(|e| Error::io(step(), e))?;
        }
        Ok(logs)
    }
}

/// The flow's own lines are marked, to tell them from those of processes.
fn table(events: &[Event]) -> Table {
    let mut table = Table::new(&["TIME", "PROCESS", "FLOW", "ID", "EVENT", "DETAILS"]);
    for it in events {
        table.push([
            utc(it.stamp.ms),
            it.process.clone(),
            it.flow.as_ref().map_or_else(String::new, |_| "*".to_owned()),
            it.id.to_string(),
            it.name.clone(),
            it.text.clone(),
        ]);
    }
    table
}
