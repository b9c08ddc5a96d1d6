//! Files with objects.

use std::{
    collections::BTreeSet,
    io::{self, Read as _},
};

use camphorwinch_core::object::{Kind, MAX_OBJECT, Object};
use serde::Deserialize;
use serde_json::Value;

use crate::error::Error;

/// Most objects in one file.
const MAX_ITEMS: usize = 4_096;
/// Longest file, in bytes.
const MAX_FILE: u64 = 256 << 20;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Entry {
    kind: String,
    name: String,
    #[serde(default)]
    version: u64,
    #[serde(default)]
    writer: String,
    spec: Value,
}

/// Reads a file; `-` is the standard input.
pub fn read(path: &str) -> Result<Vec<Object>, Error> {
    let step = format!("read {path}");
    let mut text = String::new();
    let result = if path == "-" {
        io::stdin().take(MAX_FILE).read_to_string(&mut text)
    } else {
        std::fs::File::open(path).and_then(|it| it.take(MAX_FILE).read_to_string(&mut text))
    };
    result.map_err(|e| Error::io(&step, e))?;
    parse(&text).map_err(|reason| Error::usage(step, reason))
}

/// Parses one object, a list of objects, or an object with `items`. The error names the entry.
pub fn parse(text: &str) -> Result<Vec<Object>, String> {
    let value: Value = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let (at, items) = match value {
        Value::Array(items) => ("", items),
        Value::Object(mut map) if !map.contains_key("kind") && map.contains_key("items") => {
            match map.remove("items") {
                Some(Value::Array(items)) => ("items", items),
                _ => return Err("items: must be a list of objects".to_owned()),
            }
        }
        one => return entry("the object", one).map(|it| vec![it]),
    };
    if items.is_empty() {
        return Err("no objects".to_owned());
    }
    if items.len() > MAX_ITEMS {
        return Err(format!("{} objects; at most {MAX_ITEMS} are allowed", items.len()));
    }
    let mut objects = Vec::with_capacity(items.len());
    let mut names = BTreeSet::new();
    for (i, item) in items.into_iter().enumerate() {
        let object = entry(&format!("{at}[{i}]"), item)?;
        if !names.insert((object.kind.clone(), object.name.clone())) {
            return Err(format!("{at}[{i}]: {}/{} stands twice", object.kind, object.name));
        }
        objects.push(object);
    }
    Ok(objects)
}

fn entry(at: &str, value: Value) -> Result<Object, String> {
    let entry = Entry::deserialize(value).map_err(|e| format!("{at}: {e}"))?;
    let Entry { kind, name, version, writer, spec } = entry;
    let size = spec.to_string().len();
    if size > MAX_OBJECT {
        return Err(format!("{at}: {size} bytes; at most {MAX_OBJECT} are allowed"));
    }
    Ok(Object { kind, name, version, writer, spec })
}

/// Place in the order of writing: an object comes after those that it refers to.
pub fn rank(kind: Kind) -> usize {
    match kind {
        Kind::Keys => 0,
        Kind::Certificate => 1,
        Kind::Service => 2,
        Kind::Change => 3,
        Kind::Lease | Kind::Report | Kind::Timeline => 4,
    }
}
