//! Packets held back while the holder of their flow is searched for or restarts.

use rustc_hash::FxHashMap;

use super::FlowKey;

/// Packets held of one flow: either end has at most 16 in flight.
const MAX_PACKETS: usize = 16;
/// Bytes held in all: a tenth of the memory that the smallest entry VM gives a process.
const MAX_BYTES: usize = 8 << 20;

#[derive(Debug)]
struct Held {
    packets: Vec<Vec<u8>>,
    until_ms: u64,
}

/// The packets, by flow.
#[derive(Debug, Default)]
pub struct Hold {
    flows: FxHashMap<FlowKey, Held>,
    bytes: usize,
}

impl Hold {
    /// Holds a packet back; false if there is no room. The first packet of a flow sets until when it is held, or a
    /// caller that goes on sending would keep a search from ever ending.
    pub fn push(&mut self, key: FlowKey, packet: &[u8], until_ms: u64) -> bool {
        if self.bytes + packet.len() > MAX_BYTES {
            return false;
        }
        let held = self.flows.entry(key).or_insert(Held { packets: Vec::new(), until_ms });
        if held.packets.len() >= MAX_PACKETS {
            return false;
        }
        held.packets.push(packet.to_vec());
        self.bytes += packet.len();
        true
    }

    /// The first packet held of a flow.
    pub fn first(&self, key: &FlowKey) -> Option<&[u8]> {
        self.flows.get(key)?.packets.first().map(Vec::as_slice)
    }

    /// Holds the packets of a flow until then.
    pub fn extend(&mut self, key: &FlowKey, until_ms: u64) {
        if let Some(held) = self.flows.get_mut(key) {
            held.until_ms = until_ms;
        }
    }

    /// Takes out the packets of a flow, in the order in which they came.
    pub fn take(&mut self, key: &FlowKey) -> Vec<Vec<u8>> {
        let packets = self.flows.remove(key).map_or_else(Vec::new, |it| it.packets);
        self.bytes -= packets.iter().map(Vec::len).sum::<usize>();
        packets
    }

    /// Flows whose time is over.
    pub fn expired(&self, now_ms: u64) -> Vec<FlowKey> {
        let due = self.flows.iter().filter(|(_, it)| it.until_ms <= now_ms);
        due.map(|(&key, _)| key).collect()
    }

    /// Flows with held packets.
    pub fn keys(&self) -> Vec<FlowKey> {
        self.flows.keys().copied().collect()
    }

    /// Bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
