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
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<(&'static str, Object)>,
    down: bool,
    lose: bool,
    skip: bool,
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

    /// Writes an object whatever its version; returns the new one.
    pub(crate) fn write(&self, kind: &str, name: &str, spec: Value) -> u64 {
        let version = self.store.lock().unwrap().put(kind, name, "test", spec).version;
        self.news.notify_waiters();
        version
    }

    /// Deletes an object.
    pub(crate) fn delete(&self, kind: &str, name: &str) {
        let mut store = self.store.lock().unwrap();
        store.revision += 1;
        let mut gone = store.objects.remove(&(kind.to_owned(), name.to_owned())).unwrap();
        gone.version = store.revision;
        store.events.push(("delete", gone));
        drop(store);
        self.news.notify_waiters();
    }

    /// Reads an object.
    pub(crate) fn read(&self, kind: &str, name: &str) -> Option<Object> {
        let store = self.store.lock().unwrap();
        store.objects.get(&(kind.to_owned(), name.to_owned())).cloned()
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
            None => (200, self.watch(head.uri.query().unwrap_or_default()).await),
            Some(rest) => self.object(&head.method, rest, &body),
        };
        let status = match self.store.lock().unwrap().down {
            true => StatusCode::SERVICE_UNAVAILABLE,
            false => StatusCode::from_u16(status).unwrap(),
        };
        let body = Full::new(Bytes::from(value.to_string()));
        Ok(Response::builder().status(status).body(body).unwrap())
    }

    fn object(&self, method: &Method, rest: &str, body: &[u8]) -> (u16, Value) {
        let mut store = self.store.lock().unwrap();
        let Some((kind, name)) = rest.split_once('/') else {
            let items: Vec<&Object> = store.objects.values().filter(|it| it.kind == rest).collect();
            return (200, json!({ "revision": store.revision, "items": items }));
        };
        let old = store.objects.get(&(kind.to_owned(), name.to_owned())).cloned();
        if method == Method::GET {
            return old.map_or((404, json!({ "error": "none" })), |it| (200, json!(it)));
        }
        let write: Value = serde_json::from_slice(body).unwrap();
        if write["version"].as_u64() != Some(old.as_ref().map_or(0, |it| it.version)) {
            return (409, json!({ "error": "conflict", "current": old }));
        }
        let writer = write["writer"].as_str().unwrap();
        let object = store.put(kind, name, writer, write["spec"].clone());
        let lost = std::mem::take(&mut store.lose);
        self.news.notify_waiters();
        if lost { (504, json!({ "error": "lost" })) } else { (200, json!(object)) }
    }

    async fn watch(&self, query: &str) -> Value {
        let since: u64 = query
            .split('&')
            .find_map(|it| it.strip_prefix("since="))
            .and_then(|it| it.parse().ok())
            .unwrap();
        for _ in 0..20 {
            let news = self.news.notified();
            if let Some(value) = self.store.lock().unwrap().since(since, query) {
                return value;
            }
            let _ = timeout(Duration::from_millis(500), news).await;
        }
        json!({ "revision": since, "events": [] })
    }
}

impl Store {
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

    fn since(&self, since: u64, query: &str) -> Option<Value> {
        let wanted = |it: &Object| query.contains(&format!("kind={}", it.kind));
        let fresh: Vec<_> =
            self.events.iter().filter(|(_, it)| it.version > since && wanted(it)).collect();
        if fresh.is_empty() && !self.down {
            return None;
        }
        let events: Vec<Value> = match self.skip {
            true => Vec::new(),
            false => {
                fresh.iter().map(|(it, object)| json!({ "type": it, "object": object })).collect()
            }
        };
        Some(json!({ "revision": self.revision, "events": events }))
    }
}
