//! Helpers that build addresses, packets and reports.

use std::net::{Ipv4Addr, SocketAddrV4};

use camphorwinch_core::opaque::{
    FlowKey, PacketHeader, PacketKind, PoolId,
    agent::{Identity, UpstreamInstance},
    candidate_list::CandidateList,
    effect::{Decision, Effect, RelayAction, RelayHeader},
    fleet::{AgentPlan, Report, UpstreamState, ZoneId},
    revision::Revision,
    route::{Route, Routes, WeightedPool},
};

pub(crate) const POOL: PoolId = PoolId(1);
/// A pool that is not in the service's route.
pub(crate) const OTHER_POOL: PoolId = PoolId(2);
pub(crate) const ZONE: ZoneId = ZoneId(1);

pub(crate) fn address(host: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, host), 7720)
}

pub(crate) fn identity(host: u8, incarnation: u64) -> Identity {
    Identity { address: address(host), pool: POOL, zone: ZONE, incarnation }
}

/// An upstream process that does not send its start time.
pub(crate) fn instance(id: &str) -> UpstreamInstance {
    UpstreamInstance { id: id.to_owned(), started_at_ms: None }
}

pub(crate) fn service() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

/// Service address for flows with a single request.
pub(crate) fn single_service() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 444)
}

pub(crate) fn key(port: u16) -> FlowKey {
    let caller = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), port);
    FlowKey { caller, service: service() }
}

pub(crate) fn head(port: u16, kind: PacketKind) -> PacketHeader {
    PacketHeader { key: key(port), kind, bounced: false, seq: 0, ack: 0, len: 0 }
}

pub(crate) fn data(port: u16, seq: u32, ack: u32) -> PacketHeader {
    PacketHeader { seq, ack, len: 100, ..head(port, PacketKind::Data) }
}

pub(crate) fn relay(action: RelayAction) -> RelayHeader {
    RelayHeader { action, pool: POOL, balancer: address(200) }
}

pub(crate) fn open_at(agents: &[u8], limit: u16) -> RelayHeader {
    relay(RelayAction::Open(CandidateList::new(agents.iter().map(|&it| address(it)), limit)))
}

pub(crate) fn report(seq: u64, load: u16) -> Report {
    Report {
        incarnation: 1,
        seq,
        pool: POOL,
        zone: ZONE,
        upstream: UpstreamState::Ready,
        plan: AgentPlan::Stay,
        slots: 4,
        load,
        service_ms: None,
        answer_bytes: None,
        full: false,
        interval_ms: 1_000,
    }
}

pub(crate) fn routes(revision: u64) -> Routes {
    routes_to(revision, POOL)
}

/// Routes from both service addresses to `pool`.
pub(crate) fn routes_to(revision: u64, pool: PoolId) -> Routes {
    let mut routes =
        Routes { revision: Revision::new(0, revision), version: revision, ..Routes::default() };
    let weighted = WeightedPool { pool, weight: 1 };
    for address in [service(), single_service()] {
        routes.by_address.insert(address, Route::new(vec![weighted]));
    }
    routes
}

/// The effects that `f` appends.
pub(crate) fn collect<F>(f: F) -> Vec<Effect>
where
    F: FnOnce(&mut Vec<Effect>),
{
    let mut out = Vec::new();
    f(&mut out);
    out
}

/// The decisions among effects.
pub(crate) fn decisions(effects: &[Effect]) -> Vec<Decision> {
    let decision = |it: &Effect| match it {
        Effect::LogDecision { decision, .. } => Some(*decision),
        _ => None,
    };
    effects.iter().filter_map(decision).collect()
}

pub(crate) fn resets(effects: &[Effect]) -> usize {
    effects.iter().filter(|it| matches!(it, Effect::Reset { .. })).count()
}

/// Destinations of relayed packets, with the requested actions.
pub(crate) fn relays(effects: &[Effect]) -> Vec<(SocketAddrV4, RelayAction)> {
    let relay = |it: &Effect| match it {
        Effect::Relay { to, relay, .. } => Some((*to, relay.action)),
        _ => None,
    };
    effects.iter().filter_map(relay).collect()
}
