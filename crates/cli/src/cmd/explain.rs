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
    explain::{FlowQuery, Logs, explain as explain_flow},
    output::{Format, Table, print, print_json, utc},
};

/// Explains from logs why an opaque flow ended as it did
///
///
/// Reads the logs of any number of processes. Shows the events of the flow and of the processes that handled it in
/// causal order, and the likely cause of the outcome. To find the flow of a request, see the log of the caller or of
/// the upstream. Lines that cannot be parsed are counted and skipped. Exit code 4: no line names the flow.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command)]
pub struct Explain {
    #[bpaf(external(crate::config::flags))]
    pub(crate) flags: Flags,
    /// The flow, as CALLER>SERVICE, or the caller's IP:PORT alone
    #[bpaf(argument("FLOW"))]
    flow: String,
    /// Seconds before and after the flow's lines for which process events are shown; default 2
    #[bpaf(argument("SECONDS"), fallback(2))]
    around: u32,
    /// Log files, each of one or more processes; - or no file for standard input
    #[bpaf(positional("FILE"))]
    files: Vec<String>,
}

impl Explain {
    /// Runs the command without the platform.
    pub fn run(&self, format: Format) -> Result<(), Error> {
        let logs = self.read()?;
        let window = Duration::from_secs(u64::from(self.around));
        let query = FlowQuery { flow: self.flow.clone(), window };
        let explanation = explain_flow(&logs, &query);
        match format {
            Format::Json => print_json(&json!({
                "flow": self.flow,
                "events": explanation.events,
                "cause": explanation.cause.to_string(),
                "delays": explanation.delays.iter().map(ToString::to_string).collect::<Vec<_>>(),
                "unreadable": logs.unreadable(),
            }))?,
            Format::Table => {
                print(events_table(&explanation.events))?;
                print(format!("cause: {}\n", explanation.cause))?;
                for delay in &explanation.delays {
                    print(format!("besides: {delay}\n"))?;
                }
                print(format!("lines that could not be parsed: {}\n", logs.unreadable()))?;
            }
        }
        if explanation.events.is_empty() {
            let object = format!("flow {}", self.flow);
            return Err(Error::NotFound { object, peer: "the logs".to_owned() });
        }
        Ok(())
    }

    fn read(&self) -> Result<Logs, Error> {
        let mut logs = Logs::new();
        let stdin = ["-".to_owned()];
        let files = if self.files.is_empty() { &stdin[..] } else { &self.files };
        for file in files {
            let operation = || format!("read the log {file}");
            if file == "-" {
                logs.read("stdin", io::stdin().lock()).map_err(|e| Error::io(operation(), e))?;
                continue;
            }
            let reader = File::open(file).map_err(|e| Error::io(operation(), e))?;
            let name = Path::new(file).file_stem().unwrap_or_default().to_string_lossy();
            logs.read(&name, BufReader::new(reader)).map_err(|e| Error::io(operation(), e))?;
        }
        Ok(logs)
    }
}

/// The FLOW column marks the events of the flow with `*`.
fn events_table(events: &[Event]) -> Table {
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
