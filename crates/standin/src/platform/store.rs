//! Objects with versions, and a bounded history of their writes.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use camphorwinch_core::object::Object;

/// Kind of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Created or replaced.
    Put,
    /// Deleted.
    Delete,
}

impl Change {
    fn as_str(self) -> &'static str {
        match self {
            Change::Put => "put",
            Change::Delete => "delete",
        }
    }
}

/// Why a call was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The version given is not the stored one; with the stored object as JSON.
    Conflict(Option<Arc<str>>),
    /// There is no such object.
    Missing,
    /// The history does not reach back to the revision asked for.
    Gone,
}

#[derive(Clone, Debug)]
struct Stored {
    object: Object,
    text: Arc<str>,
}

impl Stored {
    fn new(object: Object) -> Stored {
        let text = serde_json::to_string(&object).unwrap_or_default().into();
        Stored { object, text }
    }
}

#[derive(Clone, Debug)]
struct Event {
    revision: u64,
    kind: String,
    text: Arc<str>,
}

/// What a store holds, and loses if it comes back from a copy.
#[derive(Clone, Debug, Default)]
struct Data {
    revision: u64,
    objects: BTreeMap<(String, String), Stored>,
    history: VecDeque<Event>,
}

/// Objects, revision and history.
#[derive(Clone, Debug)]
pub struct Store {
    data: Data,
    keep: usize,
    era: u64,
    copy: Data,
}

impl Store {
    /// An empty store that keeps the newest `keep` events.
    pub fn new(keep: usize) -> Store {
        Store { data: Data::default(), keep, era: 0, copy: Data::default() }
    }

    /// Revision of the last write.
    pub fn revision(&self) -> u64 {
        self.data.revision
    }

    /// How often the store came back from a copy.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Keeps a copy of all that it holds.
    pub fn keep_copy(&mut self) {
        self.copy = self.data.clone();
    }

    /// Comes back from its copy: what was written since is lost, and revisions are given out again.
    pub fn reset(&mut self) {
        self.data = self.copy.clone();
        self.era += 1;
    }

    /// All objects, or those of one kind, as JSON.
    pub fn list(&self, kind: Option<&str>) -> String {
        let fits = |it: &&Stored| kind.is_none_or(|kind| it.object.kind == kind);
        let items: Vec<&str> =
            self.data.objects.values().filter(fits).map(|it| &*it.text).collect();
        format!(r#"{{"revision":{},"items":[{}]}}"#, self.data.revision, items.join(","))
    }

    /// One object as JSON.
    pub fn get(&self, kind: &str, name: &str) -> Result<Arc<str>, Refused> {
        let key = (kind.to_owned(), name.to_owned());
        self.data.objects.get(&key).map(|it| it.text.clone()).ok_or(Refused::Missing)
    }

    /// Stores the object if its version is the stored one (0: there is none); answers it with its new version as JSON.
    pub fn put(&mut self, mut object: Object) -> Result<Arc<str>, Refused> {
        let key = (object.kind.clone(), object.name.clone());
        let current = self.data.objects.get(&key);
        let version = current.map_or(0, |it| it.object.version);
        if object.version != version {
            return Err(Refused::Conflict(current.map(|it| it.text.clone())));
        }
        self.data.revision += 1;
        object.version = self.data.revision;
        let stored = Stored::new(object);
        let text = stored.text.clone();
        self.record(Change::Put, &stored);
        self.data.objects.insert(key, stored);
        Ok(text)
    }

    /// Deletes the object if its version is the stored one; answers the revision of the deletion.
    pub fn delete(&mut self, kind: &str, name: &str, version: u64) -> Result<u64, Refused> {
        let key = (kind.to_owned(), name.to_owned());
        let current = self.data.objects.get(&key).ok_or(Refused::Missing)?;
        if current.object.version != version {
            return Err(Refused::Conflict(Some(current.text.clone())));
        }
        let mut object = current.object.clone();
        self.data.objects.remove(&key);
        self.data.revision += 1;
        object.version = self.data.revision;
        self.record(Change::Delete, &Stored::new(object));
        Ok(self.data.revision)
    }

    /// Events after a revision as JSON, oldest first; `Gone` if the history does not reach back to it.
    pub fn since(&self, revision: u64, kinds: &[String]) -> Result<Vec<Arc<str>>, Refused> {
        let oldest = self.data.revision - self.data.history.len() as u64;
        if revision < oldest || revision > self.data.revision {
            return Err(Refused::Gone);
        }
        let skipped = (revision - oldest) as usize;
        let fits = |it: &&Event| kinds.is_empty() || kinds.contains(&it.kind);
        let newer = self.data.history.iter().skip(skipped).filter(fits);
        Ok(newer.map(|it| it.text.clone()).collect())
    }

    /// The last event at or before a revision, as JSON.
    pub fn before(&self, revision: u64, kinds: &[String]) -> Option<Arc<str>> {
        let fits = |it: &&Event| kinds.is_empty() || kinds.contains(&it.kind);
        let older = self.data.history.iter().rev().filter(|it| it.revision <= revision);
        older.filter(fits).map(|it| it.text.clone()).next()
    }

    fn record(&mut self, change: Change, stored: &Stored) {
        let text = format!(r#"{{"type":"{}","object":{}}}"#, change.as_str(), stored.text);
        let kind = stored.object.kind.clone();
        self.data.history.push_back(Event {
            revision: self.data.revision,
            kind,
            text: text.into(),
        });
        if self.data.history.len() > self.keep {
            self.data.history.pop_front();
        }
    }
}
