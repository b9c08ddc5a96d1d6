//! Stateless resets (RFC 9000, section 10.3) of flows whose handshake their dead agent had not confirmed.
//!
//! Until its handshake is confirmed a caller repeats handshake packets only, and the QUIC stack ignores those of a flow that it does
//! not know. All agents share the key of the tokens, so any of them can tell such a caller that its flow is gone.

use camphorwinch_core::seal::KeyRing;
use ring::hmac;

const TOKEN_LEN: usize = 16;
/// Shortest packet that may be a reset.
const MIN_LEN: usize = TOKEN_LEN + 5;
/// Length from which a reset looks like any other short packet; longer ones would say no more.
const IDEAL_LEN: usize = 43;
const FORM_AND_TYPE: u8 = 0xf0;
const HANDSHAKE: u8 = 0xe0;
const SHORT_HEADER: u8 = 0x40;

/// Whether a datagram begins with a packet of a handshake that has got beyond its first flight.
pub(crate) fn is_handshake(datagram: &[u8]) -> bool {
    datagram.first().is_some_and(|it| it & FORM_AND_TYPE == HANDSHAKE)
}

/// The reset of the flow of this connection ID, as the QUIC stack of its agent would have written it. It is shorter than the
/// datagram that it answers, so that two ends can't reset each other for ever.
pub(crate) fn stateless_reset(ring: &KeyRing, cid: &[u8], datagram: &[u8]) -> Option<Vec<u8>> {
    let len = datagram.len().saturating_sub(1).min(IDEAL_LEN);
    if len < MIN_LEN {
        return None;
    }
    let mut reset: Vec<u8> = (0..len).map(|_| rand::random()).collect();
    reset[0] = SHORT_HEADER | reset[0] >> 2;
    let key = hmac::Key::new(hmac::HMAC_SHA256, ring.reset_key());
    let token = hmac::sign(&key, cid);
    reset[len - TOKEN_LEN..].copy_from_slice(&token.as_ref()[..TOKEN_LEN]);
    Some(reset)
}
