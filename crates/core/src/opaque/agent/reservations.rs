//! Reservations of balancers for deferred opening packets, and the slots that the agent offers for them.
//!
//! This is late binding (Sparrow, SOSP 2013): an opening packet stays at its balancer until an upstream is about to
//! have a slot. A reservation stands for any opening packet of its balancer and pool, as in Join-Idle-Queue (2011).

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
};

use rustc_hash::FxHashMap;

use super::{
    super::{
        FlowKey,
        effect::{Effect, Reservation},
        fleet::{AgentPlan, UpstreamState},
        ranked_queue::{Class, Rank, RankedQueue, Terms},
    },
    Agent,
};

/// Most reservations of all balancers.
const MAX_TOTAL: usize = 4_096;
/// Most reservations of a balancer with the same class; more would not change the order of balancers.
const MAX_PER_BALANCER_AND_CLASS: usize = 8;
/// Age of a caller's attempt at which its reservation expires: its balancer has placed it by then.
const RESERVATION_TTL_MS: u64 = 1_000;
/// Time for which an offered slot is kept free, for a round trip between regions and a margin. It starts anew when the
/// opening packet arrives, as the request follows after a round trip to the caller.
const OFFER_TTL_MS: u64 = 60;

/// Weight of the newest sample in the moving average of binding times.
const BINDING_TIME_WEIGHT: f64 = 0.1;
/// Most requests in the process of binding beyond the free slots, as a multiple of the slots.
const MAX_COVER: f64 = 2.0;

/// Identifier of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(in crate::opaque) struct ReservationKey {
    balancer: SocketAddrV4,
    seq: u64,
}

#[derive(Clone, Copy, Debug)]
struct SlotOffer {
    balancer: SocketAddrV4,
    since_ms: u64,
    /// Flow whose opening packet the balancer sent for the offer.
    flow: Option<FlowKey>,
}

/// Expiry time and sequence number.
type OfferKey = (u64, u64);

/// The reservations of an agent, and the slots offered for them.
#[derive(Clone, Debug, Default)]
pub(in crate::opaque) struct Reservations {
    queue: RankedQueue<ReservationKey>,
    /// Sequence numbers by balancer and class, oldest first.
    by_balancer: BTreeMap<(SocketAddrV4, Class), BTreeSet<u64>>,
    expiries: BTreeSet<(u64, ReservationKey)>,
    offers: BTreeMap<OfferKey, SlotOffer>,
    /// Offers that no opening packet has arrived for, oldest first.
    unassigned: BTreeSet<(SocketAddrV4, OfferKey)>,
    by_flow: FxHashMap<FlowKey, OfferKey>,
    /// Moving average of the time from an offer to the beginning of the request.
    binding_ms: Option<f64>,
    next_seq: u64,
}

impl Reservations {
    /// Whether there are neither reservations nor offers.
    pub(in crate::opaque) fn is_empty(&self) -> bool {
        self.queue.is_empty() && self.offers.is_empty()
    }

    /// Slots offered and not yet used.
    pub(in crate::opaque) fn offered(&self) -> u32 {
        self.offers.len() as u32
    }

    /// Requests beyond those running and waiting that the upstream is sure to get: the offered slots, and one if
    /// balancers wait for offers, which may share the opening packets that they wait with.
    pub(in crate::opaque) fn demand(&self) -> u32 {
        self.offered() + u32::from(!self.queue.is_empty())
    }

    /// Requests that the upstream would finish while a request is bound. That many slots are offered early, as they would
    /// be idle otherwise.
    pub(in crate::opaque) fn cover(&self, slots: u32, service_ms: f64) -> u32 {
        let Some(binding_ms) = self.binding_ms else {
            return 0;
        };
        let slots = f64::from(slots);
        (slots * (binding_ms / service_ms.max(1.0)).min(MAX_COVER)).ceil() as u32
    }

    /// Mean time from an offer to the beginning of the request.
    pub(in crate::opaque) fn binding_ms(&self) -> u64 {
        self.binding_ms.unwrap_or(0.0) as u64
    }

