//! Minimal HTTP/1.1: one request per connection.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddrV4, TcpStream},
    time::Duration,
};

/// A received request.
pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Parameters of the query.
    pub query: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn param(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
    }
}

/// Reads a request.
pub fn read_request(stream: &TcpStream) -> Option<Request> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let mut parts = line.split_whitespace();
    let (method, uri) = (parts.next()?.to_owned(), parts.next()?.to_owned());
    let body = read_body(&mut reader)?;
    let (path, query) = uri.split_once('?').unwrap_or((&uri, ""));
    let query = query.split('&').filter_map(|it| it.split_once('='));
    let query = query.map(|(k, v)| (k.to_owned(), v.to_owned())).collect();
    Some(Request { method, path: path.to_owned(), query, body })
}

fn read_body<R: BufRead>(reader: &mut R) -> Option<String> {
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

/// Sends a response and ends the connection.
pub fn respond(mut stream: &TcpStream, status: u16, body: &str) {
    let head = format!(
        "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         connection: close\r\n\r\n",
        body.len()
    );
    let _ = stream.write_all((head + body).as_bytes());
}

/// Sends a request; returns the status of the response, if one arrives within `limit`.
pub fn call(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&to.into(), limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {to}\r\ncontent-type: application/json\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(&stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    line.split_whitespace().nth(1)?.parse().ok()
}
