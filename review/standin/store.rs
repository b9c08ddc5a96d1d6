//! The platform's metadata store: objects with revisions, conditions and watches.

use std::{
    collections::BTreeMap,
    net::{SocketAddrV4, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Request, read_request, respond},
    json,
    record::Record,
};

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind and name, whether removed, and the object as text.
    events: Vec<(u64, String, bool, String)>,
    loss: Option<Loss>,
    /// Number of times that the open channels have gone silent.
    silences: u64,
    /// Kinds of the calls that wait for events.
    watches: Vec<String>,
}

/// A write whose answer is lost and that is done late.
#[derive(Clone)]
pub struct Loss {
    pub method: &'static str,
    /// The write's object has this name.
    pub name: String,
    pub delay: Duration,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn start(address: SocketAddrV4, record: Record) -> Result<Store, String> {
        let listener = TcpListener::bind(address).map_err(|e| format!("store: {e}"))?;
        let shared =
            Arc::new((Mutex::new(State { revision: 1, ..State::default() }), Condvar::new()));
        let store = Store { shared, record };
        let it = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let it = it.clone();
                thread::spawn(move || it.serve(&stream));
            }
        });
        Ok(store)
    }

    /// Loses the answer of the next write that matches.
    pub fn lose(&self, loss: Loss) {
        self.shared.0.lock().unwrap().loss = Some(loss);
    }

    /// Whether the loss set before has struck.
    pub fn has_lost(&self) -> bool {
        self.shared.0.lock().unwrap().loss.is_none()
    }

    /// Lets all open channels go silent for good; new ones work.
    pub fn silence_open_channels(&self) {
        let mut state = self.shared.0.lock().unwrap();
        state.silences += 1;
        state.watches.clear();
        drop(state);
        self.shared.1.notify_all();
        self.record.say("store: the open channels go silent, new ones work");
    }

    /// Number of calls that wait for events of a kind.
    pub fn watches(&self, kind: &str) -> usize {
        let state = self.shared.0.lock().unwrap();
        state.watches.iter().filter(|it| *it == kind).count()
    }

    /// Writes an object as the operator.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.write("PUT", kind, name, None, spec, true);
    }

    /// Names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.shared.0.lock().unwrap();
        state.objects.keys().filter(|it| it.0 == kind).map(|it| it.1.clone()).collect()
    }

    fn serve(&self, stream: &TcpStream) {
        let Some(request) = read_request(stream) else {
            return;
        };
        let path = request.path.trim_start_matches("/-/objects/").to_owned();
        let (kind, name) = path.split_once('/').unwrap_or((&path, ""));
        if request.method == "GET" {
            let (status, body) = self.read(&request, kind, name);
            return respond(stream, status, &body);
        }
        let meta = json::field(&request.body, "meta").unwrap_or_default();
        let name = match request.method.as_str() {
            "POST" => json::string(&meta, "name").unwrap_or_default(),
            _ => name.to_owned(),
        };
        let condition = request.param("revision").map(str::to_owned);
        let condition = condition.or_else(|| json::field(&meta, "revision"));
        let condition = condition.and_then(|it| it.parse().ok());
        let spec = json::field(&request.body, "spec").unwrap_or_default();
        let call = format!("{} {kind}/{name} revision {condition:?}", request.method);
        if let Some(delay) = self.take_loss(&request.method, &name) {
            self.record
                .say(format!("store: {call}: no answer, done {} s later", delay.as_secs_f64()));
            thread::sleep(delay);
            let (status, _) = self.write(&request.method, kind, &name, condition, &spec, false);
            self.record.say(format!("store: late {call}: done with result {status}"));
            // The channel returns nothing further.
            thread::sleep(Duration::from_secs(60));
            return;
        }
        let (status, body) = self.write(&request.method, kind, &name, condition, &spec, false);
        self.record.line(format!("store: {call}: {status}"));
        respond(stream, status, &body);
    }

    fn take_loss(&self, method: &str, name: &str) -> Option<Duration> {
        let mut state = self.shared.0.lock().unwrap();
        let loss = state.loss.take_if(|it| it.method == method && it.name == name)?;
        Some(loss.delay)
    }

    fn read(&self, request: &Request, kind: &str, name: &str) -> (u16, String) {
        let mut state = self.shared.0.lock().unwrap();
        if let Some(from) = request.param("watch").and_then(|it| it.parse::<u64>().ok()) {
            let wait = request.param("wait-ms").and_then(|it| it.parse().ok()).unwrap_or(0);
            let until = Instant::now() + Duration::from_millis(wait);
            let silences = state.silences;
            state.watches.push(kind.to_owned());
            loop {
                if state.silences != silences {
                    drop(state);
                    thread::sleep(Duration::from_secs(120));
                    return (503, "{}".to_owned());
                }
                let seen = state.events.iter().filter(|it| it.0 > from && it.1 == kind);
                let seen: Vec<_> = seen
                    .map(|it| format!("{{\"removed\":{},\"object\":{}}}", it.2, it.3))
                    .collect();
                let left = until.saturating_duration_since(Instant::now());
                if !seen.is_empty() || left.is_zero() {
                    let own = state.watches.iter().position(|it| it == kind);
                    own.map(|it| state.watches.swap_remove(it));
                    let (events, at) = (seen.join(","), state.revision);
                    return (200, format!("{{\"events\":[{events}],\"store-revision\":{at}}}"));
                }
                state = self.shared.1.wait_timeout(state, left).unwrap().0;
            }
        }
        if !name.is_empty() {
            let found = state.objects.get(&(kind.to_owned(), name.to_owned()));
            return found.map_or((404, "{}".to_owned()), |it| (200, text(name, it)));
        }
        let after = request.param("after").unwrap_or("");
        let items = state.objects.iter().filter(|(it, _)| it.0 == kind && it.1.as_str() > after);
        let items: Vec<_> = items.map(|(key, it)| text(&key.1, it)).collect();
        let (items, at) = (items.join(","), state.revision);
        (200, format!("{{\"items\":[{items}],\"has-more\":false,\"store-revision\":{at}}}"))
    }

    fn write(
        &self,
        method: &str,
        kind: &str,
        name: &str,
        condition: Option<u64>,
        spec: &str,
        create: bool,
    ) -> (u16, String) {
        let mut state = self.shared.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let known = state.objects.get(&key).cloned();
        if let (Some(it), Some(condition)) = (&known, condition)
            && it.revision != condition
        {
            return (409, text(name, it));
        }
        match (method, &known) {
            ("POST", Some(it)) => return (409, text(name, it)),
            ("PUT", None) if !create => return (404, "{}".to_owned()),
            ("DELETE", None) => return (404, "{}".to_owned()),
            ("PUT", Some(it)) if it.spec == spec => return (200, text(name, it)),
            _ => {}
        }
        state.revision += 1;
        let revision = state.revision;
        let created = known.as_ref().map_or(revision, |it| it.created);
        let spec = known.filter(|_| method == "DELETE").map_or(spec.to_owned(), |it| it.spec);
        let object = Object { revision, created, spec };
        let body = text(name, &object);
        let removed = method == "DELETE";
        if removed {
            state.objects.remove(&key);
        } else {
            state.objects.insert(key, object);
        }
        state.events.push((revision, kind.to_owned(), removed, body.clone()));
        self.shared.1.notify_all();
        (if method == "POST" { 201 } else { 200 }, body)
    }
}

fn text(name: &str, it: &Object) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{},\"status\":null}}",
        it.revision, it.created, it.spec
    )
}
