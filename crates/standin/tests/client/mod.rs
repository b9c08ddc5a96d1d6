//! HTTP/1.1 client for tests, with one connection per request.

#![allow(dead_code, missing_docs, unreachable_pub)]

use std::net::SocketAddr;

use anyhow::Context;
use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

#[derive(Clone, Debug)]
pub struct Client {
    addr: SocketAddr,
}

#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Response {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(|it| it.to_str().unwrap())
    }
}

impl Client {
    pub fn new(addr: SocketAddr) -> Client {
        Client { addr }
    }

    pub async fn get(&self, path: &str) -> anyhow::Result<Response> {
        self.call(Method::GET, path, &[], Vec::new()).await
    }

    pub async fn delete(&self, path: &str) -> anyhow::Result<Response> {
        self.call(Method::DELETE, path, &[], Vec::new()).await
    }

    pub async fn put(&self, path: &str, body: &Value) -> anyhow::Result<Response> {
        self.call(Method::PUT, path, &[], body.to_string().into_bytes()).await
    }

    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> anyhow::Result<Response> {
        let response = self.open(method, path, headers, body).await?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.context("read the body")?.to_bytes();
        Ok(Response { status: parts.status.as_u16(), headers: parts.headers, body })
    }

    pub async fn open(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> anyhow::Result<http::Response<Incoming>> {
        let stream = TcpStream::connect(self.addr).await.context("connect")?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        let mut request = Request::builder().method(method).uri(path).header("host", "standin");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        sender.send_request(request.body(Full::new(Bytes::from(body)))?).await.context("send")
    }
}
