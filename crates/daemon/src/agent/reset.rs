//! Stateless resets (RFC 9000, section 10.3) for flows of a down agent that had not confirmed the handshake.
//!
//! Until the handshake is confirmed, a caller retransmits only handshake packets, and the QUIC stack ignores those
//! of unknown flows. All agents share the key of the reset tokens, so any agent can reset such a flow.

use camphorwinch_core::seal::KeyRing;
use ring::hmac;

const TOKEN_BYTES: usize = 16;
/// Minimum length of a stateless reset.
const MIN_BYTES: usize = TOKEN_BYTES + 5;
/// From this length on, a reset can't be distinguished from another short-header packet.
const IDEAL_BYTES: usize = 43;
const FORM_AND_TYPE_MASK: u8 = 0xf0;
const HANDSHAKE: u8 = 0xe0;
const SHORT_HEADER: u8 = 0x40;

/// Whether a datagram begins with a QUIC Handshake packet.
pub(crate) fn is_handshake(datagram: &[u8]) -> bool {
    datagram.first().is_some_and(|it| it & FORM_AND_TYPE_MASK == HANDSHAKE)
}

/// Builds the stateless reset for a connection ID, with the token that the flow's agent announced. It is shorter than
/// the datagram that it answers, which prevents reset loops. None if that datagram is too short.
pub(crate) fn stateless_reset(ring: &KeyRing, cid: &[u8], datagram: &[u8]) -> Option<Vec<u8>> {
    let len = datagram.len().saturating_sub(1).min(IDEAL_BYTES);
    if len < MIN_BYTES {
        return None;
    }
    let mut reset: Vec<u8> = (0..len).map(|_| rand::random()).collect();
    reset[0] = SHORT_HEADER | reset[0] >> 2;
    let key = hmac::Key::new(hmac::HMAC_SHA256, ring.reset_key());
    let token = hmac::sign(&key, cid);
    reset[len - TOKEN_BYTES..].copy_from_slice(&token.as_ref()[..TOKEN_BYTES]);
    Some(reset)
}
