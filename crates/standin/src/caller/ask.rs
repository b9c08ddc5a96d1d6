//! Requests that callers send.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use rand::{Rng, RngCore, rngs::StdRng};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Header under which a request may be repeated without running twice.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

const CHUNK_SIZES: std::ops::Range<usize> = 1_024..16_384;
const CHUNK_COUNTS: std::ops::Range<usize> = 2..8;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A small GET.
    Screen,
    /// A GET whose answer streams for long.
    Feed,
    /// A PUT in chunks.
    Upload,
    /// A small POST, which is not idempotent.
    Transfer,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 4] = [Kind::Screen, Kind::Feed, Kind::Upload, Kind::Transfer];

    /// Name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Screen => "screen",
            Kind::Feed => "feed",
            Kind::Upload => "upload",
            Kind::Transfer => "transfer",
        }
    }

    /// Whether running such a request twice is harmless.
    pub fn idempotent(self) -> bool {
        self != Kind::Transfer
    }

    fn method(self) -> Method {
        match self {
            Kind::Screen | Kind::Feed => Method::GET,
            Kind::Upload => Method::PUT,
            Kind::Transfer => Method::POST,
        }
    }
}

/// One request.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Kind.
    pub kind: Kind,
    /// Token that the answer must echo; new for each attempt. It begins with the group.
    pub token: String,
    /// Group of the tokens of all attempts under one key.
    pub group: String,
    /// Idempotency key; the same for each attempt.
    pub key: Option<String>,
    /// Query beyond the token.
    pub query: String,
    /// Body, in the chunks in which it is sent.
    pub chunks: Vec<Bytes>,
    /// Pause between two chunks.
    pub pause: Duration,
    /// How long the answer takes by the nature of the request.
    pub span: Duration,
}

impl Ask {
    /// A small GET that takes some work.
    pub fn screen(rng: &mut StdRng, work: Duration) -> Ask {
        let mut ask = Ask::new(Kind::Screen, rng);
        ask.add_work(work);
        ask
    }

    /// A stream of lines for the time `span`, one every `every`.
    pub fn feed(rng: &mut StdRng, span: Duration, every: Duration) -> Ask {
        let mut ask = Ask::new(Kind::Feed, rng);
        ask.query = format!("&ms={}&every={}", span.as_millis(), every.as_millis());
        ask.span = span;
        ask
    }

    /// A body in chunks.
    pub fn upload(rng: &mut StdRng, work: Duration) -> Ask {
        let mut ask = Ask::new(Kind::Upload, rng);
        ask.add_work(work);
        for _ in 0..rng.random_range(CHUNK_COUNTS) {
            let mut chunk = vec![0; rng.random_range(CHUNK_SIZES)];
            rng.fill_bytes(&mut chunk);
            ask.chunks.push(Bytes::from(chunk));
        }
        ask.pause = Duration::from_millis(rng.random_range(1..40));
        ask.span += ask.pause * (ask.chunks.len() as u32 - 1);
        ask
    }

    /// A small POST under a key of its own.
    pub fn transfer(rng: &mut StdRng, work: Duration) -> Ask {
        let mut ask = Ask::new(Kind::Transfer, rng);
        ask.key = Some(random(rng));
        ask.add_work(work);
        ask.chunks.push(Bytes::from(format!("amount={}", rng.random_range(1..10_000))));
        ask
    }

    fn new(kind: Kind, rng: &mut StdRng) -> Ask {
        let group = random(rng);
        Ask {
            kind,
            token: token(&group, rng),
            group,
            key: None,
            query: String::new(),
            chunks: Vec::new(),
            pause: Duration::ZERO,
            span: Duration::ZERO,
        }
    }

    fn add_work(&mut self, work: Duration) {
        self.query = format!("&work_ms={}", work.as_millis());
        self.span += work;
    }

    /// The same request for a further attempt, under a new token of the same group.
    pub fn again(&self, rng: &mut StdRng) -> Ask {
        Ask { token: token(&self.group, rng), ..self.clone() }
    }

    /// Whether a token is this attempt's, or that of another attempt under the same key, whose answer may stand for it.
    pub fn accepts(&self, token: &str) -> bool {
        token == self.token || (self.key.is_some() && token.starts_with(&self.group))
    }

    /// The request's head, as sent to the service with this name.
    pub fn head(&self, service: &str) -> http::Result<Request<()>> {
        let uri =
            format!("https://{service}/{}?echo={}{}", self.kind.as_str(), self.token, self.query);
        let mut builder = Request::builder().method(self.kind.method()).uri(uri);
        if let Some(key) = &self.key {
            builder = builder.header(IDEMPOTENCY_KEY, key);
        }
        builder.body(())
    }

    /// Length of the body.
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

fn token(group: &str, rng: &mut StdRng) -> String {
    format!("{group}-{}", random(rng))
}

fn random(rng: &mut StdRng) -> String {
    format!("{:016x}", rng.random::<u64>())
}