    /// The reservation to offer a slot for next, if a request served now ends at `end_ms`.
    pub(in crate::opaque) fn first(&mut self, end_ms: u64) -> Option<(Rank, ReservationKey)> {
        self.queue.first(end_ms)
    }

    fn insert(&mut self, balancer: SocketAddrV4, terms: Terms, end_ms: u64) {
        let key = ReservationKey { balancer, seq: self.next_seq };
        self.next_seq += 1;
        self.queue.insert(key, terms);
        self.expiries.insert((terms.issued_ms + RESERVATION_TTL_MS, key));
        let same = self.by_balancer.entry((balancer, terms.class)).or_default();
        same.insert(key.seq);
        let oldest = same.first().filter(|_| same.len() > MAX_PER_BALANCER_AND_CLASS);
        if let Some(&seq) = oldest {
            self.drop_reservation(ReservationKey { balancer, seq });
        } else if self.queue.len() > MAX_TOTAL
            && let Some((_, key)) = self.queue.last(end_ms)
        {
            self.drop_reservation(key);
        }
    }

    fn drop_reservation(&mut self, key: ReservationKey) {
        let Some(terms) = self.queue.remove(&key) else {
            return;
        };
        self.expiries.remove(&(terms.issued_ms + RESERVATION_TTL_MS, key));
        let group = (key.balancer, terms.class);
        if let Some(same) = self.by_balancer.get_mut(&group) {
            same.remove(&key.seq);
            if same.is_empty() {
                self.by_balancer.remove(&group);
            }
        }
    }

    fn drop_reservations_of(&mut self, balancer: SocketAddrV4) {
        let groups = self.by_balancer.range((balancer, Class::FIRST)..=(balancer, Class::LAST));
        let seqs: Vec<u64> = groups.flat_map(|it| it.1).copied().collect();
        for seq in seqs {
            self.drop_reservation(ReservationKey { balancer, seq });
        }
    }

    /// Turns a reservation into an offered slot.
    fn offer(&mut self, key: ReservationKey, now_ms: u64) {
        self.drop_reservation(key);
        let offer = (now_ms + OFFER_TTL_MS, self.next_seq);
        self.next_seq += 1;
        let slot = SlotOffer { balancer: key.balancer, since_ms: now_ms, flow: None };
        self.offers.insert(offer, slot);
        self.unassigned.insert((key.balancer, offer));
    }

    fn drop_offer(&mut self, key: OfferKey) -> Option<SlotOffer> {
        let offer = self.offers.remove(&key)?;
        match offer.flow {
            Some(flow) => {
                self.by_flow.remove(&flow);
            }
            None => {
                self.unassigned.remove(&(offer.balancer, key));
            }
        }
        Some(offer)
    }

    /// The balancer's oldest offer that no opening packet has arrived for.
    fn unassigned_offer(&self, balancer: SocketAddrV4) -> Option<OfferKey> {
        let offers = self.unassigned.range((balancer, (0, 0))..=(balancer, (u64::MAX, u64::MAX)));
        offers.map(|it| it.1).next()
    }

    /// Keeps a slot offered to the balancer for this flow, whose opening packet arrived.
    pub(super) fn assign(&mut self, balancer: SocketAddrV4, flow: FlowKey, now_ms: u64) {
        let Some(key) = self.unassigned_offer(balancer) else {
            return;
        };
        self.take(&flow);
        let Some(offer) = self.drop_offer(key) else {
            return;
        };
        let key = (now_ms + OFFER_TTL_MS, key.1);
        self.offers.insert(key, SlotOffer { flow: Some(flow), ..offer });
        self.by_flow.insert(flow, key);
    }

    /// Frees a slot offered to the balancer, as its opening packet is not accepted.
    pub(super) fn release(&mut self, balancer: SocketAddrV4) {
        if let Some(key) = self.unassigned_offer(balancer) {
            self.drop_offer(key);
        }
    }

