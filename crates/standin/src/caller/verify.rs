//! Whether an answer is the whole answer to a caller's own request.

use http::{HeaderMap, header::CONTENT_LENGTH};

use crate::answer::{self, AnswerError, FeedReader, Head};

use super::{
    Target,
    ask::{Ask, Kind},
    outcome::Flaw,
};

/// Checks an answer with status 200.
pub fn check(ask: &Ask, target: &Target, headers: &HeaderMap, body: &[u8]) -> Result<(), Flaw> {
    check_length(headers, body)?;
    let head = match ask.kind {
        Kind::Feed => read_feed(body),
        Kind::Screen | Kind::Upload | Kind::Transfer => answer::read(body),
    };
    let head = head.map_err(flaw)?;
    check_origin(ask, target, &head)?;
    check_body(ask, &head)
}

fn check_length(headers: &HeaderMap, body: &[u8]) -> Result<(), Flaw> {
    let Some(text) = headers.get(CONTENT_LENGTH) else {
        return Ok(());
    };
    let length = text.to_str().ok().and_then(|it| it.parse::<usize>().ok());
    if length == Some(body.len()) {
        return Ok(());
    }
    Err(Flaw::Cut(format!("{} bytes, content-length {text:?}", body.len())))
}

fn read_feed(body: &[u8]) -> Result<Head, AnswerError> {
    let mut reader = FeedReader::new();
    reader.push(body)?;
    reader.finish().cloned()
}

fn flaw(error: AnswerError) -> Flaw {
    match error {
        AnswerError::Cut(_) => Flaw::Cut(error.to_string()),
        AnswerError::Tick(..) => Flaw::Crossed(error.to_string()),
        AnswerError::Digest | AnswerError::Head(_) => Flaw::Corrupt(error.to_string()),
    }
}

fn check_origin(ask: &Ask, target: &Target, head: &Head) -> Result<(), Flaw> {
    if head.service != target.name || head.pool != target.pool {
        let text = format!("{} of pool {} at {}", head.service, head.pool, head.upstream);
        return Err(Flaw::WrongService(text));
    }
    if !ask.accepts(&head.echo) {
        return Err(Flaw::Crossed(format!("token {} for {}", head.echo, ask.token)));
    }
    let key = ask.key.as_deref().unwrap_or_default();
    if head.key != key {
        return Err(Flaw::Crossed(format!("key {} for {key}", head.key)));
    }
    Ok(())
}

fn check_body(ask: &Ask, head: &Head) -> Result<(), Flaw> {
    let size = ask.size() as u64;
    if head.size != size {
        return Err(Flaw::Corrupt(format!("{} of {size} body bytes received", head.size)));
    }
    if size > 0 && head.digest != answer::to_hex(&ask.digest()) {
        return Err(Flaw::Corrupt("digest of the body differs".to_owned()));
    }
    Ok(())
}
