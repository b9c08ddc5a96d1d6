//! HTTP/1.1 client for the platform, admin addresses and operator addresses.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Context, bail};
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::time;

const TIMEOUT: Duration = Duration::from_secs(5);

/// HTTP client with connection reuse.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> HttpClient {
        HttpClient::new()
    }
}

impl HttpClient {
    /// Creates a client.
    pub fn new() -> HttpClient {
        HttpClient { client: Client::builder(TokioExecutor::new()).build_http() }
    }

    /// Sends a request and reads the complete response; fails after a timeout.
    pub async fn call(
        &self,
        method: Method,
        peer: SocketAddr,
        path: &str,
        body: Option<&Value>,
    ) -> anyhow::Result<(StatusCode, Bytes)> {
        let step = || format!("{method} http://{peer}{path}");
        let bytes = body.map(Value::to_string).unwrap_or_default();
        let request = Request::builder()
            .method(method.clone())
            .uri(format!("http://{peer}{path}"))
            .body(Full::new(Bytes::from(bytes)))
            .with_context(step)?;
        let exchange = async {
            let response = self.client.request(request).await?;
            let status = response.status();
            let body = response.into_body().collect().await?.to_bytes();
            anyhow::Ok((status, body))
        };
        time::timeout(TIMEOUT, exchange).await.with_context(step)?.with_context(step)
    }

    /// Gets JSON; fails on an error status.
    pub async fn get<T>(&self, peer: SocketAddr, path: &str) -> anyhow::Result<T>
    where
        T: DeserializeOwned,
    {
        let (status, body) = self.call(Method::GET, peer, path, None).await?;
        if !status.is_success() {
            bail!("GET http://{peer}{path}: status {status}");
        }
        serde_json::from_slice(&body).with_context(|| format!("GET http://{peer}{path}: JSON"))
    }

    /// Gets text; fails on an error status.
    pub async fn text(&self, peer: SocketAddr, path: &str) -> anyhow::Result<String> {
        let (status, body) = self.call(Method::GET, peer, path, None).await?;
        if !status.is_success() {
            bail!("GET http://{peer}{path}: status {status}");
        }
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    /// Puts JSON and returns the JSON response; fails on an error status.
    pub async fn put(&self, peer: SocketAddr, path: &str, body: &Value) -> anyhow::Result<Value> {
        let (status, response) = self.call(Method::PUT, peer, path, Some(body)).await?;
        if !status.is_success() {
            let text = String::from_utf8_lossy(&response);
            bail!("PUT http://{peer}{path}: status {status}: {text}");
        }
        Ok(serde_json::from_slice(&response).unwrap_or(Value::Null))
    }
}
