//! Conditional writes whose lost answers are settled by reading back.
//!
//! Each write carries a new mark. When an answer is lost, the object and the platform's history are searched for the
//! mark: found, the write took effect; not found and the object unchanged, the same write is sent again. It can take
//! effect only once, since both attempts ask for the same version. Anything else is reported as unknown.

use bytes::Bytes;
use camphorwinch_core::{
    object::{Kind, Object},
    revision::Revision,
};
use http::{Method, StatusCode};
use rand::Rng as _;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    error::Error,
    output::pretty,
    platform::{Answer, Failure, Lost, Pack, Platform, is_passing},
    retry::Retry,
};

/// A write of one object.
#[derive(Clone, Debug)]
pub struct Write {
    /// Kind.
    pub kind: Kind,
    /// Name.
    pub name: String,
    /// Version that must be stored; 0 creates.
    pub version: u64,
    /// A revision of the platform read before the write, where a search of the history begins.
    pub since: u64,
    /// The content.
    pub spec: Value,
}

#[derive(Serialize)]
struct PutBody<'a> {
    version: u64,
    writer: &'a str,
    spec: &'a Value,
}

#[derive(Deserialize)]
struct ConflictBody {
    current: Option<Object>,
}

#[derive(Deserialize)]
struct DeleteBody {
    revision: u64,
}

impl Pack for ConflictBody {
    fn pack(&mut self, era: u64) {
        self.current.iter_mut().for_each(|it| it.pack(era));
    }
}

impl Pack for DeleteBody {
    fn pack(&mut self, era: u64) {
        self.revision = Revision::new(era, self.revision).packed();
    }
}

/// Why it is not known what a write replaced.
const RESET: &str = "the platform came back from an older copy after the version was read";

/// What a search for a write found.
enum Found {
    /// The write took effect.
    Written(Object),
    /// The object is as it was before the write.
    Unchanged,
    /// Another writer's value is stored, or nothing.
    Replaced(Option<Object>),
}

/// What one attempt came to.
enum Attempt<T> {
    Done(T),
    Conflict(Option<Object>),
    NotRun(Failure),
    Unclear(Failure),
    Refused(Answer),
}

impl Write {
    fn at(&self) -> String {
        format!("{}/{}", self.kind, self.name)
    }

    fn path(&self) -> String {
        format!("/v1/objects/{}/{}", self.kind, self.name)
    }

    fn ours(&self, writer: &str) -> Object {
        Object {
            kind: self.kind.to_string(),
            name: self.name.clone(),
            version: self.version,
            writer: writer.to_owned(),
            spec: self.spec.clone(),
        }
    }

    /// Writes the object and returns it as stored.
    pub async fn put(&self, platform: &Platform) -> Result<Object, Error> {
        let writer = mark();
        let base = Revision::unpacked(self.version);
        let body = PutBody { version: base.number, writer: &writer, spec: &self.spec };
        let body = serde_json::to_vec(&body)
            .map_err(|e| Error::usage(format!("encode {}", self.at()), e.to_string()))?;
        let body = Bytes::from(body);
        let mut retry = platform.retry();
        let mut lost = false;
        loop {
            let answer =
                platform.call(Method::PUT, &self.path(), body.clone(), retry.limit()).await;
            let failure = match attempt::<Object>(answer) {
                Attempt::Done(object) if self.is_of_former_era(object.version) => {
                    let current = Some(&object);
                    return Err(self.unknown(platform, "put", &writer, RESET, stored(current)));
                }
                Attempt::Done(object) => return Ok(object),
                Attempt::Conflict(Some(current)) if current.writer == writer => return Ok(current),
                Attempt::Conflict(current) if !lost => return Err(self.conflict(&writer, current)),
                Attempt::Conflict(_) => Failure::new("the object changed"),
                Attempt::Refused(it) => {
                    return Err(platform.refused(&format!("put {}", self.at()), &it));
                }
                Attempt::NotRun(failure) => failure,
                Attempt::Unclear(failure) => {
                    lost = true;
                    failure
                }
            };
            if !retry.pause(failure.after).await {
                return Err(self.given_up(platform, "put", &writer, lost, &failure));
            }
            if !lost {
                continue;
            }
            if let Some(object) = self.settle(platform, &writer, &mut retry).await? {
                return Ok(object);
            }
        }
    }

    /// Finds out what came of a put whose answer was lost: the object if it was written, none if it may be sent again.
    async fn settle(
        &self,
        platform: &Platform,
        writer: &str,
        retry: &mut Retry,
    ) -> Result<Option<Object>, Error> {
        match self.find(platform, writer, retry).await {
            Ok(Found::Written(object)) => Ok(Some(object)),
            Ok(Found::Unchanged) => Ok(None),
            Ok(Found::Replaced(current)) => {
                let reason = "the answer was lost, and another writer has changed the object since";
                Err(self.unknown(platform, "put", writer, reason, stored(current.as_ref())))
            }
            Err(e) => {
                let reason = format!("the answer was lost: {e}");
                Err(self.unknown(platform, "put", writer, &reason, not_read()))
            }
        }
    }

