//! Parsing of request heads.

use std::time::Duration;

use http::{HeaderMap, Method, Request};
use hyper::body::Incoming;
use tokio::time::Instant;

use super::settings::Settings;
use crate::{
    response::{self, ResponseHead},
    server::{self, HttpError},
};

const MAX_PADDING_BYTES: usize = 1 << 20;
const MAX_TOKEN_BYTES: usize = 256;
const DEFAULT_FEED_PERIOD_MS: u64 = 1000;

/// Requested resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Resource {
    /// A small response with a number of padding bytes.
    Screen { padding: usize },
    /// A stream of numbered lines, with or without an end.
    Feed { duration: Option<Duration>, period: Duration },
    /// A request body to measure and hash.
    Upload,
    /// Work that is not idempotent.
    Transfer,
}

/// A parsed and validated request.
#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) resource: Resource,
    pub(super) head: ResponseHead,
    pub(super) work: Duration,
    pub(super) deadline: Option<Instant>,
}

impl Task {
    pub(super) fn new(request: &Request<Incoming>, settings: &Settings) -> Result<Task, HttpError> {
        let pairs = server::query_pairs(request.uri().query());
        let path = request.uri().path();
        let resource = match (request.method(), path) {
            (&Method::GET, "/screen") => {
                let padding = server::query_value(&pairs, "size")?.unwrap_or(0);
                if padding > MAX_PADDING_BYTES {
                    let text = format!("query size={padding}: at most {MAX_PADDING_BYTES}");
                    return Err(HttpError::bad_request(text));
                }
                Resource::Screen { padding }
            }
            (&Method::GET, "/feed") => feed(&pairs)?,
            (&Method::PUT, "/upload") => Resource::Upload,
            (&Method::POST, "/transfer") => Resource::Transfer,
            _ => return Err(HttpError::not_found(path)),
        };
        let echo: String = server::query_value(&pairs, "echo")?.unwrap_or_default();
        if echo.len() > MAX_TOKEN_BYTES {
            return Err(HttpError::bad_request(format!(
                "query echo: at most {MAX_TOKEN_BYTES} characters"
            )));
        }
        let headers = request.headers();
        let head = ResponseHead {
            upstream: settings.name.clone(),
            pool: settings.pool.clone(),
            service: header(headers, response::SERVICE)?,
            request: header(headers, response::REQUEST)?,
            method: request.method().to_string(),
            path: path.to_owned(),
            echo,
            key: header(headers, response::IDEMPOTENCY_KEY)?,
            size: 0,
            digest: String::new(),
        };
        let work_ms = server::query_value(&pairs, "work_ms")?.unwrap_or(settings.work_ms);
        let work = Duration::from_millis(work_ms);
        Ok(Task { resource, head, work, deadline: deadline(headers)? })
    }

    /// Stores the length and digest of the request body.
    pub(super) fn set_body(&mut self, (size, digest): (u64, String)) {
        self.head.size = size;
        self.head.digest = digest;
    }

    pub(super) fn is_non_idempotent(&self) -> bool {
        self.resource == Resource::Transfer
    }
}

fn feed(pairs: &[(&str, &str)]) -> Result<Resource, HttpError> {
    let duration_ms: u64 = server::query_value(pairs, "ms")?.unwrap_or(0);
    let period_ms: u64 = server::query_value(pairs, "every")?.unwrap_or(DEFAULT_FEED_PERIOD_MS);
    if period_ms == 0 {
        return Err(HttpError::bad_request("query every=0: must be above 0"));
    }
    let duration = (duration_ms > 0).then(|| Duration::from_millis(duration_ms));
    Ok(Resource::Feed { duration, period: Duration::from_millis(period_ms) })
}

fn header(headers: &HeaderMap, name: &str) -> Result<String, HttpError> {
    let Some(value) = headers.get(name) else {
        return Ok(String::new());
    };
    let text = value.to_str().ok().filter(|text| text.len() <= MAX_TOKEN_BYTES);
    let invalid = || {
        HttpError::bad_request(format!("header {name}: at most {MAX_TOKEN_BYTES} plain characters"))
    };
    text.map(str::to_owned).ok_or_else(invalid)
}

fn deadline(headers: &HeaderMap) -> Result<Option<Instant>, HttpError> {
    let text = header(headers, response::DEADLINE)?;
    if text.is_empty() {
        return Ok(None);
    }
    let invalid =
        |_| HttpError::bad_request(format!("header {}: {text:?} is no number", response::DEADLINE));
    let left_ms: u32 = text.parse().map_err(invalid)?;
    Ok(Some(Instant::now() + Duration::from_millis(left_ms.into())))
}
