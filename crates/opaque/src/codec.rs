//! How packets of opaque flows look on the wire of a platform.

use camphorwinch_core::opaque::{FlowKey, Head};

/// Largest packet of a flow that is passed on.
pub const MAX_PACKET: usize = 2_048;

/// Reads and writes packets.
pub trait Codec: Send + Sync + 'static {
    /// Reads a caller's packet; none if it is not one.
    fn caller_head(&self, packet: &[u8]) -> Option<Head>;

    /// Reads an upstream's packet, which may be a caller's that it bounced.
    fn upstream_head(&self, packet: &[u8]) -> Option<Head>;

    /// Makes a bounced packet what it was before the upstream bounced it.
    fn restore(&self, packet: &mut [u8]);

    /// Appends a reset of the flow towards its caller.
    fn reset(&self, key: &FlowKey, seq: u32, out: &mut Vec<u8>);
}
