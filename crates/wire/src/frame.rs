//! Frames between processes: a length, then one encoded message.

use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Largest frame. It holds several of the largest objects.
pub const MAX_FRAME: usize = 8 << 20;

/// A stream in frames.
pub type Frames<S> = Framed<S, LengthDelimitedCodec>;

/// Puts frames onto a stream.
pub fn frames<S>(stream: S) -> Frames<S>
where
    S: AsyncRead + AsyncWrite,
{
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME).new_codec();
    Framed::new(stream, codec)
}
