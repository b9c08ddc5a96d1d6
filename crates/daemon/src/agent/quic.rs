//! Adapter from `quinn` connections to the traits of `h3`.
//!
//! Unlike the adapter of `h3-quinn`, a send stream that is dropped before its end resets the stream instead of
//! finishing it, so that a caller never accepts an incomplete response. It also reports when a caller cancels a request
//! and when a response was delivered.

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

type BidiStreams = Result<(quinn::SendStream, quinn::RecvStream), quinn::ConnectionError>;
type StreamFuture<T> = Pin<Box<dyn Future<Output = T> + Send + Sync>>;

/// Waits until a caller cancels a request or has received its complete response.
pub(crate) struct EndWatcher {
    waiting: Pin<Box<dyn Future<Output = StreamEnd> + Send + Sync>>,
    end: Option<StreamEnd>,
}

impl EndWatcher {
    /// A watcher for the end that `waiting` returns.
    pub(crate) fn new<F>(waiting: F) -> EndWatcher
    where
        F: Future<Output = StreamEnd> + Send + Sync + 'static,
    {
        EndWatcher { waiting: Box::pin(waiting), end: None }
    }

    /// A watcher that never completes, for a request that continues without its caller.
    pub(crate) fn never() -> EndWatcher {
        EndWatcher::new(std::future::pending())
    }

    /// Waits for the end. Cancel safe, and can be called again.
    pub(crate) async fn wait(&mut self) -> StreamEnd {
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
pub(crate) enum StreamEnd {
    /// The caller has acknowledged the complete response.
    Delivered,
    /// The caller cancelled the request, or its connection is closed.
    Cancelled,
}

/// Watchers of accepted request streams by stream ID, until their requests take them.
#[derive(Clone, Default)]
pub(crate) struct EndWatchers {
    by_stream: Arc<Mutex<BTreeMap<u64, EndWatcher>>>,
    unacknowledged: Arc<AtomicUsize>,
}

/// Guard that counts a response as sent and not acknowledged.
pub(crate) struct UnacknowledgedGuard(Arc<AtomicUsize>);

impl Drop for UnacknowledgedGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl EndWatchers {
    /// Takes the watcher of a stream.
    pub(crate) fn take(&self, stream: StreamId) -> Option<EndWatcher> {
        self.by_stream.lock().remove(&stream.into_inner())
    }

    /// Counts a completely sent response.
    pub(crate) fn track_unacknowledged(&self) -> UnacknowledgedGuard {
        self.unacknowledged.fetch_add(1, Ordering::Relaxed);
        UnacknowledgedGuard(Arc::clone(&self.unacknowledged))
    }

    /// Number of responses sent and not acknowledged.
    pub(crate) fn unacknowledged(&self) -> usize {
        self.unacknowledged.load(Ordering::Relaxed)
    }

    fn insert(&self, send: &quinn::SendStream) {
        let stopped = send.stopped();
        let ended = async move {
            match stopped.await {
                Ok(None) => StreamEnd::Delivered,
                Ok(Some(_)) | Err(_) => StreamEnd::Cancelled,
            }
        };
        self.by_stream.lock().insert(u64::from(send.id()), EndWatcher::new(ended));
    }
}

/// A QUIC connection.
pub(crate) struct Connection {
    conn: quinn::Connection,
    bidi: StreamFuture<BidiStreams>,
    uni: StreamFuture<Result<quinn::RecvStream, quinn::ConnectionError>>,
    opener: StreamOpener,
    ends: EndWatchers,
}

impl Connection {
    /// Wraps a connection; the watchers of its request streams are inserted into `ends`.
    pub(crate) fn new(conn: quinn::Connection, ends: EndWatchers) -> Connection {
        Connection {
            bidi: accept_bidi(conn.clone()),
            uni: accept_uni(conn.clone()),
            opener: StreamOpener::new(conn.clone()),
            conn,
            ends,
        }
    }
}

fn accept_bidi(conn: quinn::Connection) -> StreamFuture<BidiStreams> {
    Box::pin(async move { conn.accept_bi().await })
}

fn accept_uni(
    conn: quinn::Connection,
) -> StreamFuture<Result<quinn::RecvStream, quinn::ConnectionError>> {
    Box::pin(async move { conn.accept_uni().await })
}

impl<B> quic::Connection<B> for Connection
where
    B: Buf,
{
    type RecvStream = RecvStream;
    type OpenStreams = StreamOpener;

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
        self.ends.insert(&send);
        Poll::Ready(Ok(BidiStream { send: SendStream::new(send), recv: RecvStream::new(recv) }))
    }

    fn opener(&self) -> Self::OpenStreams {
        StreamOpener::new(self.conn.clone())
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
pub(crate) struct StreamOpener {
    conn: quinn::Connection,
    bidi: Option<StreamFuture<BidiStreams>>,
    uni: Option<StreamFuture<Result<quinn::SendStream, quinn::ConnectionError>>>,
}

impl StreamOpener {
    fn new(conn: quinn::Connection) -> StreamOpener {
        StreamOpener { conn, bidi: None, uni: None }
    }
}

impl<B> quic::OpenStreams<B> for StreamOpener
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
        let (send, recv) = opened.map_err(stream_connection_error)?;
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
        Poll::Ready(opened.map(SendStream::new).map_err(stream_connection_error))
    }

    fn close(&mut self, code: Code, reason: &[u8]) {
        close(&self.conn, code, reason);
    }
}

/// A bidirectional stream.
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

/// The sending side of a stream. Resets the stream if it is dropped before it was finished or reset.
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
            // Fails only if the stream has ended already.
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
            let reason = "send_data was called before the previous data was written".to_owned();
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
        // Fails only if the stream has ended already.
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
        // Fails only if the stream has ended already.
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
    u64::from(id).try_into().expect("a QUIC stream ID is a valid HTTP/3 stream ID")
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

fn stream_connection_error(e: quinn::ConnectionError) -> StreamErrorIncoming {
    StreamErrorIncoming::ConnectionErrorIncoming { connection_error: connection_error(e) }
}

fn read_error(e: ReadError) -> StreamErrorIncoming {
    match e {
        ReadError::Reset(code) => {
            StreamErrorIncoming::StreamTerminated { error_code: code.into_inner() }
        }
        ReadError::ConnectionLost(e) => stream_connection_error(e),
        other => StreamErrorIncoming::Unknown(Box::new(other)),
    }
}

fn write_error(e: WriteError) -> StreamErrorIncoming {
    match e {
        WriteError::Stopped(code) => {
            StreamErrorIncoming::StreamTerminated { error_code: code.into_inner() }
        }
        WriteError::ConnectionLost(e) => stream_connection_error(e),
        other => StreamErrorIncoming::Unknown(Box::new(other)),
    }
}
