//! Conditional writes that are safe to retry after a lost response.
//!
//! Each write carries a new writer ID. After a lost response, the object and the event history are searched for the ID.
//! If it is found, the write took effect. If not, and the object is unchanged, the write is sent again: both attempts
//! expect the same version, so at most one takes effect. In any other case the outcome is unknown.

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
    backoff::Backoff,
    error::Error,
    output::pretty,
    platform::{
        ApiResponse, PackRevisions, PlatformClient, RetryableError, SendError, is_transient,
    },
};

/// A conditional write of one object.
#[derive(Clone, Debug)]
pub struct Write {
    /// Kind of the object.
    pub kind: Kind,
    /// Name of the object.
    pub name: String,
    /// Version that must be stored; 0 creates the object.
    pub expected_version: u64,
    /// Revision read before the write; the search of the event history starts there.
    pub since_revision: u64,
    /// Content of the object.
    pub spec: Value,
}

#[derive(Serialize)]
struct PutRequest<'a> {
    version: u64,
    writer: &'a str,
    spec: &'a Value,
}

#[derive(Deserialize)]
struct ConflictResponse {
    current: Option<Object>,
}

#[derive(Deserialize)]
struct DeleteResponse {
    revision: u64,
}

impl PackRevisions for ConflictResponse {
    fn pack_revisions(&mut self, era: u64) {
        self.current.iter_mut().for_each(|it| it.pack_revisions(era));
    }
}

impl PackRevisions for DeleteResponse {
    fn pack_revisions(&mut self, era: u64) {
        self.revision = Revision::new(era, self.revision).packed();
    }
}

const PLATFORM_RESTORED: &str =
    "the platform came back from an older copy after the version was read";

/// Result of the search for a write whose response was lost.
enum WriteState {
    /// The write took effect.
    Written(Object),
    /// The object still has the version from before the write.
    Unchanged,
    /// Another writer changed or deleted the object.
    Replaced(Option<Object>),
}

enum AttemptResult<T> {
    Success(T),
    Conflict(Option<Object>),
    NotApplied(RetryableError),
    Indeterminate(RetryableError),
    Rejected(ApiResponse),
}

impl Write {
    fn object_path(&self) -> String {
        format!("{}/{}", self.kind, self.name)
    }

    fn api_path(&self) -> String {
        format!("/v1/objects/{}/{}", self.kind, self.name)
    }

    fn proposed(&self, writer: &str) -> Object {
        Object {
            kind: self.kind.to_string(),
            name: self.name.clone(),
            version: self.expected_version,
            writer: writer.to_owned(),
            spec: self.spec.clone(),
        }
    }

    /// Writes the object and returns it as stored.
    pub async fn put(&self, platform: &PlatformClient) -> Result<Object, Error> {
        let writer = new_writer_id();
        let expected = Revision::unpacked(self.expected_version);
        let body = PutRequest { version: expected.number, writer: &writer, spec: &self.spec };
        let body = serde_json::to_vec(&body)
            .map_err(|e| Error::usage(format!("encode {}", self.object_path()), e.to_string()))?;
        let body = Bytes::from(body);
        let mut backoff = platform.backoff();
        let mut response_lost = false;
        loop {
            let response = platform
                .send(Method::PUT, &self.api_path(), body.clone(), backoff.attempt_timeout())
                .await;
            let failure = match attempt_result::<Object>(response) {
                AttemptResult::Success(object) if self.crosses_era(object.version) => {
                    let current = Some(&object);
                    return Err(self.unknown_outcome(
                        platform,
                        "put",
                        &writer,
                        PLATFORM_RESTORED,
                        format_stored(current),
                    ));
                }
                AttemptResult::Success(object) => return Ok(object),
                AttemptResult::Conflict(Some(current)) if current.writer == writer => {
                    return Ok(current);
                }
                AttemptResult::Conflict(current) if !response_lost => {
                    return Err(self.conflict(&writer, current));
                }
                AttemptResult::Conflict(_) => RetryableError::new("the object changed"),
                AttemptResult::Rejected(it) => {
                    return Err(
                        platform.rejected_error(&format!("put {}", self.object_path()), &it)
                    );
                }
                AttemptResult::NotApplied(failure) => failure,
                AttemptResult::Indeterminate(failure) => {
                    response_lost = true;
                    failure
                }
            };
            if !backoff.wait(failure.retry_after).await {
                return Err(self.deadline_error(platform, "put", &writer, response_lost, &failure));
            }
            if !response_lost {
                continue;
            }
            if let Some(object) = self.resolve_lost_put(platform, &writer, &mut backoff).await? {
                return Ok(object);
            }
        }
    }

