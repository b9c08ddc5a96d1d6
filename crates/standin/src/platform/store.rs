//! Versioned objects and a bounded history of their writes.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use camphorwinch_core::object::Object;

/// Type of a write.
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

/// Why an operation failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The version is not the stored one; carries the stored object as JSON, if there is one.
    Conflict(Option<Arc<str>>),
    /// The object does not exist.
    NotFound,
    /// The requested revision is not in the history.
    Gone,
}

/// An object with its JSON text.
#[derive(Clone, Debug)]
struct StoredObject {
    object: Object,
    text: Arc<str>,
}

impl StoredObject {
    fn new(object: Object) -> StoredObject {
        let text = serde_json::to_string(&object).unwrap_or_default().into();
        StoredObject { object, text }
    }
}

#[derive(Clone, Debug)]
struct Event {
    revision: u64,
    kind: String,
    text: Arc<str>,
}

/// Content of a store; replaced when the store is restored from its backup.
#[derive(Clone, Debug, Default)]
struct Data {
    revision: u64,
    objects: BTreeMap<(String, String), StoredObject>,
    history: VecDeque<Event>,
}

/// In-memory object store with a history of events and one backup.
#[derive(Clone, Debug)]
pub struct Store {
    data: Data,
    history_limit: usize,
    era: u64,
    backup: Data,
}

impl Store {
    /// Creates an empty store that keeps the newest `history_limit` events.
    pub fn new(history_limit: usize) -> Store {
        Store { data: Data::default(), history_limit, era: 0, backup: Data::default() }
    }

    /// Revision of the last write.
    pub fn revision(&self) -> u64 {
        self.data.revision
    }

    /// Number of restores from the backup.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Replaces the backup by the current content.
    pub fn save_backup(&mut self) {
        self.backup = self.data.clone();
    }

    /// Restores the backup: later writes are lost, and their revisions are assigned again.
    pub fn restore(&mut self) {
        self.data = self.backup.clone();
        self.era += 1;
    }

    /// Lists all objects, or those of one kind, as JSON.
    pub fn list(&self, kind: Option<&str>) -> String {
        let matches = |it: &&StoredObject| kind.is_none_or(|kind| it.object.kind == kind);
        let items: Vec<&str> =
            self.data.objects.values().filter(matches).map(|it| &*it.text).collect();
        format!(r#"{{"revision":{},"items":[{}]}}"#, self.data.revision, items.join(","))
    }

    /// Returns an object as JSON.
    pub fn get(&self, kind: &str, name: &str) -> Result<Arc<str>, StoreError> {
        let key = (kind.to_owned(), name.to_owned());
        self.data.objects.get(&key).map(|it| it.text.clone()).ok_or(StoreError::NotFound)
    }

    /// Stores the object if its version is the stored one (0 to create it); returns it with its new version as JSON.
    pub fn put(&mut self, mut object: Object) -> Result<Arc<str>, StoreError> {
        let key = (object.kind.clone(), object.name.clone());
        let current = self.data.objects.get(&key);
        let version = current.map_or(0, |it| it.object.version);
        if object.version != version {
            return Err(StoreError::Conflict(current.map(|it| it.text.clone())));
        }
        self.data.revision += 1;
        object.version = self.data.revision;
        let stored = StoredObject::new(object);
        let text = stored.text.clone();
        self.record(Change::Put, &stored);
        self.data.objects.insert(key, stored);
        Ok(text)
    }

    /// Deletes the object if its version is the stored one; returns the revision of the deletion.
    pub fn delete(&mut self, kind: &str, name: &str, version: u64) -> Result<u64, StoreError> {
        let key = (kind.to_owned(), name.to_owned());
        let current = self.data.objects.get(&key).ok_or(StoreError::NotFound)?;
        if current.object.version != version {
            return Err(StoreError::Conflict(Some(current.text.clone())));
        }
        let mut object = current.object.clone();
        self.data.objects.remove(&key);
        self.data.revision += 1;
        object.version = self.data.revision;
        self.record(Change::Delete, &StoredObject::new(object));
        Ok(self.data.revision)
    }

    /// Returns the events after a revision as JSON, oldest first; `Gone` if the revision is not in the history.
    pub fn events_since(
        &self,
        revision: u64,
        kinds: &[String],
    ) -> Result<Vec<Arc<str>>, StoreError> {
        let oldest = self.data.revision - self.data.history.len() as u64;
        if revision < oldest || revision > self.data.revision {
            return Err(StoreError::Gone);
        }
        let skip = (revision - oldest) as usize;
        let matches = |it: &&Event| kinds.is_empty() || kinds.contains(&it.kind);
        let newer = self.data.history.iter().skip(skip).filter(matches);
        Ok(newer.map(|it| it.text.clone()).collect())
    }

    /// Returns the last event at or before a revision as JSON.
    pub fn last_event_until(&self, revision: u64, kinds: &[String]) -> Option<Arc<str>> {
        let matches = |it: &&Event| kinds.is_empty() || kinds.contains(&it.kind);
        let older = self.data.history.iter().rev().filter(|it| it.revision <= revision);
        older.filter(matches).map(|it| it.text.clone()).next()
    }

    fn record(&mut self, change: Change, stored: &StoredObject) {
        let text = format!(r#"{{"type":"{}","object":{}}}"#, change.as_str(), stored.text);
        let kind = stored.object.kind.clone();
        self.data.history.push_back(Event {
            revision: self.data.revision,
            kind,
            text: text.into(),
        });
        if self.data.history.len() > self.history_limit {
            self.data.history.pop_front();
        }
    }
}
