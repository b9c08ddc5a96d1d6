//! Places, sorts by agent and encapsulates one batch of received datagrams.

use std::net::{SocketAddr, SocketAddrV4};

use camphorwinch_core::{
    candidates::Candidates,
    object::ServiceId,
    packet::same_flow,
    place::{DropReason, Listener, Placement, Placer},
    seal::KeyRing,
};
use camphorwinch_wire::encap::{Encoder, Header, MAX_PAYLOAD_BYTES};
use quinn_udp::{EcnCodepoint, RecvMeta, Transmit};

use crate::outcome::{Outcome, OutcomeCounters};

/// Largest number of bytes sent in one system call.
const MAX_TRANSMIT_BYTES: usize = 65_000;

/// Placed datagrams to send. Reused between batches to keep its buffers.
#[derive(Debug, Default)]
pub struct Batch {
    groups: Vec<Group>,
    send_order: Vec<SortKey>,
    out: Vec<u8>,
    counts: OutcomeCounts,
}

type OutcomeCounts = [u64; Outcome::COUNT];

/// Consecutive datagrams in one buffer that share a header: `len` bytes, with a datagram every `stride` bytes.
#[derive(Debug)]
struct Group {
    header: Header,
    ecn: Option<EcnCodepoint>,
    buffer: usize,
    start: usize,
    len: usize,
    stride: usize,
}

// Sorts by agent, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SortKey {
    agent: SocketAddrV4,
    group: usize,
}

impl Batch {
    /// Places the datagrams in `buffers`, which `metas` describes and `listener` received.
    pub fn place<B>(
        &mut self,
        placer: &Placer,
        listener: &Listener,
        buffers: &[B],
        metas: &[RecvMeta],
    ) where
        B: AsRef<[u8]>,
    {
        self.groups.clear();
        self.send_order.clear();
        for (buffer, meta) in metas.iter().enumerate() {
            let bytes = &buffers[buffer].as_ref()[..meta.len];
            if bytes.is_empty() {
                self.counts[Outcome::Refused(DropReason::Garbage).index()] += 1;
                continue;
            }
            let stride = meta.stride.max(1);
            let mut start = 0;
            while start < bytes.len() {
                let len = same_flow_len(&bytes[start..], stride);
                let first = &bytes[start..bytes.len().min(start + stride)];
                let placement = place_datagram(placer, listener, meta.addr, first);
                self.add_group(placement, meta, Span { buffer, start, len, stride });
                start += len;
            }
        }
        self.send_order.sort_unstable();
    }

    fn add_group(&mut self, placement: Result<Placement, Outcome>, meta: &RecvMeta, span: Span) {
        let outcome = placement.as_ref().map_or_else(|it| *it, Outcome::from);
        self.counts[outcome.index()] += span.len.div_ceil(span.stride) as u64;
        let Some((agent, service, candidates)) = placement.ok().and_then(destination) else {
            return;
        };
        let header = Header { hop: 0, service, caller: meta.addr, candidates };
        let Span { buffer, start, len, stride } = span;
        self.send_order.push(SortKey { agent, group: self.groups.len() });
        self.groups.push(Group { header, ecn: meta.ecn, buffer, start, len, stride });
    }

    /// Encapsulates the placed datagrams and passes them to `send`, as many per call as `max_segments` and their sizes
    /// allow. On an error, `send` returns the outcome to count for the datagrams of the call.
    pub fn flush<B, F>(&mut self, ring: &KeyRing, buffers: &[B], max_segments: usize, send: F)
    where
        B: AsRef<[u8]>,
        F: FnMut(&Transmit<'_>) -> Result<(), Outcome>,
    {
        self.out.clear();
        let counts = &mut self.counts;
        let mut sender =
            SegmentSender { out: &mut self.out, counts, send, max_segments, pending: None };
        for key in &self.send_order {
            let group = &self.groups[key.group];
            let encoder = Encoder::new(&group.header, ring);
            let bytes = &buffers[group.buffer].as_ref()[group.start..group.start + group.len];
            for payload in bytes.chunks(group.stride) {
                sender.reserve(key.agent, group.ecn, encoder.overhead() + payload.len());
                encoder.append(payload, sender.out);
            }
        }
        sender.flush();
    }

    /// Adds the counts since the last call to `counters`.
    pub fn record_counts(&mut self, counters: &OutcomeCounters) {
        for outcome in Outcome::all() {
            let count = std::mem::take(&mut self.counts[outcome.index()]);
            if count > 0 {
                counters.add(outcome, count);
            }
        }
    }
}

/// Position of a group of datagrams in the received buffers.
struct Span {
    buffer: usize,
    start: usize,
    len: usize,
    stride: usize,
}

/// Returns the length of the leading datagrams that belong to one flow.
fn same_flow_len(bytes: &[u8], stride: usize) -> usize {
    let first = &bytes[..bytes.len().min(stride)];
    let rest = &bytes[first.len()..];
    let same = rest.chunks(stride).take_while(|it| same_flow(first, it));
    first.len() + same.map(<[u8]>::len).sum::<usize>()
}

fn place_datagram(
    placer: &Placer,
    listener: &Listener,
    caller: SocketAddr,
    datagram: &[u8],
) -> Result<Placement, Outcome> {
    if datagram.len() > MAX_PAYLOAD_BYTES {
        return Err(Outcome::Oversized);
    }
    Ok(placer.place(listener, caller, datagram))
}

fn destination(placement: Placement) -> Option<(SocketAddrV4, ServiceId, Candidates)> {
    match placement {
        Placement::Owner { owner, .. } | Placement::Reset(owner) => {
            Some((owner.agent, owner.service, Candidates::NONE))
        }
        Placement::New { service, candidates } => {
            candidates.as_slice().first().map(|&it| (it, service, candidates))
        }
        Placement::Drop(_) => None,
    }
}

/// Datagrams to send in one system call: to one agent and of one size, but the last may be smaller.
#[derive(Clone, Copy)]
struct Segments {
    agent: SocketAddrV4,
    ecn: Option<EcnCodepoint>,
    size: usize,
    last_size: usize,
    count: usize,
}

struct SegmentSender<'a, F> {
    out: &'a mut Vec<u8>,
    counts: &'a mut OutcomeCounts,
    send: F,
    max_segments: usize,
    pending: Option<Segments>,
}

impl<F> SegmentSender<'_, F>
where
    F: FnMut(&Transmit<'_>) -> Result<(), Outcome>,
{
    /// Sends the pending datagrams unless another one of `len` bytes can be sent in the same call.
    #[inline]
    fn reserve(&mut self, agent: SocketAddrV4, ecn: Option<EcnCodepoint>, len: usize) {
        if let Some(pending) = &mut self.pending {
            let has_room =
                pending.count < self.max_segments && self.out.len() + len <= MAX_TRANSMIT_BYTES;
            let size_fits = pending.last_size == pending.size && len <= pending.size;
            if has_room && size_fits && pending.agent == agent && pending.ecn == ecn {
                pending.count += 1;
                pending.last_size = len;
                return;
            }
            self.flush();
        }
        self.pending = Some(Segments { agent, ecn, size: len, last_size: len, count: 1 });
    }

    fn flush(&mut self) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let transmit = Transmit {
            destination: SocketAddr::V4(pending.agent),
            ecn: pending.ecn,
            contents: self.out,
            segment_size: (pending.count > 1).then_some(pending.size),
            src_ip: None,
        };
        if let Err(outcome) = (self.send)(&transmit) {
            self.counts[outcome.index()] += pending.count as u64;
        }
        self.out.clear();
    }
}
