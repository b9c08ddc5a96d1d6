//! HTTP/3 server with configurable behaviour, in place of the load balancer.

#![allow(missing_docs, unreachable_pub)]

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use bytes::{Buf, Bytes};
use camphorwinch_standin::{
    caller::{Target, client},
    response::{self, ResponseHead},
    site::pki::Authority,
};
use h3::{error::Code, server::RequestStream};
use http::{Request, Response, StatusCode};
use quinn::{ClientConfig, Endpoint, ServerConfig, crypto::rustls::QuicServerConfig};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};

/// Behaviour of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    Complete,
    NotRun,
    Rejected,
    Unknown,
    Plain503,
    Truncated,
    Short,
    WrongRequest,
    WrongService,
    WrongBody,
    CloseImmediately,
    CloseMidway,
    Goaway,
}

/// A running server on a free port, and a client's settings to reach it.
pub struct Server {
    pub target: Target,
    pub config: ClientConfig,
    pub endpoint: Endpoint,
    _server: Endpoint,
}

type Stream = RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

impl Server {
    pub fn start(behaviour: Behaviour) -> Server {
        let authority = Authority::new("test").unwrap();
        let leaf = authority.leaf("ledger", &[]).unwrap();
        let chain = CertificateDer::pem_slice_iter(leaf.chain.as_bytes());
        let chain = chain.collect::<Result<Vec<_>, _>>().unwrap();
        let key = PrivateKeyDer::from_pem_slice(leaf.key.as_bytes()).unwrap();
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut tls = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .unwrap()
            .with_no_client_auth()
            .with_single_cert(chain, key)
            .unwrap();
        tls.alpn_protocols = vec![b"h3".to_vec()];
        let crypto = QuicServerConfig::try_from(tls).unwrap();
        let config = ServerConfig::with_crypto(Arc::new(crypto));
        let local = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = Endpoint::server(config, local).unwrap();
        let address = server.local_addr().unwrap();
        tokio::spawn(accept(server.clone(), behaviour));
        Server {
            target: Target { name: "ledger".into(), address, pool: "ledger".into() },
            config: client::config(authority.pem()).unwrap(),
            endpoint: Endpoint::client(local).unwrap(),
            _server: server,
        }
    }
}

async fn accept(endpoint: Endpoint, behaviour: Behaviour) {
    while let Some(incoming) = endpoint.accept().await {
        tokio::spawn(async move {
            let conn = incoming.await.unwrap();
            serve(conn, behaviour).await;
        });
    }
}

async fn serve(conn: quinn::Connection, behaviour: Behaviour) {
    let quic = h3_quinn::Connection::new(conn.clone());
    let mut h3 = h3::server::Connection::<_, Bytes>::new(quic).await.unwrap();
    while let Ok(Some(resolver)) = h3.accept().await {
        if behaviour == Behaviour::Goaway {
            h3.shutdown(0).await.unwrap();
        }
        let conn = conn.clone();
        tokio::spawn(async move {
            let Ok((request, stream)) = resolver.resolve_request().await else { return };
            respond(request, stream, behaviour, conn).await;
        });
    }
}

async fn respond(
    request: Request<()>,
    mut stream: Stream,
    behaviour: Behaviour,
    conn: quinn::Connection,
) {
    match behaviour {
        Behaviour::Rejected => {
            stream.stop_stream(Code::H3_REQUEST_REJECTED);
            stream.stop_sending(Code::H3_REQUEST_REJECTED);
            return;
        }
        Behaviour::CloseImmediately => return conn.close(0x101_u32.into(), b"gone"),
        Behaviour::NotRun => {
            return respond_error(stream, StatusCode::SERVICE_UNAVAILABLE, "not-run").await;
        }
        Behaviour::Unknown => {
            return respond_error(stream, StatusCode::BAD_GATEWAY, "unknown").await;
        }
        Behaviour::Plain503 => {
            return respond_error(stream, StatusCode::SERVICE_UNAVAILABLE, "").await;
        }
        _ => {}
    }
    let mut body = Vec::new();
    while let Ok(Some(mut data)) = stream.recv_data().await {
        let mut bytes = vec![0; data.remaining()];
        data.copy_to_slice(&mut bytes);
        body.extend(bytes);
    }
    tokio::time::sleep(work_time(&request)).await;
    let text = response_text(&request, &body, behaviour);
    let bytes = Bytes::from(text);
    let head = Response::builder().header("content-length", bytes.len());
    stream.send_response(head.body(()).unwrap()).await.unwrap();
    match behaviour {
        Behaviour::Truncated => {
            stream.send_data(bytes.slice(..10)).await.unwrap();
            stream.stop_stream(Code::H3_INTERNAL_ERROR);
        }
        Behaviour::Short => {
            stream.send_data(bytes.slice(..bytes.len() - 10)).await.unwrap();
            stream.finish().await.unwrap();
        }
        Behaviour::CloseMidway => {
            stream.send_data(bytes.slice(..10)).await.unwrap();
            tokio::time::sleep(Duration::from_millis(50)).await;
            conn.close(0x100_u32.into(), b"early");
        }
        _ => {
            stream.send_data(bytes).await.unwrap();
            stream.finish().await.unwrap();
        }
    }
}

async fn respond_error(mut stream: Stream, status: StatusCode, outcome: &str) {
    let mut head = Response::builder().status(status).header("retry-after", "1");
    if !outcome.is_empty() {
        head = head.header("camphorwinch-outcome", outcome);
    }
    stream.send_response(head.body(()).unwrap()).await.unwrap();
    stream.finish().await.unwrap();
}

fn work_time(request: &Request<()>) -> Duration {
    let query = request.uri().query().unwrap_or_default();
    let work = query.split('&').find_map(|it| it.strip_prefix("work_ms="));
    Duration::from_millis(work.map_or(0, |it| it.parse().unwrap()))
}

fn response_text(request: &Request<()>, body: &[u8], behaviour: Behaviour) -> String {
    let query = request.uri().query().unwrap_or_default();
    let echo = query.split('&').find_map(|it| it.strip_prefix("echo=")).unwrap_or_default();
    let key = request.headers().get("idempotency-key").map(|it| it.to_str().unwrap());
    let mut head = ResponseHead {
        upstream: "ledger-1".into(),
        pool: "ledger".into(),
        service: "ledger".into(),
        echo: echo.into(),
        key: key.unwrap_or_default().into(),
        size: body.len() as u64,
        digest: if body.is_empty() { String::new() } else { response::hex_digest(body) },
        ..ResponseHead::default()
    };
    match behaviour {
        Behaviour::WrongRequest => head.echo = "another".into(),
        Behaviour::WrongService => head.service = "intake".into(),
        Behaviour::WrongBody => head.size += 1,
        _ => {}
    }
    if request.uri().path() == "/feed" {
        let mut text = response::first_line(&head);
        text += &response::feed_line(1, &head.echo);
        text += &response::digest_line(text.as_bytes());
        return text;
    }
    response::write(&head, 100)
}
