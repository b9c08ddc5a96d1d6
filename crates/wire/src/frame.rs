//! Length-delimited framing of the streams between processes; each frame holds one encoded message.

use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Largest frame; fits several configuration objects of the largest size.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// A byte stream split into length-delimited frames.
pub type Frames<S> = Framed<S, LengthDelimitedCodec>;

/// Wraps a byte stream in the frame codec.
pub fn frames<S>(stream: S) -> Frames<S>
where
    S: AsyncRead + AsyncWrite,
{
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    Framed::new(stream, codec)
}
