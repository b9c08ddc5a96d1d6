//! QUIC connections of `quinn` as `h3` wants them.
//!
//! Used instead of the ready-made adapter for three things: a send stream that is dropped half-way resets the stream
//! instead of ending it, so that no caller takes a part for the whole; one learns when a caller gives up a request
//! before its answer; and one learns when an answer has arrived.

use std::{
    collections::BTreeMap,
    future::Future,
    pin::{Pin, pin},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use bytes::{Buf, Bytes};
use h3::{
    error::Code,
    quic::{self, ConnectionErrorIncoming, StreamErrorIncoming, StreamId, WriteBuf},
};
use parking_lot::Mutex;
use quinn::{ReadError, VarInt, WriteError};

type Streams = Result<(quinn::SendStream, quinn::RecvStream), quinn::ConnectionError>;
type Accepting<T> = Pin<Box<dyn Future<Output = T> + Send + Sync>>;

/// Waits until a caller gives up a request, or has got its whole answer.
pub(crate) struct Ended {
    waiting: Pin<Box<dyn Future<Output = End> + Send + Sync>>,
    end: Option<End>,
}

impl Ended {
    /// The end that `waiting` tells.
    pub(crate) fn new<F>(waiting: F) -> Ended
    where
        F: Future<Output = End> + Send + Sync + 'static,
    {
        Ended { waiting: Box::pin(waiting), end: None }
    }

    /// An end that does not come: for a request that is run whatever its caller does.
    pub(crate) fn never() -> Ended {
        Ended::new(std::future::pending())
    }

    /// Waits for the end. Can be cancelled and repeated.
    pub(crate) async fn wait(&mut self) -> End {
        if let Some(end) = self.end {
            return end;
        }
        let end = self.waiting.as_mut().await;
        self.end = Some(end);
        end
    }
}

/// How a request's stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// The caller has all of the answer.
    Delivered,
    /// The caller gave up, or its flow is gone.
    GivenUp,
}

/// The ends of accepted request streams, by stream number, until their requests take them.
#[derive(Clone, Default)]
pub(crate) struct Ends {
    by_stream: Arc<Mutex<BTreeMap<u64, Ended>>>,
    delivering: Arc<AtomicUsize>,
}

/// Counts an answer that was sent and not yet acknowledged.
pub(crate) struct Delivering(Arc<AtomicUsize>);

impl Drop for Delivering {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Ends {
    /// Takes the end of a stream.
    pub(crate) fn take(&self, stream: StreamId) -> Option<Ended> {
        self.by_stream.lock().remove(&stream.into_inner())
    }

    /// Notes that an answer was sent to its end.
    pub(crate) fn delivering(&self) -> Delivering {
        self.delivering.fetch_add(1, Ordering::Relaxed);
        Delivering(Arc::clone(&self.delivering))
    }

    /// Answers that were sent and not yet acknowledged.
    pub(crate) fn unacknowledged(&self) -> usize {
        self.delivering.load(Ordering::Relaxed)
    }

