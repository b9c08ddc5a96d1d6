//! HTTP/1.1 over TCP, as little as the interfaces need.

use std::{
    collections::HashMap,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    thread,
    time::Duration,
};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub body: String,
}

/// Serves each connection on a thread. `None` as an answer: the channel stays silent and is closed.
pub fn serve<H>(address: SocketAddrV4, handle: H) -> std::io::Result<()>
where
    H: Fn(Request) -> Option<(u16, String)> + Clone + Send + 'static,
{
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || answer(stream, &handle));
        }
    });
    Ok(())
}

fn answer<H>(stream: TcpStream, handle: &H) -> Option<()>
where
    H: Fn(Request) -> Option<(u16, String)>,
{
    stream.set_read_timeout(Some(Duration::from_secs(60))).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut stream = stream;
    loop {
        let request = read_request(&mut reader)?;
        let (status, body) = handle(request)?;
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all((head + &body).as_bytes()).ok()?;
    }
}

fn read_request<R>(reader: &mut R) -> Option<Request>
where
    R: BufRead,
{
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|it| *it > 0)?;
    let mut words = first.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut len = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|it| *it > 0)?;
        let line = line.trim();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            len = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; len];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|it| it.split_once('='));
    let query = query.map(|(name, value)| (name.to_owned(), value.to_owned())).collect();
    Some(Request { method, path: path.to_owned(), query, body: String::from_utf8(body).ok()? })
}

/// Makes a call and returns the status; `None` without an answer within a second.
pub fn call(address: SocketAddrV4, method: &str, path: &str, body: &str) -> Option<u16> {
    let limit = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(address), limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut start = [0; 12];
    stream.read_exact(&mut start).ok()?;
    std::str::from_utf8(&start[9..12]).ok()?.parse().ok()
}
