//! Manifest files: JSON files of objects.

use std::{
    collections::BTreeSet,
    io::{self, Read as _},
};

use camphorwinch_core::object::{Kind, MAX_OBJECT_BYTES, Object};
use serde::Deserialize;
use serde_json::Value;

use crate::error::Error;

const MAX_OBJECTS: usize = 4_096;
const MAX_FILE_BYTES: u64 = 256 << 20;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ManifestEntry {
    kind: String,
    name: String,
    #[serde(default)]
    version: u64,
    #[serde(default)]
    writer: String,
    spec: Value,
}

/// Reads a manifest file; `-` is standard input.
pub fn read(file: &str) -> Result<Vec<Object>, Error> {
    let operation = format!("read {file}");
    let mut text = String::new();
    let result = if file == "-" {
        io::stdin().take(MAX_FILE_BYTES).read_to_string(&mut text)
    } else {
        std::fs::File::open(file).and_then(|it| it.take(MAX_FILE_BYTES).read_to_string(&mut text))
    };
    result.map_err(|e| Error::io(&operation, e))?;
    parse(&text).map_err(|reason| Error::usage(operation, reason))
}

/// Parses one object, a list of objects, or an object with `items`. Errors contain the path of the invalid entry.
pub fn parse(text: &str) -> Result<Vec<Object>, String> {
    let value: Value = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let (path, items) = match value {
        Value::Array(items) => ("", items),
        Value::Object(mut map) if !map.contains_key("kind") && map.contains_key("items") => {
            match map.remove("items") {
                Some(Value::Array(items)) => ("items", items),
                _ => return Err("items: must be a list of objects".to_owned()),
            }
        }
        one => return parse_entry("object", one).map(|it| vec![it]),
    };
    if items.is_empty() {
        return Err("no objects".to_owned());
    }
    if items.len() > MAX_OBJECTS {
        return Err(format!("{} objects; at most {MAX_OBJECTS} are allowed", items.len()));
    }
    let mut objects = Vec::with_capacity(items.len());
    let mut names = BTreeSet::new();
    for (i, item) in items.into_iter().enumerate() {
        let object = parse_entry(&format!("{path}[{i}]"), item)?;
        if !names.insert((object.kind.clone(), object.name.clone())) {
            return Err(format!("{path}[{i}]: {}/{} stands twice", object.kind, object.name));
        }
        objects.push(object);
    }
    Ok(objects)
}

fn parse_entry(path: &str, value: Value) -> Result<Object, String> {
    let entry = ManifestEntry::deserialize(value).map_err(|e| format!("{path}: {e}"))?;
    let ManifestEntry { kind, name, version, writer, spec } = entry;
    let size = spec.to_string().len();
    if size > MAX_OBJECT_BYTES {
        return Err(format!("{path}: {size} bytes; at most {MAX_OBJECT_BYTES} are allowed"));
    }
    Ok(Object { kind, name, version, writer, spec })
}

/// Position in the write order: an object is written after the objects that it refers to.
pub fn apply_order(kind: Kind) -> usize {
    match kind {
        Kind::Keys => 0,
        Kind::Certificate => 1,
        Kind::Service => 2,
        Kind::Change => 3,
        Kind::Lease | Kind::Report | Kind::Timeline => 4,
    }
}
