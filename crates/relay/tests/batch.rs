//! A batch sends each datagram once to its agent and in order, and merges only what one system call can send.

mod common;

use std::{
    collections::BTreeMap,
    net::{SocketAddr, SocketAddrV4},
};

use camphorwinch_core::place::{DropReason, Placer};
use camphorwinch_relay::{
    batch::Batch,
    outcome::{Outcome, OutcomeCounters},
};
use camphorwinch_wire::encap::{self, MAX_PAYLOAD_BYTES};
use quickcheck::quickcheck;
use quinn_udp::RecvMeta;

const ADDRESS: &str = "198.51.100.1:443";

fn agent(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, number % 4 + 1].into(), 7_000)
}

fn meta(len: usize, stride: usize) -> RecvMeta {
    let addr = "192.0.2.7:40000".parse().expect("valid address");
    RecvMeta { addr, len, stride, ecn: None, dst_ip: None }
}

/// Relays `buffers` and returns the datagrams that each agent received.
fn relay(
    buffers: &[(Vec<u8>, usize)],
    max_segments: usize,
    counters: &OutcomeCounters,
) -> BTreeMap<SocketAddr, Vec<Vec<u8>>> {
    let address = ADDRESS.parse().expect("valid address");
    let agents: Vec<SocketAddr> = (0..4).map(|it| agent(it).into()).collect();
    let placer = Placer::new(&common::snapshot(address, &agents), None, 0);
    let listener = &placer.listeners()[&address];
    let metas: Vec<RecvMeta> =
        buffers.iter().map(|(bytes, stride)| meta(bytes.len(), *stride)).collect();
    let bytes: Vec<&[u8]> = buffers.iter().map(|(bytes, _)| &bytes[..]).collect();
    let ring = common::ring();
    let mut received: BTreeMap<SocketAddr, Vec<Vec<u8>>> = BTreeMap::new();
    let mut batch = Batch::default();
    batch.place(&placer, listener, &bytes, &metas);
    batch.flush(&ring, &bytes, max_segments, |transmit| {
        let size = transmit.segment_size.unwrap_or(transmit.contents.len());
        let segments: Vec<&[u8]> = transmit.contents.chunks(size).collect();
        assert!(segments.len() <= max_segments && transmit.contents.len() <= 65_507);
        for segment in segments {
            let (header, payload) = encap::decode(&ring, segment).expect("valid datagram");
            assert_eq!(header.caller, metas[0].addr);
            received.entry(transmit.destination).or_default().push(payload.to_vec());
        }
        Ok(())
    });
    batch.record_counts(counters);
    received
}

quickcheck! {
    fn each_datagram_is_sent_once_and_in_order(flows: Vec<(u8, u16, u16)>, max_segments: usize) -> bool {
        let mut expected: BTreeMap<SocketAddr, Vec<Vec<u8>>> = BTreeMap::new();
        let mut buffers = Vec::new();
        for (number, flow, len) in flows {
            let len = 21 + usize::from(len) % 4 * 300;
            let datagram = common::established_packet(agent(number), flow.into(), len);
            expected.entry(agent(number).into()).or_default().push(datagram.clone());
            buffers.push((datagram, len));
        }
        relay(&buffers, max_segments % 64 + 1, &OutcomeCounters::default()) == expected
    }

    fn merged_datagrams_are_split(count: usize, last_len: usize) -> bool {
        let mut bytes = Vec::new();
        let mut expected = Vec::new();
        let count = count % 40 + 1;
        for flow in 0..count {
            let len = if flow + 1 == count { 21 + last_len % 1_000 } else { 1_021 };
            let datagram = common::established_packet(agent(0), flow as u32, len);
            bytes.extend_from_slice(&datagram);
            expected.push(datagram);
        }
        let received = relay(&[(bytes, 1_021)], 64, &OutcomeCounters::default());
        received.len() == 1 && received[&agent(0).into()] == expected
    }
}

#[test]
fn dropped_datagrams_are_counted_by_outcome() {
    let counters = OutcomeCounters::default();
    let good = common::established_packet(agent(0), 1, 100);
    let oversized = common::established_packet(agent(0), 1, MAX_PAYLOAD_BYTES + 1);
    let mut forged = good.clone();
    forged[20] ^= 1;
    let datagrams = [good, oversized, forged, Vec::new(), vec![0x41; 20]];
    let buffers: Vec<(Vec<u8>, usize)> =
        datagrams.into_iter().map(|it| (it.clone(), it.len())).collect();
    let received = relay(&buffers, 64, &counters);
    assert_eq!(received.values().map(Vec::len).sum::<usize>(), 1);
    let count = |it: Outcome| counters.get(it);
    assert_eq!(count(Outcome::Owner), 1);
    assert_eq!(count(Outcome::Oversized), 1);
    assert_eq!(count(Outcome::Refused(DropReason::Forged)), 1);
    assert_eq!(count(Outcome::Refused(DropReason::Garbage)), 2);
    assert_eq!(counters.total_sent(), 1);
}