    /// Resolves a put whose response was lost: the object if it was written, `None` if the put may be sent again.
    async fn resolve_lost_put(
        &self,
        platform: &PlatformClient,
        writer: &str,
        backoff: &mut Backoff,
    ) -> Result<Option<Object>, Error> {
        match self.find_write(platform, writer, backoff).await {
            Ok(WriteState::Written(object)) => Ok(Some(object)),
            Ok(WriteState::Unchanged) => Ok(None),
            Ok(WriteState::Replaced(current)) => {
                let reason =
                    "the response was lost, and another writer has changed the object since";
                Err(self.unknown_outcome(
                    platform,
                    "put",
                    writer,
                    reason,
                    format_stored(current.as_ref()),
                ))
            }
            Err(e) => {
                let reason = format!("the response was lost: {e}");
                Err(self.unknown_outcome(platform, "put", writer, &reason, stored_not_read()))
            }
        }
    }

    /// Deletes the object at the expected version and returns the revision of the deletion. `None` if the response was
    /// lost and the object no longer exists.
    pub async fn delete(&self, platform: &PlatformClient) -> Result<Option<u64>, Error> {
        let number = Revision::unpacked(self.expected_version).number;
        let path = format!("{}?version={number}", self.api_path());
        let mut backoff = platform.backoff();
        let mut response_lost = false;
        loop {
            let response =
                platform.send(Method::DELETE, &path, Bytes::new(), backoff.attempt_timeout()).await;
            let failure = match attempt_result::<DeleteResponse>(response) {
                AttemptResult::Success(it) if self.crosses_era(it.revision) => {
                    return Err(self.unknown_outcome(
                        platform,
                        "delete",
                        "",
                        PLATFORM_RESTORED,
                        stored_not_read(),
                    ));
                }
                AttemptResult::Success(it) => return Ok(Some(it.revision)),
                AttemptResult::Rejected(it)
                    if it.status == StatusCode::NOT_FOUND && response_lost =>
                {
                    return Ok(None);
                }
                AttemptResult::Rejected(it) if it.status == StatusCode::NOT_FOUND => {
                    return Err(Error::NotFound {
                        object: self.object_path(),
                        peer: platform.authority(),
                    });
                }
                AttemptResult::Conflict(current) if response_lost => {
                    let reason = "the response was lost, and the object has changed since";
                    return Err(self.unknown_outcome(
                        platform,
                        "delete",
                        "",
                        reason,
                        format_stored(current.as_ref()),
                    ));
                }
                AttemptResult::Conflict(current) => return Err(self.conflict("", current)),
                AttemptResult::Rejected(it) => {
                    return Err(
                        platform.rejected_error(&format!("delete {}", self.object_path()), &it)
                    );
                }
                AttemptResult::NotApplied(failure) => failure,
                AttemptResult::Indeterminate(failure) => {
                    response_lost = true;
                    failure
                }
            };
            if !backoff.wait(failure.retry_after).await {
                return Err(self.deadline_error(platform, "delete", "", response_lost, &failure));
            }
        }
    }

    /// Whether the platform was reset to an older copy between the read and the write. The write may then have
    /// replaced another writer's object with the same version number.
    fn crosses_era(&self, written: u64) -> bool {
        let expected = Revision::unpacked(self.expected_version);
        expected.number > 0 && Revision::unpacked(written).era != expected.era
    }

