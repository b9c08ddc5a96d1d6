//! Lines of logs, read as they are found.

use std::{
    collections::BTreeMap,
    io::{self, BufRead},
};

use serde_json::{Map, Value};
use time::{OffsetDateTime, format_description::well_known::Rfc3339};

/// The line of a process's start, which names the process and its address.
const STARTED: u16 = 601;
/// Fields that have a place of their own.
const OWN_FIELDS: [&str; 5] = ["timestamp", "level", "id", "name", "flow"];

/// A line.
#[derive(Clone, Debug)]
pub struct Line {
    /// Name of the process that wrote it.
    pub process: String,
    /// When, by the clock of its VM: milliseconds since 1970.
    pub ms: u64,
    /// Its place in its source.
    pub seq: u64,
    /// Number of the event in the catalogue; 0 if the line has none.
    pub id: u16,
    /// Name of the event.
    pub name: String,
    fields: Map<String, Value>,
}

impl Line {
    /// The flow that the line is about.
    pub fn flow(&self) -> Option<&str> {
        self.text("flow")
    }

    /// A field with text.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// A field with a number.
    pub fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field)?.as_u64()
    }

    /// A field that is true or false.
    pub fn flag(&self, field: &str) -> Option<bool> {
        self.fields.get(field)?.as_bool()
    }

    /// The other fields, for people.
    pub fn details(&self) -> String {
        let others = self.fields.iter().filter(|(name, _)| !OWN_FIELDS.contains(&name.as_str()));
        let pair = |(name, value): (&String, &Value)| match value {
            Value::String(text) => format!("{name}={text}"),
            value => format!("{name}={value}"),
        };
        others.map(pair).collect::<Vec<_>>().join(" ")
    }
}

/// The lines of all sources.
#[derive(Clone, Debug, Default)]
pub struct Logs {
    lines: Vec<Line>,
    addresses: BTreeMap<String, String>,
    unreadable: usize,
}

impl Logs {
    /// Logs without a line.
    pub fn new() -> Logs {
        Logs::default()
    }

    /// Reads a source. A line may have a prefix that ends with the name of its process, as collectors write; without
    /// one, the line of the process's start names it, and before that the source does. What is no line of ours is
    /// counted and passed over.
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

    /// All lines.
    pub fn lines(&self) -> &[Line] {
        &self.lines
    }

    /// Processes by their addresses, from the lines of their starts.
    pub fn addresses(&self) -> &BTreeMap<String, String> {
        &self.addresses
    }

    /// Lines that could not be read.
    pub fn unreadable(&self) -> usize {
        self.unreadable
    }

    fn parse(&self, text: &str, process: &str) -> Option<Line> {
        let (prefix, json) = text.split_at(text.find('{')?);
        let Value::Object(fields) = serde_json::from_str(json).ok()? else {
            return None;
        };
        let at = OffsetDateTime::parse(fields.get("timestamp")?.as_str()?, &Rfc3339).ok()?;
        let word = |name: &str| fields.get(name).and_then(Value::as_str).map(str::to_owned);
        let id = fields.get("id").and_then(Value::as_u64).and_then(|it| it.try_into().ok());
        let id: u16 = id.unwrap_or(0);
        let started = word("process").filter(|_| id == STARTED);
        let prefix = prefix.split_whitespace().last().map(str::to_owned);
        Some(Line {
            process: prefix.or(started).unwrap_or_else(|| process.to_owned()),
            ms: (at.unix_timestamp_nanos() / 1_000_000).try_into().ok()?,
            seq: self.lines.len() as u64,
            id,
            name: word("name").or_else(|| word("message")).unwrap_or_default(),
            fields,
        })
    }

    fn add(&mut self, line: Line) {
        if let Some(address) = line.text("address").filter(|_| line.id == STARTED) {
            self.addresses.insert(address.to_owned(), line.process.clone());
        }
        self.lines.push(line);
    }
}
