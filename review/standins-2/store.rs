//! The platform's store: objects by kind and name, conditions, lists and watches. It loses and delays nothing, unless a
//! scenario tells it to.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::platform::{self, Request};

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    /// JSON text.
    spec: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Every change: revision, kind, removed, object as JSON text.
    history: Vec<(u64, String, bool, String)>,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>, Arc<AtomicU64>);

impl Store {
    pub fn start(address: SocketAddrV4) -> std::io::Result<Store> {
        let store = Store::default();
        let it = store.clone();
        platform::serve(address, move |request| {
            let silenced = it.1.load(Ordering::SeqCst);
            let answer = it.answer(&request);
            // The channel stays open, and nothing comes any more.
            while it.1.load(Ordering::SeqCst) != silenced {
                thread::sleep(Duration::from_secs(1));
            }
            Some(answer)
        })?;
        Ok(store)
    }

    /// Writes an object as the operator; the return is the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.0.0.lock().expect("not poisoned");
        state.write(kind, name, spec);
        self.0.1.notify_all();
    }

    /// All channels with a call in progress go silent for good, without a reset; new ones work.
    pub fn silence_channels(&self) {
        self.1.fetch_add(1, Ordering::SeqCst);
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let Some(path) = request.path.strip_prefix("/-/objects/") else {
            return (404, "{}".to_owned());
        };
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, Some(name.to_owned())),
            None => (path, None),
        };
        match (request.method.as_str(), name) {
            ("GET", Some(name)) => self.get(kind, &name),
            ("GET", None) if request.query.contains_key("watch") => self.watch(kind, request),
            ("GET", None) => self.list(kind),
            (method, name) => self.change(method, kind, name, request),
        }
    }

    fn get(&self, kind: &str, name: &str) -> (u16, String) {
        let state = self.0.0.lock().expect("not poisoned");
        match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(it) => (200, it.json(name)),
            None => (404, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let state = self.0.0.lock().expect("not poisoned");
        let items = state.objects.iter().filter(|(key, _)| key.0 == kind);
        let items: Vec<String> = items.map(|(key, it)| it.json(&key.1)).collect();
        let revision = state.revision;
        let items = items.join(",");
        (200, format!("{{\"items\":[{items}],\"has-more\":false,\"store-revision\":{revision}}}"))
    }

    fn watch(&self, kind: &str, request: &Request) -> (u16, String) {
        let number = |name| request.query.get(name).and_then(|it| it.parse::<u64>().ok());
        let since = number("watch").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0));
        let mut state = self.0.0.lock().expect("not poisoned");
        loop {
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|it| it.0 > since && it.1 == kind)
                .map(|it| format!("{{\"removed\":{},\"object\":{}}}", it.2, it.3))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (revision, events) = (state.revision, events.join(","));
                let text = format!("{{\"events\":[{events}],\"store-revision\":{revision}}}");
                return (200, text);
            }
            state = self.0.1.wait_timeout(state, left).expect("not poisoned").0;
        }
    }

    fn change(
        &self,
        method: &str,
        kind: &str,
        name: Option<String>,
        request: &Request,
    ) -> (u16, String) {
        let Some(name) = name.or_else(|| text_field(&request.body, "name")) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.0.0.lock().expect("not poisoned");
        let key = (kind.to_owned(), name.clone());
        let known = state.objects.get(&key).cloned();
        let condition = request.query.get("revision").and_then(|it| it.parse::<u64>().ok());
        match (&known, method) {
            (Some(it), "POST") => return (409, it.json(&name)),
            (None, "PUT" | "DELETE") => return (404, "{}".to_owned()),
            (Some(it), _) if condition.is_some_and(|at| at != it.revision) => {
                return (409, it.json(&name));
            }
            _ => {}
        }
        if let ("DELETE", Some(mut it)) = (method, known) {
            state.objects.remove(&key);
            state.revision += 1;
            it.revision = state.revision;
            let event = (it.revision, kind.to_owned(), true, it.json(&name));
            state.history.push(event);
            self.0.1.notify_all();
            return (200, "{}".to_owned());
        }
        let Some(spec) = object_field(&request.body, "spec") else {
            return (400, "{}".to_owned());
        };
        let object = state.write(kind, &name, &spec);
        self.0.1.notify_all();
        (200, object.json(&name))
    }
}

impl State {
    fn write(&mut self, kind: &str, name: &str, spec: &str) -> Object {
        let key = (kind.to_owned(), name.to_owned());
        let known = self.objects.get(&key).cloned();
        if let Some(it) = known.clone().filter(|it| it.spec == spec) {
            // A write that changes nothing keeps the revision.
            return it;
        }
        self.revision += 1;
        let created = known.map_or(self.revision, |it| it.created);
        let object = Object { revision: self.revision, created, spec: spec.to_owned() };
        self.objects.insert(key, object.clone());
        self.history.push((self.revision, kind.to_owned(), false, object.json(name)));
        object
    }
}

impl Object {
    fn json(&self, name: &str) -> String {
        format!(
            "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\"finalizers\":[],\
             \"deleting\":false}},\"spec\":{},\"status\":null}}",
            self.revision, self.created, self.spec
        )
    }
}

/// A field of a JSON text with a string without escapes.
fn text_field(json: &str, name: &str) -> Option<String> {
    let rest = json.split_once(&format!("\"{name}\":\""))?.1;
    Some(rest.split_once('"')?.0.to_owned())
}

/// A field of a JSON text with an object, as text.
fn object_field(json: &str, name: &str) -> Option<String> {
    let start = json.find(&format!("\"{name}\":{{"))? + name.len() + 3;
    let mut depth = 0;
    for (at, byte) in json.bytes().enumerate().skip(start) {
        match byte {
            b'{' => depth += 1,
            b'}' => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return Some(json[start..=at].to_owned());
        }
    }
    None
}
