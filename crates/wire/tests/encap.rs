//! Encapsulation round trips, and malformed datagrams are rejected without a panic.

use std::net::{IpAddr, SocketAddr, SocketAddrV4};

use camphorwinch_core::{
    candidates::Candidates,
    object::{KeySpec, KeyUse, Keys, ServiceId},
    seal::KeyRing,
};
use camphorwinch_wire::encap::{
    CANDIDATE_LEN, EncapError, HEADER_LEN, Header, MAX_PAYLOAD_BYTES, decode, encode,
};
use quickcheck::{TestResult, quickcheck};

fn ring(epoch: u8) -> KeyRing {
    let key = KeySpec { epoch, secret: [epoch; 32], usage: KeyUse::Seal };
    KeyRing::new(&Keys { reset: [0; 32], keys: vec![key] }).expect("the ring has a sealing key")
}

fn header(caller: SocketAddr, agents: &[SocketAddrV4]) -> Header {
    Header { hop: 0, service: ServiceId(77), caller, candidates: Candidates::new(agents) }
}

fn sample_datagram(agents: usize) -> Vec<u8> {
    let agents = vec!["127.0.0.9:9000".parse().expect("valid address"); agents];
    let caller = "192.0.2.1:5000".parse().expect("valid address");
    let mut out = Vec::new();
    encode(&header(caller, &agents), &ring(1), &[7; 100], &mut out);
    out
}

quickcheck! {
    fn encoded_datagrams_round_trip(
        ip: IpAddr, port: u16, agents: Vec<SocketAddrV4>, hop: u8, payload: Vec<u8>
    ) -> TestResult {
        if payload.is_empty() || payload.len() > MAX_PAYLOAD_BYTES {
            return TestResult::discard();
        }
        let ring = ring(1);
        let mut header = header(SocketAddr::new(ip.to_canonical(), port), &agents);
        header.hop = hop % header.candidates.as_slice().len().max(1) as u8;
        let mut out = vec![1, 2, 3];
        encode(&header, &ring, &payload, &mut out);
        TestResult::from_bool(decode(&ring, &out[3..]) == Ok((header, &payload[..])))
    }

    fn random_bytes_are_rejected(bytes: Vec<u8>) -> bool {
        decode(&ring(1), &bytes).is_err()
    }

    fn random_bytes_after_a_valid_prefix_are_rejected(count: u8, bytes: Vec<u8>) -> bool {
        let mut datagram = vec![1, 0, count % 4, 1];
        datagram.extend(bytes);
        decode(&ring(1), &datagram).is_err()
    }

    fn a_flipped_bit_in_the_authenticated_part_is_rejected(bit: usize) -> bool {
        let mut datagram = sample_datagram(2);
        let authenticated_len = HEADER_LEN + 2 * CANDIDATE_LEN + 32;
        let bit = bit % (authenticated_len * 8);
        datagram[bit / 8] ^= 1 << (bit % 8);
        decode(&ring(1), &datagram).is_err()
    }

    fn a_truncated_encapsulation_is_rejected(len: usize) -> bool {
        let datagram = sample_datagram(3);
        let authenticated_len = HEADER_LEN + 3 * CANDIDATE_LEN + 32;
        decode(&ring(1), &datagram[..len % authenticated_len]).is_err()
    }
}

#[test]
fn each_fault_returns_its_error() {
    let ring_1 = ring(1);
    let mut datagram = sample_datagram(0);
    datagram.resize(HEADER_LEN + MAX_PAYLOAD_BYTES + 1, 0);
    assert_eq!(decode(&ring_1, &datagram), Err(EncapError::Oversized));
    assert_eq!(decode(&ring_1, &sample_datagram(0)[..HEADER_LEN]), Err(EncapError::Truncated));
    assert_eq!(decode(&ring(2), &sample_datagram(0)), Err(EncapError::UnknownEpoch(1)));
    let mut datagram = sample_datagram(1);
    datagram[1] = 1;
    assert_eq!(decode(&ring_1, &datagram), Err(EncapError::InvalidHop { hop: 1, count: 1 }));
    datagram[0] = 2;
    assert_eq!(decode(&ring_1, &datagram), Err(EncapError::UnsupportedVersion(2)));
}
