//! Requests sent by callers.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use rand::{Rng, RngCore, rngs::StdRng};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Header with the idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

const CHUNK_SIZES: std::ops::Range<usize> = 1_024..16_384;
const CHUNK_COUNTS: std::ops::Range<usize> = 2..8;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RequestKind {
    /// A short GET.
    Screen,
    /// A GET with a streamed response.
    Feed,
    /// A PUT with a chunked body.
    Upload,
    /// A short POST, not idempotent.
    Transfer,
}

impl RequestKind {
    /// All kinds.
    pub const ALL: [RequestKind; 4] =
        [RequestKind::Screen, RequestKind::Feed, RequestKind::Upload, RequestKind::Transfer];

    /// Name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            RequestKind::Screen => "screen",
            RequestKind::Feed => "feed",
            RequestKind::Upload => "upload",
            RequestKind::Transfer => "transfer",
        }
    }

    /// Whether a request of this kind may be retried without a key.
    pub fn idempotent(self) -> bool {
        self != RequestKind::Transfer
    }

    fn method(self) -> Method {
        match self {
            RequestKind::Screen | RequestKind::Feed => Method::GET,
            RequestKind::Upload => Method::PUT,
            RequestKind::Transfer => Method::POST,
        }
    }
}

/// One request attempt.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Kind of the request.
    pub kind: RequestKind,
    /// Token that the response must echo; unique per attempt, with the group as prefix.
    pub token: String,
    /// Token prefix shared by all attempts of the request.
    pub token_group: String,
    /// Idempotency key, the same for all attempts.
    pub key: Option<String>,
    /// Query parameters after the token.
    pub query: String,
    /// Body, in the chunks in which it is sent.
    pub chunks: Vec<Bytes>,
    /// Pause between chunks.
    pub chunk_interval: Duration,
    /// Time that the request takes by itself, excluded from its latency.
    pub expected_duration: Duration,
}

impl CallerRequest {
    /// A short GET with this work time.
    pub fn screen(rng: &mut StdRng, work: Duration) -> CallerRequest {
        let mut request = CallerRequest::new(RequestKind::Screen, rng);
        request.add_work(work);
        request
    }

    /// A streamed response of length `expected_duration`, with a line every `every`.
    pub fn feed(rng: &mut StdRng, expected_duration: Duration, every: Duration) -> CallerRequest {
        let mut request = CallerRequest::new(RequestKind::Feed, rng);
        request.query =
            format!("&ms={}&every={}", expected_duration.as_millis(), every.as_millis());
        request.expected_duration = expected_duration;
        request
    }

    /// A PUT with a random chunked body.
    pub fn upload(rng: &mut StdRng, work: Duration) -> CallerRequest {
        let mut request = CallerRequest::new(RequestKind::Upload, rng);
        request.add_work(work);
        for _ in 0..rng.random_range(CHUNK_COUNTS) {
            let mut chunk = vec![0; rng.random_range(CHUNK_SIZES)];
            rng.fill_bytes(&mut chunk);
            request.chunks.push(Bytes::from(chunk));
        }
        request.chunk_interval = Duration::from_millis(rng.random_range(1..40));
        request.expected_duration += request.chunk_interval * (request.chunks.len() as u32 - 1);
        request
    }

    /// A short POST with its own idempotency key.
    pub fn transfer(rng: &mut StdRng, work: Duration) -> CallerRequest {
        let mut request = CallerRequest::new(RequestKind::Transfer, rng);
        request.key = Some(random_hex(rng));
        request.add_work(work);
        request.chunks.push(Bytes::from(format!("amount={}", rng.random_range(1..10_000))));
        request
    }

    fn new(kind: RequestKind, rng: &mut StdRng) -> CallerRequest {
        let token_group = random_hex(rng);
        CallerRequest {
            kind,
            token: new_token(&token_group, rng),
            token_group,
            key: None,
            query: String::new(),
            chunks: Vec::new(),
            chunk_interval: Duration::ZERO,
            expected_duration: Duration::ZERO,
        }
    }

    fn add_work(&mut self, work: Duration) {
        self.query = format!("&work_ms={}", work.as_millis());
        self.expected_duration += work;
    }

    /// A retry of the request, with a new token of the same group.
    pub fn retry(&self, rng: &mut StdRng) -> CallerRequest {
        CallerRequest { token: new_token(&self.token_group, rng), ..self.clone() }
    }

    /// Whether a response with this token is valid: it echoes this attempt, or another attempt with the same key.
    pub fn accepts(&self, token: &str) -> bool {
        token == self.token || (self.key.is_some() && token.starts_with(&self.token_group))
    }

    /// Builds the request head for this service.
    pub fn head(&self, service: &str) -> http::Result<Request<()>> {
        let uri =
            format!("https://{service}/{}?echo={}{}", self.kind.as_str(), self.token, self.query);
        let mut builder = Request::builder().method(self.kind.method()).uri(uri);
        if let Some(key) = &self.key {
            builder = builder.header(IDEMPOTENCY_KEY, key);
        }
        builder.body(())
    }

    /// Length of the body in bytes.
    pub fn size(&self) -> usize {
        self.chunks.iter().map(Bytes::len).sum()
    }

    /// SHA-256 of the body.
    pub fn digest(&self) -> [u8; 32] {
        let mut hash = Sha256::new();
        for chunk in &self.chunks {
            hash.update(chunk);
        }
        hash.finalize().into()
    }
}

fn new_token(token_group: &str, rng: &mut StdRng) -> String {
    format!("{token_group}-{}", random_hex(rng))
}

fn random_hex(rng: &mut StdRng) -> String {
    format!("{:016x}", rng.random::<u64>())
}