    async fn find_write(
        &self,
        platform: &PlatformClient,
        writer: &str,
        backoff: &mut Backoff,
    ) -> Result<WriteState, Error> {
        let current = platform.get_within(self.kind, &self.name, backoff).await?;
        if let Some(object) = &current {
            if object.writer == writer {
                return Ok(WriteState::Written(object.clone()));
            }
        }
        if let Some(history) =
            platform.events_since(self.kind, self.since_revision, backoff).await?
        {
            for event in history.events {
                if event.object.name == self.name && event.object.writer == writer {
                    return Ok(WriteState::Written(event.object));
                }
            }
        }
        let version = current.as_ref().map_or(0, |it| it.version);
        Ok(if version == self.expected_version {
            WriteState::Unchanged
        } else {
            WriteState::Replaced(current)
        })
    }

    fn conflict(&self, writer: &str, current: Option<Object>) -> Error {
        let reason = match (&current, self.expected_version) {
            (Some(it), 0) => format!("the object already exists with version {}", it.version),
            (Some(it), version) => {
                format!("expected version {version}, found version {}", it.version)
            }
            (None, version) => format!("expected version {version}, but the object does not exist"),
        };
        Error::Conflict {
            object: self.object_path(),
            reason,
            ours: pretty(&self.proposed(writer)),
            stored: format_stored(current.as_ref()),
        }
    }

    fn unknown_outcome(
        &self,
        platform: &PlatformClient,
        operation: &str,
        writer: &str,
        reason: &str,
        stored: String,
    ) -> Error {
        Error::OutcomeUnknown {
            operation: format!("{operation} {}", self.object_path()),
            peer: platform.authority(),
            reason: reason.to_owned(),
            ours: pretty(&self.proposed(writer)),
            stored,
        }
    }

    fn deadline_error(
        &self,
        platform: &PlatformClient,
        operation: &str,
        writer: &str,
        response_lost: bool,
        failure: &RetryableError,
    ) -> Error {
        let reason = &failure.reason;
        if response_lost {
            let reason = format!("the response was lost: {reason}");
            return self.unknown_outcome(platform, operation, writer, &reason, stored_not_read());
        }
        Error::Unavailable {
            operation: format!("{operation} {}", self.object_path()),
            peer: platform.authority(),
            reason: format!("{reason}; nothing was written"),
        }
    }
}

fn attempt_result<T>(response: Result<ApiResponse, SendError>) -> AttemptResult<T>
where
    T: for<'a> Deserialize<'a> + PackRevisions,
{
    let response = match response {
        Ok(response) => response,
        Err(SendError::NotSent(reason)) => {
            return AttemptResult::NotApplied(RetryableError::new(reason));
        }
        Err(SendError::MaybeSent(reason)) => {
            return AttemptResult::Indeterminate(RetryableError::new(reason));
        }
    };
    match response.status {
        StatusCode::OK => match parse_response(&response) {
            Ok(it) => AttemptResult::Success(it),
            Err(e) => invalid_response(&e),
        },
        StatusCode::CONFLICT => match parse_response::<ConflictResponse>(&response) {
            Ok(it) => AttemptResult::Conflict(it.current),
            Err(e) => invalid_response(&e),
        },
        StatusCode::TOO_MANY_REQUESTS => AttemptResult::NotApplied(RetryableError::from(&response)),
        status if is_transient(status) => {
            AttemptResult::Indeterminate(RetryableError::from(&response))
        }
        _ => AttemptResult::Rejected(response),
    }
}

fn parse_response<T>(response: &ApiResponse) -> serde_json::Result<T>
where
    T: for<'a> Deserialize<'a> + PackRevisions,
{
    let mut parsed: T = serde_json::from_slice(&response.body)?;
    parsed.pack_revisions(response.era);
    Ok(parsed)
}

fn invalid_response<T>(error: &serde_json::Error) -> AttemptResult<T> {
    AttemptResult::Indeterminate(RetryableError::new(format!("invalid response body: {error}")))
}

/// Formats the stored object for an error message.
pub(crate) fn format_stored(current: Option<&Object>) -> String {
    current.map_or_else(|| "(nothing)".to_owned(), pretty)
}

fn stored_not_read() -> String {
    "(could not be read)".to_owned()
}

/// Generates a random writer ID of 32 hexadecimal digits.
pub fn new_writer_id() -> String {
    format!("{:032x}", rand::rng().random::<u128>())
}