    fn put(&self, send: &quinn::SendStream) {
        let stopped = send.stopped();
        let ended = async move {
            match stopped.await {
                Ok(None) => End::Delivered,
                Ok(Some(_)) | Err(_) => End::GivenUp,
            }
        };
        self.by_stream.lock().insert(u64::from(send.id()), Ended::new(ended));
    }
}

/// A QUIC connection.
pub(crate) struct Connection {
    conn: quinn::Connection,
    bidi: Accepting<Streams>,
    uni: Accepting<Result<quinn::RecvStream, quinn::ConnectionError>>,
    opener: Opener,
    ends: Ends,
}

impl Connection {
    /// Wraps a connection; the ends of its request streams are put into `ends`.
    pub(crate) fn new(conn: quinn::Connection, ends: Ends) -> Connection {
        Connection {
            bidi: accept_bidi(conn.clone()),
            uni: accept_uni(conn.clone()),
            opener: Opener::new(conn.clone()),
            conn,
            ends,
        }
    }
}

fn accept_bidi(conn: quinn::Connection) -> Accepting<Streams> {
    Box::pin(async move { conn.accept_bi().await })
}

fn accept_uni(
    conn: quinn::Connection,
) -> Accepting<Result<quinn::RecvStream, quinn::ConnectionError>> {
    Box::pin(async move { conn.accept_uni().await })
}

impl<B> quic::Connection<B> for Connection
where
    B: Buf,
{
    type RecvStream = RecvStream;
    type OpenStreams = Opener;

    fn poll_accept_recv(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Self::RecvStream, ConnectionErrorIncoming>> {
        let accepted = ready!(self.uni.as_mut().poll(cx));
        self.uni = accept_uni(self.conn.clone());
        Poll::Ready(accepted.map(RecvStream::new).map_err(connection_error))
    }

    fn poll_accept_bidi(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Self::BidiStream, ConnectionErrorIncoming>> {
        let accepted = ready!(self.bidi.as_mut().poll(cx));
        self.bidi = accept_bidi(self.conn.clone());
        let (send, recv) = accepted.map_err(connection_error)?;
        self.ends.put(&send);
        Poll::Ready(Ok(BidiStream { send: SendStream::new(send), recv: RecvStream::new(recv) }))
    }

    fn opener(&self) -> Self::OpenStreams {
        Opener::new(self.conn.clone())
    }
}

impl<B> quic::OpenStreams<B> for Connection
where
    B: Buf,
{
    type BidiStream = BidiStream<B>;
    type SendStream = SendStream<B>;

    fn poll_open_bidi(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Self::BidiStream, StreamErrorIncoming>> {
        self.opener.poll_open_bidi(cx)
    }

    fn poll_open_send(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Self::SendStream, StreamErrorIncoming>> {
        self.opener.poll_open_send(cx)
    }

    fn close(&mut self, code: Code, reason: &[u8]) {
        close(&self.conn, code, reason);
    }
}

/// Opens streams of a connection.
pub(crate) struct Opener {
    conn: quinn::Connection,
    bidi: Option<Accepting<Streams>>,
    uni: Option<Accepting<Result<quinn::SendStream, quinn::ConnectionError>>>,
}

impl Opener {
    fn new(conn: quinn::Connection) -> Opener {
        Opener { conn, bidi: None, uni: None }
    }
}

impl<B> quic::OpenStreams<B> for Opener
where
    B: Buf,
{
    type BidiStream = BidiStream<B>;
    type SendStream = SendStream<B>;

    fn poll_open_bidi(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Self::BidiStream, StreamErrorIncoming>> {
        let conn = &self.conn;
        let open = self.bidi.get_or_insert_with(|| {
            let conn = conn.clone();
            Box::pin(async move { conn.open_bi().await })
        });
        let opened = ready!(open.as_mut().poll(cx));
        self.bidi = None;
        let (send, recv) = opened.map_err(stream_lost)?;
        Poll::Ready(Ok(BidiStream { send: SendStream::new(send), recv: RecvStream::new(recv) }))
    }

    fn poll_open_send(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Self::SendStream, StreamErrorIncoming>> {
        let conn = &self.conn;
        let open = self.uni.get_or_insert_with(|| {
            let conn = conn.clone();
            Box::pin(async move { conn.open_uni().await })
        });
        let opened = ready!(open.as_mut().poll(cx));
        self.uni = None;
        Poll::Ready(opened.map(SendStream::new).map_err(stream_lost))
    }

    fn close(&mut self, code: Code, reason: &[u8]) {
        close(&self.conn, code, reason);
    }
}

/// A stream in both directions.
pub(crate) struct BidiStream<B>
where
    B: Buf,
{
    send: SendStream<B>,
    recv: RecvStream,
}

impl<B> quic::BidiStream<B> for BidiStream<B>
where
    B: Buf,
{
    type SendStream = SendStream<B>;
    type RecvStream = RecvStream;

    fn split(self) -> (Self::SendStream, Self::RecvStream) {
        (self.send, self.recv)
    }
}

impl<B> quic::RecvStream for BidiStream<B>
where
    B: Buf,
{
    type Buf = Bytes;

    fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Option<Self::Buf>, StreamErrorIncoming>> {
        self.recv.poll_data(cx)
    }

    fn stop_sending(&mut self, error_code: u64) {
        self.recv.stop_sending(error_code);
    }

    fn recv_id(&self) -> StreamId {
        self.recv.recv_id()
    }
}

impl<B> quic::SendStream<B> for BidiStream<B>
where
    B: Buf,
{
    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        self.send.poll_ready(cx)
    }

    fn send_data<T>(&mut self, data: T) -> Result<(), StreamErrorIncoming>
    where
        T: Into<WriteBuf<B>>,
    {
        self.send.send_data(data)
    }

    fn poll_finish(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        self.send.poll_finish(cx)
    }

    fn reset(&mut self, reset_code: u64) {
        self.send.reset(reset_code);
    }

    fn send_id(&self) -> StreamId {
        self.send.send_id()
    }
}

/// The sending side of a stream. Dropped before it was finished or reset, it resets the stream.
pub(crate) struct SendStream<B>
where
    B: Buf,
{
    stream: quinn::SendStream,
    writing: Option<WriteBuf<B>>,
    ended: bool,
}

impl<B> SendStream<B>
where
    B: Buf,
{
    fn new(stream: quinn::SendStream) -> SendStream<B> {
        SendStream { stream, writing: None, ended: false }
    }
}

impl<B> Drop for SendStream<B>
where
    B: Buf,
{
    fn drop(&mut self) {
        if !self.ended {
            let code = var_int(Code::H3_INTERNAL_ERROR.value());
            // An error says that the stream has ended already.
            let _ = self.stream.reset(code);
        }
    }
}

impl<B> quic::SendStream<B> for SendStream<B>
where
    B: Buf,
{
    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        if let Some(data) = &mut self.writing {
            while data.has_remaining() {
                let stream = Pin::new(&mut self.stream);
                let written = ready!(stream.poll_write(cx, data.chunk())).map_err(write_error)?;
                data.advance(written);
            }
        }
        self.writing = None;
        Poll::Ready(Ok(()))
    }

    fn send_data<T>(&mut self, data: T) -> Result<(), StreamErrorIncoming>
    where
        T: Into<WriteBuf<B>>,
    {
        if self.writing.is_some() {
            let reason = "data sent before the former was written".to_owned();
            let connection_error = ConnectionErrorIncoming::InternalError(reason);
            return Err(StreamErrorIncoming::ConnectionErrorIncoming { connection_error });
        }
        self.writing = Some(data.into());
        Ok(())
    }

    fn poll_finish(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        ready!(self.poll_ready(cx))?;
        self.ended = true;
        let finished = self.stream.finish();
        Poll::Ready(finished.map_err(|e| StreamErrorIncoming::Unknown(Box::new(e))))
    }

    fn reset(&mut self, reset_code: u64) {
        self.ended = true;
        // An error says that the stream has ended already.
        let _ = self.stream.reset(var_int(reset_code));
    }

    fn send_id(&self) -> StreamId {
        stream_id(self.stream.id())
    }
}

/// The receiving side of a stream.
pub(crate) struct RecvStream {
    stream: quinn::RecvStream,
}

impl RecvStream {
    fn new(stream: quinn::RecvStream) -> RecvStream {
        RecvStream { stream }
    }
}

impl quic::RecvStream for RecvStream {
    type Buf = Bytes;

    fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Option<Self::Buf>, StreamErrorIncoming>> {
        let read = pin!(self.stream.read_chunk(usize::MAX, true));
        let chunk = ready!(read.poll(cx)).map_err(read_error)?;
        Poll::Ready(Ok(chunk.map(|it| it.bytes)))
    }

    fn stop_sending(&mut self, error_code: u64) {
        // An error says that the stream has ended already.
        let _ = self.stream.stop(var_int(error_code));
    }

    fn recv_id(&self) -> StreamId {
        stream_id(self.stream.id())
    }
}

fn close(conn: &quinn::Connection, code: Code, reason: &[u8]) {
    conn.close(var_int(code.value()), reason);
}

fn var_int(value: u64) -> VarInt {
    VarInt::from_u64(value).unwrap_or(VarInt::MAX)
}

fn stream_id(id: quinn::StreamId) -> StreamId {
    u64::from(id).try_into().expect("a stream number of QUIC is one of HTTP/3")
}

fn connection_error(e: quinn::ConnectionError) -> ConnectionErrorIncoming {
    match e {
        quinn::ConnectionError::ApplicationClosed(close) => {
            ConnectionErrorIncoming::ApplicationClose { error_code: close.error_code.into_inner() }
        }
        quinn::ConnectionError::TimedOut => ConnectionErrorIncoming::Timeout,
        other => ConnectionErrorIncoming::Undefined(Arc::new(other)),
    }
}

fn stream_lost(e: quinn::ConnectionError) -> StreamErrorIncoming {
    StreamErrorIncoming::ConnectionErrorIncoming { connection_error: connection_error(e) }
}

fn read_error(e: ReadError) -> StreamErrorIncoming {
    match e {
        ReadError::Reset(code) => {
            StreamErrorIncoming::StreamTerminated { error_code: code.into_inner() }
        }
        ReadError::ConnectionLost(e) => stream_lost(e),
        other => StreamErrorIncoming::Unknown(Box::new(other)),
    }
}

fn write_error(e: WriteError) -> StreamErrorIncoming {
    match e {
        WriteError::Stopped(code) => {
            StreamErrorIncoming::StreamTerminated { error_code: code.into_inner() }
        }
        WriteError::ConnectionLost(e) => stream_lost(e),
        other => StreamErrorIncoming::Unknown(Box::new(other)),
    }
}
