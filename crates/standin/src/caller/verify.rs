//! Verifies that a response is complete and belongs to the request.

use http::{HeaderMap, header::CONTENT_LENGTH};

use crate::response::{self, FeedReader, ResponseError, ResponseHead};

use super::{
    Target,
    outcome::FailureReason,
    request::{CallerRequest, RequestKind},
};

/// Verifies a response with status 200.
pub fn check(
    request: &CallerRequest,
    target: &Target,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<(), FailureReason> {
    check_length(headers, body)?;
    let head = match request.kind {
        RequestKind::Feed => read_feed(body),
        RequestKind::Screen | RequestKind::Upload | RequestKind::Transfer => response::read(body),
    };
    let head = head.map_err(failure_reason)?;
    check_origin(request, target, &head)?;
    check_body(request, &head)
}

fn check_length(headers: &HeaderMap, body: &[u8]) -> Result<(), FailureReason> {
    let Some(text) = headers.get(CONTENT_LENGTH) else {
        return Ok(());
    };
    let length = text.to_str().ok().and_then(|it| it.parse::<usize>().ok());
    if length == Some(body.len()) {
        return Ok(());
    }
    Err(FailureReason::Truncated(format!("{} bytes, content-length {text:?}", body.len())))
}

fn read_feed(body: &[u8]) -> Result<ResponseHead, ResponseError> {
    let mut reader = FeedReader::new();
    reader.push(body)?;
    reader.finish().cloned()
}

fn failure_reason(error: ResponseError) -> FailureReason {
    match error {
        ResponseError::Truncated(_) => FailureReason::Truncated(error.to_string()),
        ResponseError::UnexpectedLine(..) => FailureReason::WrongRequest(error.to_string()),
        ResponseError::Digest | ResponseError::Head(_) => FailureReason::Corrupt(error.to_string()),
    }
}

fn check_origin(
    request: &CallerRequest,
    target: &Target,
    head: &ResponseHead,
) -> Result<(), FailureReason> {
    if head.service != target.name || head.pool != target.pool {
        let text = format!("{} of pool {} at {}", head.service, head.pool, head.upstream);
        return Err(FailureReason::WrongService(text));
    }
    if !request.accepts(&head.echo) {
        return Err(FailureReason::WrongRequest(format!(
            "token {} for {}",
            head.echo, request.token
        )));
    }
    let key = request.key.as_deref().unwrap_or_default();
    if head.key != key {
        return Err(FailureReason::WrongRequest(format!("key {} for {key}", head.key)));
    }
    Ok(())
}

fn check_body(request: &CallerRequest, head: &ResponseHead) -> Result<(), FailureReason> {
    let size = request.size() as u64;
    if head.size != size {
        return Err(FailureReason::Corrupt(format!("{} of {size} body bytes received", head.size)));
    }
    if size > 0 && head.digest != response::to_hex(&request.digest()) {
        return Err(FailureReason::Corrupt("digest of the body differs".to_owned()));
    }
    Ok(())
}
