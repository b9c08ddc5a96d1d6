//! A small platform in memory, with the faults that the tests need.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use camphorwinch_core::object::Object;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::{Bytes, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::Notify, time::timeout};

#[derive(Default)]
struct Store {
    data: Data,
    /// Rises each time that the platform comes back from its copy.
    era: u64,
    copy: Data,
    down: bool,
    lose: bool,
    skip: bool,
}

/// What the platform holds, and loses if it comes back from a copy.
#[derive(Clone, Default)]
struct Data {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<(&'static str, Object)>,
}

/// The platform.
#[derive(Clone, Default)]
pub(crate) struct Fake {
    store: Arc<Mutex<Store>>,
    news: Arc<Notify>,
}

impl Fake {
    /// Serves on a free port.
    pub(crate) async fn start() -> (Fake, SocketAddr) {
        let fake = Fake::default();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let served = fake.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let fake = served.clone();
                let service = service_fn(move |it| {
                    let fake = fake.clone();
                    async move { fake.answer(it).await }
                });
                let io = TokioIo::new(stream);
                tokio::spawn(http1::Builder::new().serve_connection(io, service));
            }
        });
        (fake, address)
    }

    /// Answers every call with 503, or no longer.
    pub(crate) fn set_down(&self, down: bool) {
        self.store.lock().unwrap().down = down;
        self.news.notify_waiters();
    }

    /// Loses the answer of the next write, which takes effect.
    pub(crate) fn lose_next(&self) {
        self.store.lock().unwrap().lose = true;
    }

    /// Leaves out events from watches.
    pub(crate) fn skip_events(&self, skip: bool) {
        self.store.lock().unwrap().skip = skip;
    }

    /// Keeps a copy of all that it holds.
    pub(crate) fn keep_copy(&self) {
        let mut store = self.store.lock().unwrap();
        store.copy = store.data.clone();
    }

    /// Comes back from its copy: what was written since is lost, and revisions are given out again.
    pub(crate) fn reset(&self) {
        let mut store = self.store.lock().unwrap();
        store.data = store.copy.clone();
        store.era += 1;
        drop(store);
        self.news.notify_waiters();
    }

    /// Writes an object whatever its version; returns the new one.
    pub(crate) fn write(&self, kind: &str, name: &str, spec: Value) -> u64 {
        let version = self.store.lock().unwrap().data.put(kind, name, "test", spec).version;
        self.news.notify_waiters();
        version
    }

    /// Deletes an object.
    pub(crate) fn delete(&self, kind: &str, name: &str) {
        let mut store = self.store.lock().unwrap();
        let data = &mut store.data;
        data.revision += 1;
        let mut gone = data.objects.remove(&(kind.to_owned(), name.to_owned())).unwrap();
        gone.version = data.revision;
        data.events.push(("delete", gone));
        drop(store);
        self.news.notify_waiters();
    }

    /// Reads an object.
    pub(crate) fn read(&self, kind: &str, name: &str) -> Option<Object> {
        let store = self.store.lock().unwrap();
        store.data.objects.get(&(kind.to_owned(), name.to_owned())).cloned()
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.unwrap().to_bytes();
        let path = head.uri.path().to_owned();
        let (status, value) = match path.strip_prefix("/v1/objects/") {
            _ if self.store.lock().unwrap().down => (503, json!({ "error": "down" })),
            None => self.watch(head.uri.query().unwrap_or_default()).await,
            Some(rest) => self.object(&head.method, rest, &body),
        };
        let status = match self.store.lock().unwrap().down {
            true => StatusCode::SERVICE_UNAVAILABLE,
            false => StatusCode::from_u16(status).unwrap(),
        };
        let era = self.store.lock().unwrap().era;
        let body = Full::new(Bytes::from(value.to_string()));
        Ok(Response::builder().status(status).header("store-era", era).body(body).unwrap())
    }

    fn object(&self, method: &Method, rest: &str, body: &[u8]) -> (u16, Value) {
        let mut store = self.store.lock().unwrap();
        let Some((kind, name)) = rest.split_once('/') else {
            let data = &store.data;
            let items: Vec<&Object> = data.objects.values().filter(|it| it.kind == rest).collect();
            return (200, json!({ "revision": data.revision, "items": items }));
        };
        let old = store.data.objects.get(&(kind.to_owned(), name.to_owned())).cloned();
        if method == Method::GET {
            return old.map_or((404, json!({ "error": "none" })), |it| (200, json!(it)));
        }
        let write: Value = serde_json::from_slice(body).unwrap();
        if write["version"].as_u64() != Some(old.as_ref().map_or(0, |it| it.version)) {
            return (409, json!({ "error": "conflict", "current": old }));
        }
        let writer = write["writer"].as_str().unwrap();
        let object = store.data.put(kind, name, writer, write["spec"].clone());
        let lost = std::mem::take(&mut store.lose);
        self.news.notify_waiters();
        if lost { (504, json!({ "error": "lost" })) } else { (200, json!(object)) }
    }

    async fn watch(&self, query: &str) -> (u16, Value) {
        let since: u64 = query
            .split('&')
            .find_map(|it| it.strip_prefix("since="))
            .and_then(|it| it.parse().ok())
            .unwrap();
        for _ in 0..20 {
            let news = self.news.notified();
            if since > self.store.lock().unwrap().data.revision {
                return (410, json!({ "error": "the history does not hold this revision" }));
            }
            if let Some(value) = self.store.lock().unwrap().since(since, query) {
                return (200, value);
            }
            let _ = timeout(Duration::from_millis(500), news).await;
        }
        (200, json!({ "revision": since, "events": [] }))
    }
}

impl Data {
    fn put(&mut self, kind: &str, name: &str, writer: &str, spec: Value) -> Object {
        self.revision += 1;
        let object = Object {
            kind: kind.to_owned(),
            name: name.to_owned(),
            version: self.revision,
            writer: writer.to_owned(),
            spec,
        };
        self.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
        self.events.push(("put", object.clone()));
        object
    }
}

impl Store {
    fn since(&self, since: u64, query: &str) -> Option<Value> {
        let wanted = |it: &Object| query.contains(&format!("kind={}", it.kind));
        let fresh: Vec<_> =
            self.data.events.iter().filter(|(_, it)| it.version > since && wanted(it)).collect();
        if fresh.is_empty() && !self.down {
            return None;
        }
        let events: Vec<Value> = match self.skip {
            true => Vec::new(),
            false => {
                fresh.iter().map(|(it, object)| json!({ "type": it, "object": object })).collect()
            }
        };
        Some(json!({ "revision": self.data.revision, "events": events }))
    }
}
