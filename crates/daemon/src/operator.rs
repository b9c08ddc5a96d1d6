//! Operator address: health, metrics, status and recent events over HTTP, read-only.

use std::{convert::Infallible, net::SocketAddr, sync::Arc};

use anyhow::Context;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};

use crate::{event, metrics};

/// What the operator address asks of the process.
pub(crate) trait Inspect: Send + Sync + 'static {
    /// Whether the process serves; the text says why not.
    fn health(&self) -> Result<(), String>;
    /// State of the process.
    fn status(&self) -> Value;
}

/// Serves the operator address until the process ends.
pub(crate) async fn serve<I>(address: SocketAddr, inspect: Arc<I>) -> anyhow::Result<()>
where
    I: Inspect,
{
    let listener = TcpListener::bind(address)
        .await
        .with_context(|| format!("listen for operators on {address}"))?;
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            tokio::spawn(serve_stream(stream, Arc::clone(&inspect)));
        }
    });
    Ok(())
}

async fn serve_stream<I>(stream: TcpStream, inspect: Arc<I>)
where
    I: Inspect,
{
    let service = service_fn(move |request: Request<Incoming>| {
        let response = answer(&request, inspect.as_ref());
        async move { Ok::<_, Infallible>(response) }
    });
    if let Err(e) = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await {
        tracing::debug!("operator connection: {e}");
    }
}

fn answer<I>(request: &Request<Incoming>, inspect: &I) -> Response<Full<Bytes>>
where
    I: Inspect,
{
    if request.method() != Method::GET {
        return text(StatusCode::METHOD_NOT_ALLOWED, "this address is read-only: use GET\n");
    }
    match request.uri().path() {
        "/health" => match inspect.health() {
            Ok(()) => text(StatusCode::OK, "ok\n"),
            Err(why) => text(StatusCode::SERVICE_UNAVAILABLE, &format!("{why}\n")),
        },
        "/metrics" => match metrics::render() {
            Ok(body) => respond(StatusCode::OK, "text/plain; version=0.0.4", body),
            Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, &format!("{e:#}\n")),
        },
        "/status" => as_json(&inspect.status()),
        "/timeline" => as_json(&json!({ "events": event::recent() })),
        _ => text(StatusCode::NOT_FOUND, "paths: /health /metrics /status /timeline\n"),
    }
}

fn as_json(value: &Value) -> Response<Full<Bytes>> {
    respond(StatusCode::OK, "application/json", value.to_string().into_bytes())
}

fn text(status: StatusCode, body: &str) -> Response<Full<Bytes>> {
    respond(status, "text/plain", body.as_bytes().to_vec())
}

fn respond(status: StatusCode, kind: &str, body: Vec<u8>) -> Response<Full<Bytes>> {
    let builder = Response::builder().status(status).header(CONTENT_TYPE, kind);
    builder.body(Full::new(Bytes::from(body))).expect("status and header are valid")
}
