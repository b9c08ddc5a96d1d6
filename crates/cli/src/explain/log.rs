//! Parser of JSON log lines.

use std::{
    collections::BTreeMap,
    io::{self, BufRead},
};

use serde_json::{Map, Value};
use time::{OffsetDateTime, format_description::well_known::Rfc3339};

use super::event_id;

/// Fields that are shown in columns of their own.
const COLUMN_FIELDS: [&str; 5] = ["timestamp", "level", "id", "name", "flow"];

/// A log line.
#[derive(Clone, Debug)]
pub struct Line {
    /// Name of the process that wrote the line.
    pub process: String,
    /// Time by the clock of the VM, in milliseconds since the Unix epoch.
    pub ms: u64,
    /// Position among all lines read.
    pub seq: u64,
    /// Event ID in the catalogue; 0 if the line has none.
    pub id: u16,
    /// Name of the event.
    pub name: String,
    fields: Map<String, Value>,
}

impl Line {
    /// Flow that the line concerns.
    pub fn flow(&self) -> Option<&str> {
        self.text("flow")
    }

    /// Address and port of the service of the line's flow.
    pub fn service(&self) -> Option<&str> {
        Some(self.flow()?.split_once('>')?.1)
    }

    /// Value of a string field.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Value of an unsigned integer field.
    pub fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field)?.as_u64()
    }

    /// Value of a Boolean field.
    pub fn flag(&self, field: &str) -> Option<bool> {
        self.fields.get(field)?.as_bool()
    }

    /// The other fields, as `name=value` pairs.
    pub fn details(&self) -> String {
        let details =
            self.fields.iter().filter(|(name, _)| !COLUMN_FIELDS.contains(&name.as_str()));
        let pair = |(name, value): (&String, &Value)| match value {
            Value::String(text) => format!("{name}={text}"),
            value => format!("{name}={value}"),
        };
        details.map(pair).collect::<Vec<_>>().join(" ")
    }
}

/// Log lines of all sources.
#[derive(Clone, Debug, Default)]
pub struct Logs {
    lines: Vec<Line>,
    addresses: BTreeMap<String, String>,
    unreadable: usize,
}

impl Logs {
    /// Creates an empty set of logs.
    pub fn new() -> Logs {
        Logs::default()
    }

    /// Reads the log lines of a source. The process name is the last word of a log collector's prefix to the line.
    /// Without a prefix it is that of the previous line (at first the name of the source), and changes at a process
    /// start. Lines that cannot be parsed are counted and skipped.
    pub fn read<R>(&mut self, source: &str, reader: R) -> io::Result<()>
    where
        R: BufRead,
    {
        let mut process = source.to_owned();
        for text in reader.split(b'\n') {
            let text = text?;
            let text = String::from_utf8_lossy(&text);
            if text.trim().is_empty() {
                continue;
            }
            match self.parse(&text, &process) {
                Some(line) => {
                    process.clone_from(&line.process);
                    self.add(line);
                }
                None => self.unreadable += 1,
            }
        }
        Ok(())
    }

    /// All parsed lines.
    pub fn lines(&self) -> &[Line] {
        &self.lines
    }

    /// Process names by address, from the process starts.
    pub fn addresses(&self) -> &BTreeMap<String, String> {
        &self.addresses
    }

    /// Number of lines that could not be parsed.
    pub fn unreadable(&self) -> usize {
        self.unreadable
    }

    fn parse(&self, text: &str, process: &str) -> Option<Line> {
        let (prefix, json) = text.split_at(text.find('{')?);
        let Value::Object(fields) = serde_json::from_str(json).ok()? else {
            return None;
        };
        let timestamp = OffsetDateTime::parse(fields.get("timestamp")?.as_str()?, &Rfc3339).ok()?;
        let text_field = |name: &str| fields.get(name).and_then(Value::as_str).map(str::to_owned);
        let id = fields.get("id").and_then(Value::as_u64).and_then(|it| it.try_into().ok());
        let id: u16 = id.unwrap_or(0);
        let started = text_field("process").filter(|_| id == event_id::STARTED);
        let prefix = prefix.split_whitespace().last().map(str::to_owned);
        Some(Line {
            process: prefix.or(started).unwrap_or_else(|| process.to_owned()),
            ms: (timestamp.unix_timestamp_nanos() / 1_000_000).try_into().ok()?,
            seq: self.lines.len() as u64,
            id,
            name: text_field("name").or_else(|| text_field("message")).unwrap_or_default(),
            fields,
        })
    }

    fn add(&mut self, line: Line) {
        if let Some(address) = line.text("address").filter(|_| line.id == event_id::STARTED) {
            self.addresses.insert(address.to_owned(), line.process.clone());
        }
        self.lines.push(line);
    }
}
