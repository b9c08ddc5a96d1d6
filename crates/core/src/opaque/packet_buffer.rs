//! Buffer for packets that wait for a slot, for the search of their flow's agent, or for its restart.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;

use super::FlowKey;

/// Most packets per flow; either end has at most 16 in flight.
const MAX_PACKETS_PER_FLOW: usize = 16;
/// Bytes buffered in all: a tenth of the memory that the smallest entry VM gives a process.
const MAX_TOTAL_BYTES: usize = 8 << 20;

#[derive(Debug)]
struct BufferedFlow {
    packets: Vec<Vec<u8>>,
    until_ms: u64,
}

/// Buffered packets, by flow.
#[derive(Debug, Default)]
pub struct PacketBuffer {
    flows: FxHashMap<FlowKey, BufferedFlow>,
    /// Deadlines of the flows, so that finding those that have passed does not scan all flows.
    deadlines: BTreeSet<(u64, FlowKey)>,
    bytes: usize,
}

impl PacketBuffer {
    /// Buffers a packet; false if the buffer is full. Only the first packet of a flow sets `until_ms`, so that
    /// retransmissions don't extend the deadline.
    pub fn push(&mut self, key: FlowKey, packet: &[u8], until_ms: u64) -> bool {
        if self.bytes + packet.len() > MAX_TOTAL_BYTES {
            return false;
        }
        let flow = self.flows.entry(key).or_insert_with(|| {
            self.deadlines.insert((until_ms, key));
            BufferedFlow { packets: Vec::new(), until_ms }
        });
        if flow.packets.len() >= MAX_PACKETS_PER_FLOW {
            return false;
        }
        flow.packets.push(packet.to_vec());
        self.bytes += packet.len();
        true
    }

    /// The first buffered packet of a flow.
    pub fn first(&self, key: &FlowKey) -> Option<&[u8]> {
        self.flows.get(key)?.packets.first().map(Vec::as_slice)
    }

    /// Sets a new deadline for the packets of a flow.
    pub fn extend(&mut self, key: &FlowKey, until_ms: u64) {
        let Some(flow) = self.flows.get_mut(key) else {
            return;
        };
        self.deadlines.remove(&(flow.until_ms, *key));
        self.deadlines.insert((until_ms, *key));
        flow.until_ms = until_ms;
    }

    /// Removes and returns the packets of a flow, in order of arrival.
    pub fn take(&mut self, key: &FlowKey) -> Vec<Vec<u8>> {
        let Some(flow) = self.flows.remove(key) else {
            return Vec::new();
        };
        self.deadlines.remove(&(flow.until_ms, *key));
        let packets = flow.packets;
        self.bytes -= packets.iter().map(Vec::len).sum::<usize>();
        packets
    }

    /// Flows whose deadline has passed.
    pub fn expired(&self, now_ms: u64) -> Vec<FlowKey> {
        let due = self.deadlines.iter().take_while(|it| it.0 <= now_ms);
        due.map(|it| it.1).collect()
    }

    /// Flows with buffered packets.
    pub fn keys(&self) -> Vec<FlowKey> {
        self.flows.keys().copied().collect()
    }

    /// Total bytes buffered.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
