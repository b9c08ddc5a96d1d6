//! Read-only HTTP server for operators: health, metrics, status and recent events.

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

/// Process state that the operator address exposes.
pub(crate) trait Inspect: Send + Sync + 'static {
    /// Returns the reason if the process is not serving.
    fn health(&self) -> Result<(), String>;
    /// JSON body of `/status`.
    fn status(&self) -> Value;
}

/// Serves the operator address until the process ends.
pub(crate) async fn serve<I>(address: SocketAddr, inspect: Arc<I>) -> anyhow::Result<()>
where
    I: Inspect,
{
    let listener = TcpListener::bind(address)
        .await
        .with_context(|| format!("listen on the operator address {address}"))?;
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
        let response = handle(&request, inspect.as_ref());
        async move { Ok::<_, Infallible>(response) }
    });
    if let Err(e) = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await {
        tracing::debug!("operator connection failed: {e}");
    }
}

fn handle<I>(request: &Request<Incoming>, inspect: &I) -> Response<Full<Bytes>>
where
    I: Inspect,
{
    if request.method() != Method::GET {
        return text_response(
            StatusCode::METHOD_NOT_ALLOWED,
            "this address is read-only: use GET\n",
        );
    }
    match request.uri().path() {
        "/health" => match inspect.health() {
            Ok(()) => text_response(StatusCode::OK, "ok\n"),
            Err(reason) => text_response(StatusCode::SERVICE_UNAVAILABLE, &format!("{reason}\n")),
        },
        "/metrics" => match metrics::render() {
            Ok(body) => build_response(StatusCode::OK, "text/plain; version=0.0.4", body),
            Err(e) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &format!("{e:#}\n")),
        },
        "/status" => json_response(&inspect.status()),
        "/timeline" => json_response(&json!({ "events": event::recent() })),
        _ => text_response(StatusCode::NOT_FOUND, "paths: /health /metrics /status /timeline\n"),
    }
}

fn json_response(value: &Value) -> Response<Full<Bytes>> {
    build_response(StatusCode::OK, "application/json", value.to_string().into_bytes())
}

fn text_response(status: StatusCode, body: &str) -> Response<Full<Bytes>> {
    build_response(status, "text/plain", body.as_bytes().to_vec())
}

fn build_response(status: StatusCode, content_type: &str, body: Vec<u8>) -> Response<Full<Bytes>> {
    let builder = Response::builder().status(status).header(CONTENT_TYPE, content_type);
    builder.body(Full::new(Bytes::from(body))).expect("status and header are valid")
}
