//! Output of commands.

use std::{
    fmt,
    io::{self, Write as _},
    time::Duration,
};

use camphorwinch_core::object::{Kind, Object};
use serde::Serialize;
use serde_json::{Value, json};
use time::{OffsetDateTime, format_description::well_known::Rfc3339};

use crate::error::Error;

/// Replaces a secret in the output.
pub const HIDDEN_SECRET: &str = "(hidden)";

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Aligned columns.
    Table,
    /// JSON, for scripts.
    Json,
}

impl Format {
    /// Parses the name of a format.
    pub fn parse(s: &str) -> Option<Format> {
        match s {
            "table" => Some(Format::Table),
            "json" => Some(Format::Json),
            _ => None,
        }
    }
}

/// Table printed as aligned columns.
#[derive(Clone, Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    pub fn new(headings: &[&str]) -> Table {
        Table { rows: vec![headings.iter().map(|it| (*it).to_owned()).collect()] }
    }

    /// Adds a row. Control characters are replaced, so that a cell cannot break the layout or send terminal escapes.
    pub fn push<I>(&mut self, cells: I)
    where
        I: IntoIterator<Item = String>,
    {
        let sanitize = |it: String| it.replace(char::is_control, " ");
        self.rows.push(cells.into_iter().map(sanitize).collect());
    }

    /// Whether the table has no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.len() <= 1
    }

    fn widths(&self) -> Vec<usize> {
        let mut widths = Vec::new();
        for row in &self.rows {
            widths.resize(widths.len().max(row.len()), 0);
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = cell.chars().count().max(*width);
            }
        }
        widths
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(&format!("{cell:width$}  "));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}

/// Prints text to standard output.
pub fn print<T>(text: T) -> Result<(), Error>
where
    T: fmt::Display,
{
    let mut out = io::stdout().lock();
    let result = write!(out, "{text}").and_then(|()| out.flush());
    match result {
        Err(e) if e.kind() == io::ErrorKind::BrokenPipe => Err(Error::StdoutClosed),
        result => result.map_err(|e| Error::io("write to standard output", e)),
    }
}

/// Prints a value as indented JSON.
pub fn print_json<T>(value: &T) -> Result<(), Error>
where
    T: Serialize,
{
    let text = serde_json::to_string_pretty(value)
        .map_err(|e| Error::io("encode the output", e.into()))?;
    print(text + "\n")
}

/// Prints a value as one line of JSON.
pub fn print_json_line<T>(value: &T) -> Result<(), Error>
where
    T: Serialize,
{
    let text =
        serde_json::to_string(value).map_err(|e| Error::io("encode the output", e.into()))?;
    print(text + "\n")
}

/// Returns a copy of the object with its secrets replaced by [`HIDDEN_SECRET`].
pub fn redact(object: &Object) -> Object {
    let mut object = object.clone();
    match Kind::parse(&object.kind) {
        Some(Kind::Certificate) => hide_field(&mut object.spec, "key_pem"),
        Some(Kind::Keys) => {
            hide_field(&mut object.spec, "reset");
            let keys = object.spec.get_mut("keys").and_then(Value::as_array_mut);
            for key in keys.into_iter().flatten() {
                hide_field(key, "secret");
            }
        }
        _ => {}
    }
    object
}

fn hide_field(value: &mut Value, field: &str) {
    if let Some(it) = value.get_mut(field) {
        *it = json!(HIDDEN_SECRET);
    }
}

/// Formats an object as indented JSON without its secrets.
pub fn pretty(object: &Object) -> String {
    let value = json!(redact(object));
    format!("{value:#}")
}

/// Formats milliseconds since the Unix epoch as UTC; a dash for 0.
pub fn utc(ms: u64) -> String {
    if ms == 0 {
        return "-".to_owned();
    }
    let at = OffsetDateTime::from_unix_timestamp_nanos(i128::from(ms) * 1_000_000);
    at.ok().and_then(|it| it.format(&Rfc3339).ok()).unwrap_or_else(|| format!("{ms} ms"))
}

/// Formats the age of a time, such as `12s`; a dash for 0.
pub fn age(now_ms: u64, ms: u64) -> String {
    if ms == 0 {
        return "-".to_owned();
    }
    let age = Duration::from_millis(now_ms.saturating_sub(ms)).as_secs();
    match age {
        0..120 => format!("{age}s"),
        120..7_200 => format!("{}m", age / 60),
        7_200..172_800 => format!("{}h", age / 3_600),
        _ => format!("{}d", age / 86_400),
    }
}

/// Text of an optional cell; a dash for `None`.
pub fn optional_cell(text: &Option<String>) -> String {
    text.clone().unwrap_or_else(|| "-".to_owned())
}