    /// Frees the slot kept for the flow, if there is one.
    pub(super) fn take(&mut self, flow: &FlowKey) {
        if let Some(key) = self.by_flow.get(flow).copied() {
            self.drop_offer(key);
        }
    }

    /// Frees the slot kept for the flow, whose request begins; false if there is none.
    pub(super) fn begin(&mut self, flow: &FlowKey, now_ms: u64) -> bool {
        let key = self.by_flow.get(flow).copied();
        let Some(offer) = key.and_then(|it| self.drop_offer(it)) else {
            return false;
        };
        let sample = now_ms.saturating_sub(offer.since_ms) as f64;
        let mean = self.binding_ms.unwrap_or(sample);
        self.binding_ms = Some(mean + (sample - mean) * BINDING_TIME_WEIGHT);
        true
    }

    fn decline(&mut self, balancer: SocketAddrV4) {
        self.drop_reservations_of(balancer);
        while let Some(key) = self.unassigned_offer(balancer) {
            self.drop_offer(key);
        }
    }

    /// Drops reservations and offers that have expired. A balancer that did not use an offer in time loses its
    /// reservations, so that a failed one does not keep further slots idle.
    pub(super) fn expire(&mut self, now_ms: u64) {
        while let Some(&(at_ms, key)) = self.expiries.first()
            && at_ms <= now_ms
        {
            self.drop_reservation(key);
        }
        while let Some((&key, _)) = self.offers.first_key_value()
            && key.0 <= now_ms
        {
            let offer = self.drop_offer(key);
            if let Some(SlotOffer { balancer, flow: None, .. }) = offer {
                self.drop_reservations_of(balancer);
            }
        }
    }

    /// Drops all reservations. Offers remain until they are used or expire.
    pub(super) fn clear(&mut self) {
        self.queue = RankedQueue::default();
        self.by_balancer.clear();
        self.expiries.clear();
    }

    /// Drops all offers.
    pub(super) fn cancel_offers(&mut self) {
        self.offers.clear();
        self.unassigned.clear();
        self.by_flow.clear();
    }
}

impl Agent {
    /// Handles a balancer's reservation; offers a slot at once if there is one.
    pub fn handle_reservation(
        &mut self,
        balancer: SocketAddrV4,
        reservation: &Reservation,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        if reservation.pool != self.identity.pool || self.plan != AgentPlan::Stay {
            return;
        }
        let issued_ms = now_ms.saturating_sub(u64::from(reservation.age_ms));
        let terms = Terms::new(reservation.objective, issued_ms, reservation.beyond_share);
        let end_ms = self.admission.end_ms(now_ms);
        self.admission.reservations.insert(balancer, terms, end_ms);
        self.admit(now_ms, out);
    }

    /// Handles a balancer's refusal of an offer: it has no deferred opening packet for this agent.
    pub fn handle_decline(&mut self, balancer: SocketAddrV4, now_ms: u64, out: &mut Vec<Effect>) {
        self.admission.reservations.decline(balancer);
        self.admit(now_ms, out);
    }

    /// Whether new flows may be requested for the upstream.
    pub(super) fn may_offer(&self, now_ms: u64) -> bool {
        self.plan == AgentPlan::Stay
            && self.upstream(now_ms) == UpstreamState::Ready
            && !self.breaker.is_open()
            && !self.is_cold_and_full(now_ms)
    }

    /// Offers a slot for a reservation. Offers to the same balancer in a row share a datagram.
    pub(super) fn offer(&mut self, key: ReservationKey, now_ms: u64, out: &mut Vec<Effect>) {
        self.admission.reservations.offer(key, now_ms);
        match out.last_mut() {
            Some(Effect::Offer { to, slots, .. }) if *to == key.balancer && *slots < u8::MAX => {
                *slots += 1;
            }
            _ => out.push(Effect::Offer { to: key.balancer, pool: self.identity.pool, slots: 1 }),
        }
    }
}
