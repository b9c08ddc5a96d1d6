//! A request, as read from its head.

use std::time::Duration;

use http::{HeaderMap, Method, Request};
use hyper::body::Incoming;
use tokio::time::Instant;

use super::settings::Settings;
use crate::{
    answer::{self, Head},
    server::{self, Refusal},
};

const MAX_FILLING: usize = 1 << 20;
const MAX_TOKEN: usize = 256;
const DEFAULT_EVERY_MS: u64 = 1000;

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Resource {
    /// A small page with some further bytes.
    Screen { filling: usize },
    /// A stream of numbered lines, for a time or until it is closed.
    Feed { length: Option<Duration>, every: Duration },
    /// A body to be counted and hashed.
    Upload,
    /// Work that must not be repeated.
    Transfer,
}

/// A request that can be run.
#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) resource: Resource,
    pub(super) head: Head,
    pub(super) work: Duration,
    pub(super) deadline: Option<Instant>,
}

impl Task {
    pub(super) fn new(request: &Request<Incoming>, settings: &Settings) -> Result<Task, Refusal> {
        let pairs = server::pairs(request.uri().query());
        let path = request.uri().path();
        let resource = match (request.method(), path) {
            (&Method::GET, "/screen") => {
                let filling = server::value(&pairs, "size")?.unwrap_or(0);
                if filling > MAX_FILLING {
                    let text = format!("query size={filling}: at most {MAX_FILLING}");
                    return Err(Refusal::bad(text));
                }
                Resource::Screen { filling }
            }
            (&Method::GET, "/feed") => feed(&pairs)?,
            (&Method::PUT, "/upload") => Resource::Upload,
            (&Method::POST, "/transfer") => Resource::Transfer,
            _ => return Err(Refusal::unknown(path)),
        };
        let echo: String = server::value(&pairs, "echo")?.unwrap_or_default();
        if echo.len() > MAX_TOKEN {
            return Err(Refusal::bad(format!("query echo: at most {MAX_TOKEN} characters")));
        }
        let headers = request.headers();
        let head = Head {
            upstream: settings.name.clone(),
            pool: settings.pool.clone(),
            service: header(headers, answer::SERVICE)?,
            request: header(headers, answer::REQUEST)?,
            method: request.method().to_string(),
            path: path.to_owned(),
            echo,
            key: header(headers, answer::KEY)?,
            size: 0,
            digest: String::new(),
        };
        let work_ms = server::value(&pairs, "work_ms")?.unwrap_or(settings.work_ms);
        let work = Duration::from_millis(work_ms);
        Ok(Task { resource, head, work, deadline: deadline(headers)? })
    }

    /// Notes the length and digest of the body.
    pub(super) fn received(&mut self, (size, digest): (u64, String)) {
        self.head.size = size;
        self.head.digest = digest;
    }

    /// Whether running it twice differs from running it once.
    pub(super) fn runs_once(&self) -> bool {
        self.resource == Resource::Transfer
    }
}

fn feed(pairs: &[(&str, &str)]) -> Result<Resource, Refusal> {
    let length_ms: u64 = server::value(pairs, "ms")?.unwrap_or(0);
    let every_ms: u64 = server::value(pairs, "every")?.unwrap_or(DEFAULT_EVERY_MS);
    if every_ms == 0 {
        return Err(Refusal::bad("query every=0: must be above 0"));
    }
    let length = (length_ms > 0).then(|| Duration::from_millis(length_ms));
    Ok(Resource::Feed { length, every: Duration::from_millis(every_ms) })
}

fn header(headers: &HeaderMap, name: &str) -> Result<String, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(String::new());
    };
    let text = value.to_str().ok().filter(|text| text.len() <= MAX_TOKEN);
    let wrong = || Refusal::bad(format!("header {name}: at most {MAX_TOKEN} plain characters"));
    text.map(str::to_owned).ok_or_else(wrong)
}

fn deadline(headers: &HeaderMap) -> Result<Option<Instant>, Refusal> {
    let text = header(headers, answer::DEADLINE)?;
    if text.is_empty() {
        return Ok(None);
    }
    let wrong = |_| Refusal::bad(format!("header {}: {text:?} is no number", answer::DEADLINE));
    let left_ms: u32 = text.parse().map_err(wrong)?;
    Ok(Some(Instant::now() + Duration::from_millis(left_ms.into())))
}
