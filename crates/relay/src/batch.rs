//! One batch of received datagrams on its way out: placed, put in order of agent, encapsulated.

use std::net::{SocketAddr, SocketAddrV4};

use camphorwinch_core::{
    candidates::Candidates,
    object::ServiceId,
    packet::same_flow,
    place::{Listener, Placement, Placer, Refusal},
    seal::KeyRing,
};
use camphorwinch_wire::encap::{Encoder, Header, MAX_PAYLOAD_BYTES};
use quinn_udp::{EcnCodepoint, RecvMeta, Transmit};

use crate::outcome::{Outcome, Tally};

/// Most bytes that go out in one system call.
const MAX_TRANSMIT: usize = 65_000;

/// Datagrams on their way out. Kept between batches for its buffers only.
#[derive(Debug, Default)]
pub struct Batch {
    jobs: Vec<Job>,
    order: Vec<Key>,
    out: Vec<u8>,
    counts: Counts,
}

type Counts = [u64; Outcome::COUNT];

/// Datagrams that follow each other in one buffer and have one header: `len` bytes, a datagram every `stride`.
#[derive(Debug)]
struct Job {
    header: Header,
    ecn: Option<EcnCodepoint>,
    buffer: usize,
    start: usize,
    len: usize,
    stride: usize,
}

// Sorts by agent and keeps the order of arrival within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    agent: SocketAddrV4,
    job: usize,
}

impl Batch {
    /// Places the datagrams in `buffers`, as `metas` describes them, that arrived at the address of `listener`.
    pub fn place<B>(
        &mut self,
        placer: &Placer,
        listener: &Listener,
        buffers: &[B],
        metas: &[RecvMeta],
    ) where
        B: AsRef<[u8]>,
    {
        self.jobs.clear();
        self.order.clear();
        for (buffer, meta) in metas.iter().enumerate() {
            let bytes = &buffers[buffer].as_ref()[..meta.len];
            if bytes.is_empty() {
                self.counts[Outcome::Refused(Refusal::Garbage).index()] += 1;
                continue;
            }
            let stride = meta.stride.max(1);
            let mut start = 0;
            while start < bytes.len() {
                let len = run(&bytes[start..], stride);
                let first = &bytes[start..bytes.len().min(start + stride)];
                let placement = place(placer, listener, meta.addr, first);
                self.add(placement, meta, Span { buffer, start, len, stride });
                start += len;
            }
        }
        self.order.sort_unstable();
    }

    fn add(&mut self, placement: Result<Placement, Outcome>, meta: &RecvMeta, span: Span) {
        let outcome = placement.as_ref().map_or_else(|it| *it, Outcome::from);
        self.counts[outcome.index()] += span.len.div_ceil(span.stride) as u64;
        let Some((agent, service, candidates)) = placement.ok().and_then(destination) else {
            return;
        };
        let header = Header { hop: 0, service, caller: meta.addr, candidates };
        let Span { buffer, start, len, stride } = span;
        self.order.push(Key { agent, job: self.jobs.len() });
        self.jobs.push(Job { header, ecn: meta.ecn, buffer, start, len, stride });
    }

    /// Encapsulates what was placed and hands it to `send`, as many datagrams at once as `max_segments` and their sizes
    /// allow. `send` says what went wrong.
    pub fn flush<B, F>(&mut self, ring: &KeyRing, buffers: &[B], max_segments: usize, send: F)
    where
        B: AsRef<[u8]>,
        F: FnMut(&Transmit<'_>) -> Result<(), Outcome>,
    {
        self.out.clear();
        let counts = &mut self.counts;
        let mut outgoing = Outgoing { out: &mut self.out, counts, send, max_segments, run: None };
        for key in &self.order {
            let job = &self.jobs[key.job];
            let encoder = Encoder::new(&job.header, ring);
            let bytes = &buffers[job.buffer].as_ref()[job.start..job.start + job.len];
            for payload in bytes.chunks(job.stride) {
                outgoing.make_room(key.agent, job.ecn, encoder.overhead() + payload.len());
                encoder.append(payload, outgoing.out);
            }
        }
        outgoing.send();
    }

    /// Adds the counts since the last call to `tally`.
    pub fn settle(&mut self, tally: &Tally) {
        for outcome in Outcome::all() {
            let count = std::mem::take(&mut self.counts[outcome.index()]);
            if count > 0 {
                tally.add(outcome, count);
            }
        }
    }
}

/// Where the datagrams of a job lie.
struct Span {
    buffer: usize,
    start: usize,
    len: usize,
    stride: usize,
}

/// Bytes from the start on that hold datagrams of one flow.
fn run(bytes: &[u8], stride: usize) -> usize {
    let first = &bytes[..bytes.len().min(stride)];
    let rest = &bytes[first.len()..];
    let alike = rest.chunks(stride).take_while(|it| same_flow(first, it));
    first.len() + alike.map(<[u8]>::len).sum::<usize>()
}

fn place(
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
        Placement::Owner { home, .. } | Placement::Reset(home) => {
            Some((home.agent, home.service, Candidates::NONE))
        }
        Placement::New { service, candidates } => {
            candidates.as_slice().first().map(|&it| (it, service, candidates))
        }
        Placement::Drop(_) => None,
    }
}

/// Datagrams that go out in one system call: to one agent, of one size, only the last may be smaller.
#[derive(Clone, Copy)]
struct Run {
    agent: SocketAddrV4,
    ecn: Option<EcnCodepoint>,
    size: usize,
    last: usize,
    count: usize,
}

struct Outgoing<'a, F> {
    out: &'a mut Vec<u8>,
    counts: &'a mut Counts,
    send: F,
    max_segments: usize,
    run: Option<Run>,
}

impl<F> Outgoing<'_, F>
where
    F: FnMut(&Transmit<'_>) -> Result<(), Outcome>,
{
    /// Sends what is there unless a datagram of `len` bytes can go out with it.
    #[inline]
    fn make_room(&mut self, agent: SocketAddrV4, ecn: Option<EcnCodepoint>, len: usize) {
        if let Some(run) = &mut self.run {
            let room = run.count < self.max_segments && self.out.len() + len <= MAX_TRANSMIT;
            let fits = run.last == run.size && len <= run.size;
            if room && fits && run.agent == agent && run.ecn == ecn {
                run.count += 1;
                run.last = len;
                return;
            }
            self.send();
        }
        self.run = Some(Run { agent, ecn, size: len, last: len, count: 1 });
    }

    fn send(&mut self) {
        let Some(run) = self.run.take() else {
            return;
        };
        let transmit = Transmit {
            destination: SocketAddr::V4(run.agent),
            ecn: run.ecn,
            contents: self.out,
            segment_size: (run.count > 1).then_some(run.size),
            src_ip: None,
        };
        if let Err(outcome) = (self.send)(&transmit) {
            self.counts[outcome.index()] += run.count as u64;
        }
        self.out.clear();
    }
}
