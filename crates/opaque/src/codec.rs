//! Wire format of a platform's packets.

use camphorwinch_core::opaque::{FlowKey, PacketHeader};

/// Largest packet that is forwarded, in bytes.
pub const MAX_PACKET_BYTES: usize = 2_048;

/// Decodes and encodes a platform's packets.
pub trait Codec: Send + Sync + 'static {
    /// Decodes the head of a caller's packet; `None` if it is malformed.
    fn caller_head(&self, packet: &[u8]) -> Option<PacketHeader>;

    /// Decodes the head of an upstream's packet, which may be a bounced caller's packet.
    fn upstream_head(&self, packet: &[u8]) -> Option<PacketHeader>;

    /// Restores a bounced packet to its original form.
    fn restore(&self, packet: &mut [u8]);

    /// Appends a reset packet for the flow's caller.
    fn reset(&self, key: &FlowKey, seq: u32, out: &mut Vec<u8>);
}