    /// Deletes the object at its version and returns the revision of the deletion, if the answer came through.
    pub async fn delete(&self, platform: &Platform) -> Result<Option<u64>, Error> {
        let number = Revision::unpacked(self.version).number;
        let path = format!("{}?version={number}", self.path());
        let mut retry = platform.retry();
        let mut lost = false;
        loop {
            let answer = platform.call(Method::DELETE, &path, Bytes::new(), retry.limit()).await;
            let failure = match attempt::<DeleteBody>(answer) {
                Attempt::Done(it) if self.is_of_former_era(it.revision) => {
                    return Err(self.unknown(platform, "delete", "", RESET, not_read()));
                }
                Attempt::Done(it) => return Ok(Some(it.revision)),
                Attempt::Refused(it) if it.status == StatusCode::NOT_FOUND && lost => {
                    return Ok(None);
                }
                Attempt::Refused(it) if it.status == StatusCode::NOT_FOUND => {
                    return Err(Error::NotFound { at: self.at(), peer: platform.peer() });
                }
                Attempt::Conflict(current) if lost => {
                    let reason = "the answer was lost, and the object has changed since";
                    return Err(self.unknown(
                        platform,
                        "delete",
                        "",
                        reason,
                        stored(current.as_ref()),
                    ));
                }
                Attempt::Conflict(current) => return Err(self.conflict("", current)),
                Attempt::Refused(it) => {
                    return Err(platform.refused(&format!("delete {}", self.at()), &it));
                }
                Attempt::NotRun(failure) => failure,
                Attempt::Unclear(failure) => {
                    lost = true;
                    failure
                }
            };
            if !retry.pause(failure.after).await {
                return Err(self.given_up(platform, "delete", "", lost, &failure));
            }
        }
    }

    /// Whether the platform came back from a copy between the read on which a write was based and the write: it may have
    /// replaced another writer's object that had the same number.
    fn is_of_former_era(&self, written: u64) -> bool {
        let base = Revision::unpacked(self.version);
        base.number > 0 && Revision::unpacked(written).era != base.era
    }

    async fn find(
        &self,
        platform: &Platform,
        writer: &str,
        retry: &mut Retry,
    ) -> Result<Found, Error> {
        let current = platform.get_within(self.kind, &self.name, retry).await?;
        if let Some(object) = &current {
            if object.writer == writer {
                return Ok(Found::Written(object.clone()));
            }
        }
        if let Some(history) = platform.history(self.kind, self.since, retry).await? {
            for event in history.events {
                if event.object.name == self.name && event.object.writer == writer {
                    return Ok(Found::Written(event.object));
                }
            }
        }
        let version = current.as_ref().map_or(0, |it| it.version);
        Ok(if version == self.version { Found::Unchanged } else { Found::Replaced(current) })
    }

    fn conflict(&self, writer: &str, current: Option<Object>) -> Error {
        let reason = match (&current, self.version) {
            (Some(it), 0) => format!("it already exists with version {}", it.version),
            (Some(it), version) => {
                format!("version {version} is not stored; version {} is", it.version)
            }
            (None, version) => format!("version {version} is not stored; nothing is"),
        };
        Error::Conflict {
            at: self.at(),
            reason,
            ours: pretty(&self.ours(writer)),
            stored: stored(current.as_ref()),
        }
    }

    fn unknown(
        &self,
        platform: &Platform,
        step: &str,
        writer: &str,
        reason: &str,
        stored: String,
    ) -> Error {
        Error::Unknown {
            step: format!("{step} {}", self.at()),
            peer: platform.peer(),
            reason: reason.to_owned(),
            ours: pretty(&self.ours(writer)),
            stored,
        }
    }

    fn given_up(
        &self,
        platform: &Platform,
        step: &str,
        writer: &str,
        lost: bool,
        failure: &Failure,
    ) -> Error {
        let reason = &failure.reason;
        if lost {
            let reason = format!("the answer was lost: {reason}");
            return self.unknown(platform, step, writer, &reason, not_read());
        }
        Error::Unavailable {
            step: format!("{step} {}", self.at()),
            peer: platform.peer(),
            reason: format!("{reason}; nothing was written"),
        }
    }
}

fn attempt<T>(answer: Result<Answer, Lost>) -> Attempt<T>
where
    T: for<'a> Deserialize<'a> + Pack,
{
    let answer = match answer {
        Ok(answer) => answer,
        Err(Lost::NotSent(reason)) => return Attempt::NotRun(Failure::new(reason)),
        Err(Lost::MaybeSent(reason)) => return Attempt::Unclear(Failure::new(reason)),
    };
    match answer.status {
        StatusCode::OK => match read(&answer) {
            Ok(it) => Attempt::Done(it),
            Err(e) => unreadable(&e),
        },
        StatusCode::CONFLICT => match read::<ConflictBody>(&answer) {
            Ok(it) => Attempt::Conflict(it.current),
            Err(e) => unreadable(&e),
        },
        StatusCode::TOO_MANY_REQUESTS => Attempt::NotRun(Failure::from(&answer)),
        status if is_passing(status) => Attempt::Unclear(Failure::from(&answer)),
        _ => Attempt::Refused(answer),
    }
}

fn read<T>(answer: &Answer) -> serde_json::Result<T>
where
    T: for<'a> Deserialize<'a> + Pack,
{
    let mut parsed: T = serde_json::from_slice(&answer.body)?;
    parsed.pack(answer.era);
    Ok(parsed)
}

fn unreadable<T>(error: &serde_json::Error) -> Attempt<T> {
    Attempt::Unclear(Failure::new(format!("an answer that is not readable: {error}")))
}

/// What the platform holds, for an error.
pub(crate) fn stored(current: Option<&Object>) -> String {
    current.map_or_else(|| "(nothing)".to_owned(), pretty)
}

fn not_read() -> String {
    "(could not be read)".to_owned()
}

/// A new writer's mark: 32 hexadecimal digits.
pub fn mark() -> String {
    format!("{:032x}", rand::rng().random::<u128>())
}
