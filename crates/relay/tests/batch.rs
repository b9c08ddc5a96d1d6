//! A batch sends every datagram once, to its agent, in order, merged only where the system allows it.

mod common;

use std::{
    collections::BTreeMap,
    net::{SocketAddr, SocketAddrV4},
};

use camphorwinch_core::place::{Placer, Refusal};
use camphorwinch_relay::{
    batch::Batch,
    outcome::{Outcome, Tally},
};
use camphorwinch_wire::encap::{self, MAX_PAYLOAD_BYTES};
use quickcheck::quickcheck;
use quinn_udp::RecvMeta;

const ADDRESS: &str = "198.51.100.1:443";

fn agent(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, number % 4 + 1].into(), 7_000)
}

fn meta(len: usize, stride: usize) -> RecvMeta {
    let addr = "192.0.2.7:40000".parse().expect("an address");
    RecvMeta { addr, len, stride, ecn: None, dst_ip: None }
}

/// Relays `buffers` and returns what each agent got.
fn relay(
    buffers: &[(Vec<u8>, usize)],
    max_segments: usize,
    tally: &Tally,
) -> BTreeMap<SocketAddr, Vec<Vec<u8>>> {
    let address = ADDRESS.parse().expect("an address");
    let agents: Vec<SocketAddr> = (0..4).map(|it| agent(it).into()).collect();
    let placer = Placer::new(&common::snapshot(address, &agents), None, 0);
    let listener = &placer.listeners()[&address];
    let metas: Vec<RecvMeta> =
        buffers.iter().map(|(bytes, stride)| meta(bytes.len(), *stride)).collect();
    let bytes: Vec<&[u8]> = buffers.iter().map(|(bytes, _)| &bytes[..]).collect();
    let ring = common::ring();
    let mut got: BTreeMap<SocketAddr, Vec<Vec<u8>>> = BTreeMap::new();
    let mut batch = Batch::default();
    batch.place(&placer, listener, &bytes, &metas);
    batch.flush(&ring, &bytes, max_segments, |transmit| {
        let size = transmit.segment_size.unwrap_or(transmit.contents.len());
        let segments: Vec<&[u8]> = transmit.contents.chunks(size).collect();
        assert!(segments.len() <= max_segments && transmit.contents.len() <= 65_507);
        for segment in segments {
            let (header, payload) = encap::decode(&ring, segment).expect("a valid datagram");
            assert_eq!(header.caller, metas[0].addr);
            got.entry(transmit.destination).or_default().push(payload.to_vec());
        }
        Ok(())
    });
    batch.settle(tally);
    got
}

quickcheck! {
    fn every_datagram_arrives_once_and_in_order(flows: Vec<(u8, u16, u16)>, max_segments: usize) -> bool {
        let mut expected: BTreeMap<SocketAddr, Vec<Vec<u8>>> = BTreeMap::new();
        let mut buffers = Vec::new();
        for (number, flow, len) in flows {
            let len = 21 + usize::from(len) % 4 * 300;
            let datagram = common::established(agent(number), flow.into(), len);
            expected.entry(agent(number).into()).or_default().push(datagram.clone());
            buffers.push((datagram, len));
        }
        relay(&buffers, max_segments % 64 + 1, &Tally::default()) == expected
    }

    fn merged_datagrams_are_taken_apart(count: usize, last: usize) -> bool {
        let mut bytes = Vec::new();
        let mut expected = Vec::new();
        let count = count % 40 + 1;
        for flow in 0..count {
            let len = if flow + 1 == count { 21 + last % 1_000 } else { 1_021 };
            let datagram = common::established(agent(0), flow as u32, len);
            bytes.extend_from_slice(&datagram);
            expected.push(datagram);
        }
        let got = relay(&[(bytes, 1_021)], 64, &Tally::default());
        got.len() == 1 && got[&agent(0).into()] == expected
    }
}

#[test]
fn what_can_not_be_sent_is_counted() {
    let tally = Tally::default();
    let good = common::established(agent(0), 1, 100);
    let oversized = common::established(agent(0), 1, MAX_PAYLOAD_BYTES + 1);
    let mut forged = good.clone();
    forged[20] ^= 1;
    let datagrams = [good, oversized, forged, Vec::new(), vec![0x41; 20]];
    let buffers: Vec<(Vec<u8>, usize)> =
        datagrams.into_iter().map(|it| (it.clone(), it.len())).collect();
    let got = relay(&buffers, 64, &tally);
    assert_eq!(got.values().map(Vec::len).sum::<usize>(), 1);
    let count = |it: Outcome| tally.get(it);
    assert_eq!(count(Outcome::Owner), 1);
    assert_eq!(count(Outcome::Oversized), 1);
    assert_eq!(count(Outcome::Refused(Refusal::Forged)), 1);
    assert_eq!(count(Outcome::Refused(Refusal::Garbage)), 2);
    assert_eq!(tally.relayed(), 1);
}
