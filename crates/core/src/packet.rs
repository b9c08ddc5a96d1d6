//! Parser for the parts of QUIC packet headers that placement needs (RFC 8999 and RFC 9000, section 17).

use crate::seal::CID_LEN;

const LONG_FORM: u8 = 0x80;
const LONG_TYPE: u8 = 0x30;
const LONG_INITIAL: u8 = 0x00;
const LONG_ZERO_RTT: u8 = 0x10;
const VERSION_END: usize = 5;
const VERSION_1: u32 = 1;
const VERSION_NEGOTIATION: u32 = 0;
const MIN_FIRST_CID: usize = 8;

/// Form of a packet, as read from its unencrypted header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Form {
    /// Long header that may start a flow.
    First,
    /// Any other long header.
    Long,
    /// Short header.
    Short,
}

/// Header fields of a QUIC packet that placement needs.
pub(crate) struct Packet<'a> {
    pub(crate) form: Form,
    pub(crate) cid: &'a [u8],
    pub(crate) len: usize,
}

impl<'a> Packet<'a> {
    /// Parses the header; `None` if it is not a valid packet of a caller.
    // The fixed bit is not checked because callers may grease it (RFC 9287).
    #[inline]
    pub(crate) fn parse(datagram: &'a [u8]) -> Option<Packet<'a>> {
        let len = datagram.len();
        let first = *datagram.first()?;
        if first & LONG_FORM == 0 {
            let cid = datagram.get(1..1 + CID_LEN)?;
            return Some(Packet { form: Form::Short, cid, len });
        }
        let version = datagram.get(1..VERSION_END)?;
        let version = u32::from_be_bytes([version[0], version[1], version[2], version[3]]);
        let start = VERSION_END + 1;
        let cid_len = usize::from(*datagram.get(VERSION_END)?);
        let cid = datagram.get(start..start + cid_len)?;
        let form = match (version, first & LONG_TYPE) {
            (VERSION_NEGOTIATION, _) => return None,
            (VERSION_1, LONG_INITIAL | LONG_ZERO_RTT) => {
                if !(MIN_FIRST_CID..=CID_LEN).contains(&cid_len) {
                    return None;
                }
                Form::First
            }
            (VERSION_1, _) => Form::Long,
            // The agent responds to other versions with version negotiation.
            _ => Form::First,
        };
        Some(Packet { form, cid, len })
    }
}

/// Whether two datagrams of one caller to one address have short headers with the same connection ID, and therefore the
/// same placement.
#[inline]
pub fn same_flow(first: &[u8], second: &[u8]) -> bool {
    let id = |it: &[u8]| it.get(..1 + CID_LEN).is_some_and(|it| it[0] & LONG_FORM == 0);
    id(first) && id(second) && first[1..1 + CID_LEN] == second[1..1 + CID_LEN]
}
