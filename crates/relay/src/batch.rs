//! One batch of received datagrams on its way out: placed, put in order of agent, encapsulated.

use std::net::{SocketAddr, SocketAddrV4};

use camphorwinch_core::{
    candidates::Candidates,
    object::ServiceId,
    place::{Listener, Placement, Placer},
    seal::KeyRing,
};
use camphorwinch_wire::encap::{self, CANDIDATE_LEN, HEADER_LEN, Header, MAX_PAYLOAD};
use quinn_udp::{EcnCodepoint, RecvMeta, Transmit};

use crate::outcome::{Outcome, Tally};

/// Most bytes that go out in one system call.
const MAX_TRANSMIT: usize = 65_000;

/// Datagrams that wait to be encapsulated. Kept between batches for its buffers only.
#[derive(Debug, Default)]
pub struct Batch {
    jobs: Vec<Job>,
    order: Vec<Key>,
    counts: [u64; Outcome::ALL.len()],
    out: Vec<u8>,
}

#[derive(Debug)]
struct Job {
    header: Header,
    ecn: Option<EcnCodepoint>,
    buffer: usize,
    start: usize,
    len: usize,
}

impl Job {
    fn wire_len(&self) -> usize {
        HEADER_LEN + self.header.candidates.as_slice().len() * CANDIDATE_LEN + self.len
    }
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
                self.count(Outcome::Garbage);
                continue;
            }
            let stride = meta.stride.max(1);
            for (at, datagram) in bytes.chunks(stride).enumerate() {
                if datagram.len() > MAX_PAYLOAD {
                    self.count(Outcome::Oversized);
                    continue;
                }
                let placement = placer.place(listener, meta.addr, datagram);
                self.count(Outcome::from(&placement));
                let Some((agent, service, candidates)) = destination(placement) else {
                    continue;
                };
                let header = Header { hop: 0, service, caller: meta.addr, candidates };
                self.order.push(Key { agent, job: self.jobs.len() });
                let start = at * stride;
                self.jobs.push(Job { header, ecn: meta.ecn, buffer, start, len: datagram.len() });
            }
        }
        self.order.sort_unstable();
    }

    /// Encapsulates what was placed and hands it to `send`, as many datagrams at once as `max_segments` and their sizes
    /// allow. `send` says what went wrong.
    pub fn flush<B, F>(&mut self, ring: &KeyRing, buffers: &[B], max_segments: usize, mut send: F)
    where
        B: AsRef<[u8]>,
        F: FnMut(&Transmit<'_>) -> Result<(), Outcome>,
    {
        let mut next = 0;
        while let Some(first) = self.order.get(next) {
            let end = next + self.run(next, max_segments);
            self.out.clear();
            for key in &self.order[next..end] {
                let job = &self.jobs[key.job];
                let payload = &buffers[job.buffer].as_ref()[job.start..job.start + job.len];
                encap::encode(&job.header, ring, payload, &mut self.out);
            }
            let job = &self.jobs[first.job];
            let several = end - next > 1;
            let transmit = Transmit {
                destination: SocketAddr::V4(first.agent),
                ecn: job.ecn,
                contents: &self.out,
                segment_size: several.then(|| job.wire_len()),
                src_ip: None,
            };
            if let Err(outcome) = send(&transmit) {
                self.counts[outcome as usize] += (end - next) as u64;
            }
            next = end;
        }
    }

    /// Adds the counts since the last call to `tally`.
    pub fn settle(&mut self, tally: &Tally) {
        for outcome in Outcome::ALL {
            let count = std::mem::take(&mut self.counts[outcome as usize]);
            if count > 0 {
                tally.add(outcome, count);
            }
        }
    }

    /// Number of jobs from `next` on that can go out in one system call: to one agent, of one size, the last may be
    /// smaller.
    fn run(&self, next: usize, max_segments: usize) -> usize {
        let head = self.order[next];
        let first = &self.jobs[head.job];
        let size = first.wire_len();
        let most = max_segments.min(MAX_TRANSMIT / size).max(1);
        let mut count = 1;
        for key in self.order[next + 1..].iter().take(most - 1) {
            let job = &self.jobs[key.job];
            if key.agent != head.agent || job.ecn != first.ecn || job.wire_len() > size {
                break;
            }
            count += 1;
            if job.wire_len() < size {
                break;
            }
        }
        count
    }

    fn count(&mut self, outcome: Outcome) {
        self.counts[outcome as usize] += 1;
    }
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
