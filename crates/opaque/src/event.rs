//! Numbered log events of processes that carry opaque flows, as listed in `docs/EVENTS.md`, which a test compares. The
//! numbers continue those of `camphorwinchd`.

macro_rules! catalogue {
    ($($id:literal $variant:ident $name:literal $meaning:literal;)*) => {
        /// Identifier of a log event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Id {
            $(#[doc = $meaning] $variant = $id,)*
        }

        impl Id {
            /// All events, in catalogue order.
            pub const ALL: &[Id] = &[$(Id::$variant,)*];

            /// Name in the catalogue.
            pub fn name(self) -> &'static str {
                match self { $(Id::$variant => $name,)* }
            }

            /// Description in the catalogue.
            pub fn meaning(self) -> &'static str {
                match self { $(Id::$variant => $meaning,)* }
            }
        }
    };
}

catalogue! {
    601 Started "opaque-started" "the process started";
    602 Stopping "opaque-stopping" "the process was asked to stop";
    603 Stopped "opaque-stopped" "the process stopped";
    604 Reloaded "opaque-reloaded" "the settings were reloaded";
    605 BalancerChecked "opaque-balancer-checked" "a balancer that has not been heard of for long is checked; its entry is withdrawn if it stays silent";
    606 WatchRenewed "opaque-watch-renewed" "no watcher has had an answer from the store for too long: a waiting call was replaced by one on a new connection";
    607 FormerPools "opaque-former-pools" "a peer named pools that routes no longer include; their upstreams may hold flows of these routes";
    608 AgentRestarting "opaque-agent-restarting" "a peer named an agent that announced a restart to it";
    611 ConfigInForce "opaque-config-in-force" "a revision of the configuration is in force in this process";
    612 ConfigOld "opaque-config-old" "an older configuration was ignored";
    613 StoreLost "opaque-store-lost" "a call to the store failed; the last known state stays in use";
    614 StoreBack "opaque-store-back" "calls to the store succeed again";
    615 MembersListed "opaque-members-listed" "the list of members was applied";
    616 PeerAsked "opaque-peer-asked" "a peer was queried for its state, as the store is unavailable";
    617 MemberWithdrawn "opaque-member-withdrawn" "a member that was unreachable for long was removed from the list";
    618 Unlisted "opaque-unlisted" "this process was removed from the list of members and registers again";
    619 EntryUnreadable "opaque-entry-unreadable" "an invalid store object was skipped";
    620 ZonesOutChanged "opaque-zones-out-changed" "the zones out of service changed: new flows go to all others";
    621 AgentChanged "opaque-agent-changed" "the known state of an agent changed";
    622 Connected "opaque-connected" "enough agents are reachable: the balancer is ready";
    623 Disconnected "opaque-disconnected" "too few agents are reachable: the balancer is not ready";
    624 CopyKept "opaque-copy-kept" "an agent fetched a copy of a balancer's state";
    625 StoreReset "opaque-store-reset" "the store was reset to an older copy; later writes are lost and revisions may repeat";
    626 ListAsked "opaque-list-asked" "a peer was queried for the list of members";
    627 Announced "opaque-announced" "this process is registered in the store";
    628 Withdrawn "opaque-withdrawn" "this process removed its entry from the list of members";
    629 MemberUnlisted "opaque-member-unlisted" "a member that is alive was removed from the list of members and is notified";
    630 UpstreamLookedFor "opaque-upstream-looked-for" "the agent checked at its start whether the upstream listens";
    631 UpstreamChanged "opaque-upstream-changed" "the upstream's state changed by a heartbeat";
    632 HeartbeatLate "opaque-heartbeat-late" "a heartbeat was ignored, as it is older than what is known";
    633 UpstreamGone "opaque-upstream-gone" "the upstream's process has ended";
    634 HeartbeatUnclear "opaque-heartbeat-unclear" "a heartbeat that may be from a former upstream process was ignored and not acknowledged";
    635 HeartbeatForeign "opaque-heartbeat-foreign" "a heartbeat without a start time was rejected";
    636 UpstreamSetAside "opaque-upstream-set-aside" "the circuit breaker opened: the upstream resets requests and gets new flows only as a trial or the last resort";
    637 UpstreamTakenBack "opaque-upstream-taken-back" "the circuit breaker closed: the upstream answers requests again";
    638 ServiceTimeLearned "opaque-service-time-learned" "the agent received its upstream's service time from before a restart";
    639 RouteBeyondShare "opaque-route-beyond-share" "a route sends more requests than its usual share of the pool; those beyond it wait behind the others";
    640 UpstreamContested "opaque-upstream-contested" "a heartbeat came from another upstream process than the known one; both count until one is silent";
    641 FlowPlaced "opaque-flow-placed" "an opening packet was sent to its first candidate";
    642 FlowAccepted "opaque-flow-accepted" "an agent accepted the flow for its upstream";
    643 FlowPassed "opaque-flow-passed" "an agent forwarded an opening packet to the next candidate";
    644 FlowRefused "opaque-flow-refused" "the upstream refused the flow";
    645 FlowSearched "opaque-flow-searched" "the balancer searches for the agent that holds a flow";
    646 FlowFound "opaque-flow-found" "the agent that holds a flow was found";
    647 FlowNotFound "opaque-flow-not-found" "the agent that holds a flow was not found in time";
    648 FlowAbsent "opaque-flow-absent" "an agent received a packet of a flow that it does not hold";
    649 FlowHeld "opaque-flow-held" "packets are buffered while the flow's agent restarts";
    650 FlowReset "opaque-flow-reset" "a flow was reset";
    651 PacketDropped "opaque-packet-dropped" "a packet was dropped";
    652 UpstreamReset "opaque-upstream-reset" "the upstream reset a flow; the reset is not forwarded if the upstream does not hold the flow";
    653 FlowUnplaced "opaque-flow-unplaced" "no candidate accepted the flow; lists the candidates' loads";
    654 RequestAdmitted "opaque-request-admitted" "a waiting request was released to the upstream";
    655 OpeningDeferred "opaque-opening-deferred" "the pool is full: an opening packet is buffered until an agent offers a slot";
    656 OpeningBound "opaque-opening-bound" "a deferred opening packet was sent to an agent that offered a slot";
    657 OpeningUndeferred "opaque-opening-undeferred" "a deferred opening packet was placed without an offer";
    658 PacketsReplayed "opaque-packets-replayed" "the packets that a balancer buffered at its start were handled";
    659 PoolFull "opaque-pool-full" "a pool became full: requests wait for a slot";
    660 PoolHasRoom "opaque-pool-has-room" "a full pool has room again";
    661 LinesSuppressed "opaque-lines-suppressed" "log lines on single flows were suppressed by the rate limit";
}
