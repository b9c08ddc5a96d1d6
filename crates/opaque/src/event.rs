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
    603 Stopped "opaque-stopped" "the process stops now";
    604 Reloaded "opaque-reloaded" "the settings were read again";
    611 ConfigInForce "opaque-config-in-force" "a revision of the configuration is in force in this process";
    612 ConfigOld "opaque-config-old" "a configuration was ignored, as a newer one is in force";
    613 StoreLost "opaque-store-lost" "a call to the store failed; work goes on with what is known";
    614 StoreBack "opaque-store-back" "the store answers again";
    615 MembersListed "opaque-members-listed" "the list of members was taken";
    616 PeerAsked "opaque-peer-asked" "a peer was asked for what it knows, as the store was not of use";
    617 MemberWithdrawn "opaque-member-withdrawn" "a member that was gone for long was taken off the list";
    618 Unlisted "opaque-unlisted" "a balancer had taken this process off the list of members: it lists itself again";
    619 EntryUnreadable "opaque-entry-unreadable" "an object of another writer could not be read and is left out";
    620 ZonesOutChanged "opaque-zones-out-changed" "the zones out of service changed: new flows go to all others";
    621 AgentChanged "opaque-agent-changed" "what is believed of an agent changed";
    622 Connected "opaque-connected" "agents are heard of: the balancer is ready";
    623 Disconnected "opaque-disconnected" "too few agents are heard of: the balancer is not ready";
    624 CopyKept "opaque-copy-kept" "an agent fetched a copy of what a balancer knows, for balancers that start while the store is away";
    625 StoreReset "opaque-store-reset" "the store came back from an older copy: what it had confirmed since is lost, and its revisions are given out again";
    626 ListAsked "opaque-list-asked" "a process was asked for the list of members";
    627 Announced "opaque-announced" "this process's object stands in the store";
    630 UpstreamLookedFor "opaque-upstream-looked-for" "at its start the agent looked for a listening upstream";
    631 UpstreamChanged "opaque-upstream-changed" "the upstream's state changed by a heartbeat";
    632 HeartbeatLate "opaque-heartbeat-late" "a heartbeat was ignored, as it is older than what is known";
    633 UpstreamGone "opaque-upstream-gone" "the upstream's process is proven to have ended";
    634 HeartbeatUnclear "opaque-heartbeat-unclear" "a heartbeat may be of a former life of the upstream: not acknowledged";
    635 HeartbeatForeign "opaque-heartbeat-foreign" "a heartbeat that does not say when its sender started was refused";
    636 UpstreamSetAside "opaque-upstream-set-aside" "the upstream resets requests: new flows go elsewhere, but for trials";
    637 UpstreamTakenBack "opaque-upstream-taken-back" "the upstream answers requests again and gets new flows";
    641 FlowPlaced "opaque-flow-placed" "an opening packet was sent to its first candidate";
    642 FlowAccepted "opaque-flow-accepted" "an agent gave the flow to its upstream";
    643 FlowPassed "opaque-flow-passed" "an agent passed an opening packet on to the next candidate";
    644 FlowRefused "opaque-flow-refused" "the upstream refused the flow";
    645 FlowSearched "opaque-flow-searched" "the holder of a flow is searched for";
    646 FlowFound "opaque-flow-found" "the holder of a flow was found";
    647 FlowNotFound "opaque-flow-not-found" "no holder of a flow was found in time";
    648 FlowAbsent "opaque-flow-absent" "a packet came to an agent that does not hold its flow";
    649 FlowHeld "opaque-flow-held" "packets are held while the flow's agent restarts";
    650 FlowReset "opaque-flow-reset" "a flow was reset";
    651 PacketDropped "opaque-packet-dropped" "a packet was dropped";
    652 UpstreamReset "opaque-upstream-reset" "the upstream reset a flow; of one that it does not hold that stays here";
    653 FlowUnplaced "opaque-flow-unplaced" "no candidate may take the flow; their loads as they judged them";
    654 RequestAdmitted "opaque-request-admitted" "a request that waited at the agent went to its upstream";
    661 LinesSuppressed "opaque-lines-suppressed" "lines on single flows were left out, as there were too many";
}
