//! Minimal HTTP server for readiness, metrics and heartbeats.

use std::{convert::Infallible, future::Future, net::SocketAddrV4};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;

use crate::socket;

/// Serves HTTP on `address` until the process ends; `handle` answers each request.
pub fn serve<H, F>(address: SocketAddrV4, what: &'static str, handle: H) -> anyhow::Result<()>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let listener = socket::tcp(address, what)?;
    tokio::spawn(async move {
        loop {
            let (stream, peer) = match listener.accept().await {
                Ok(it) => it,
                Err(e) => {
                    tracing::warn!("failed to accept a connection for {what}: {e}");
                    tokio::task::yield_now().await;
                    continue;
                }
            };
            let handle = handle.clone();
            let service = service_fn(move |request| {
                let response = handle(request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            tokio::spawn(async move {
                let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                if let Err(e) = served.await {
                    tracing::debug!("connection from {peer} for {what} failed: {e}");
                }
            });
        }
    });
    Ok(())
}

/// Builds a response with a body of the given content type.
pub fn respond<B>(status: StatusCode, content_type: &'static str, body: B) -> Response<Full<Bytes>>
where
    B: Into<Bytes>,
{
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, http::HeaderValue::from_static(content_type));
    response
}
