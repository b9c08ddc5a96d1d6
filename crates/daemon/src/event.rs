//! Numbered events, written to the log and to the timeline.
//!
//! A test compares the catalogue with `docs/EVENTS.md`.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
};

use camphorwinch_core::timeline::{Event, Hlc, HlcTimestamp};

use crate::clock::wall_ms;

/// Recent events kept for the operator address.
const MAX_RECENT_EVENTS: usize = 1_000;
/// Capacity of the queue to the timeline; the oldest events above it are dropped and counted.
const MAX_PENDING_EVENTS: usize = 1_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Level {
    Info,
    Warn,
    Error,
}

macro_rules! catalogue {
    ($($id:literal $variant:ident $name:literal $level:ident $meaning:literal;)*) => {
        /// Kind of an event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        #[allow(dead_code, reason = "roles emit different kinds")]
        pub(crate) enum EventId {
            $(#[doc = $meaning] $variant = $id,)*
        }

        impl EventId {
            #[cfg(test)]
            pub(crate) const ALL: &[EventId] = &[$(EventId::$variant,)*];

            /// Name in the catalogue.
            pub(crate) fn name(self) -> &'static str {
                match self { $(EventId::$variant => $name,)* }
            }

            pub(crate) fn level(self) -> Level {
                match self { $(EventId::$variant => Level::$level,)* }
            }

            /// Meaning in the catalogue.
            #[cfg(test)]
            pub(crate) fn meaning(self) -> &'static str {
                match self { $(EventId::$variant => $meaning,)* }
            }
        }
    };
}

catalogue! {
    101 ProcessStarted "process-started" Info "the process started";
    102 ProcessStopping "process-stopping" Info "the process was asked to stop and drains";
    103 ProcessStopped "process-stopped" Info "the process stopped";
    104 Fenced "fenced" Error "a newer process uses the same name; this process stops";
    105 InvariantViolated "invariant-violated" Error "an internal invariant is violated; please report a bug";
    106 DrainTimeout "drain-timeout" Warn "the drain timeout passed with flows or requests still in progress";
    201 ConfigInForce "config-in-force" Info "a revision of the configuration is in force in this process";
    202 ConfigRefused "config-refused" Warn "an object is invalid; its last valid version stays in force";
    203 PlatformLost "platform-lost" Warn "the object API is unreachable; the process continues with its cached state";
    204 PlatformBack "platform-back" Info "the object API is reachable again";
    205 SeedTaken "seed-taken" Info "the process acquired a seed lease";
    206 SeedLost "seed-lost" Warn "the process lost its seed lease";
    207 WriteSettled "write-settled" Info "a write whose response was lost was confirmed to have taken effect";
    208 ZoneInForce "zone-in-force" Info "a revision of the configuration is in force in every process of the zone";
    209 PlatformReset "platform-reset" Warn "the object API was reset to an older copy; later writes are lost";
    301 LinkUp "link-up" Info "a link to another process is up";
    302 LinkDown "link-down" Info "a link to another process is down";
    303 LinkRefused "link-refused" Warn "a connection was refused: authentication failed or a frame was invalid";
    304 MemberDown "member-down" Warn "a member was detected as down";
    305 MemberBack "member-back" Info "a member that was found dead is alive";
    306 MemberChanged "member-changed" Info "a member joined or changed its state";
    401 DrainStarted "drain-started" Info "a drain started: no new work is accepted";
    402 DrainDone "drain-done" Info "a drain completed: no flow or request is left";
    403 DrainEnded "drain-ended" Info "a drain was cancelled: new work is accepted again";
    404 UpstreamLost "upstream-lost" Warn "the upstream is not reachable";
    405 UpstreamBack "upstream-back" Info "the upstream is reachable again";
    406 RequestUnknown "request-unknown" Warn "the outcome of a request is unknown; this was reported to the caller";
    407 RequestHanded "request-handed" Info "a request was handed over to another agent";
    408 RequestRefused "request-refused" Info "a request was rejected without being run";
    409 FlowRefused "flow-refused" Info "a flow was rejected: the last candidate can't accept it";
    410 KeyRotated "key-rotated" Info "new flows use another key";
    411 CertificateChanged "certificate-changed" Info "new flows use another certificate";
    412 ClaimRepeated "claim-repeated" Info "a request with a known idempotency key was not run again";
    501 ServiceOpened "service-opened" Info "the balancer listens on a service's address";
    502 ServiceClosed "service-closed" Info "the balancer no longer listens on a service's address";
    503 ServiceBindFailed "service-bind-failed" Error "the balancer can't listen on a service's address; it retries";
}

/// Optional context of an event.
#[derive(Clone, Debug, Default)]
pub(crate) struct EventSubject {
    service: Option<String>,
    flow: Option<String>,
    request: Option<String>,
    upstream: Option<String>,
}

#[allow(dead_code, reason = "roles emit different kinds")]
impl EventSubject {
    /// Empty context: the event concerns the process itself.
    pub(crate) fn new() -> EventSubject {
        EventSubject::default()
    }

    /// Sets the service.
    pub(crate) fn with_service(mut self, name: &str) -> EventSubject {
        self.service = Some(name.to_owned());
        self
    }

    /// Sets the flow.
    pub(crate) fn with_flow(mut self, flow: &str) -> EventSubject {
        self.flow = Some(flow.to_owned());
        self
    }

    /// Sets the request.
    pub(crate) fn with_request(mut self, request: &str) -> EventSubject {
        self.request = Some(request.to_owned());
        self
    }

    /// Sets the upstream.
    pub(crate) fn with_upstream(mut self, name: &str) -> EventSubject {
        self.upstream = Some(name.to_owned());
        self
    }
}

struct Recorder {
    process: String,
    clock: Hlc,
    next: u64,
    recent: VecDeque<Event>,
    pending: VecDeque<Event>,
    dropped: u64,
}

static RECORDER: Mutex<Recorder> = Mutex::new(Recorder {
    process: String::new(),
    clock: Hlc::new(),
    next: 0,
    recent: VecDeque::new(),
    pending: VecDeque::new(),
    dropped: 0,
});

fn recorder() -> MutexGuard<'static, Recorder> {
    RECORDER.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sets the process name in events.
pub(crate) fn init(process: &str) {
    recorder().process = process.to_owned();
}

/// Records and logs an event.
pub(crate) fn emit(id: EventId, about: EventSubject, text: &str) {
    let event = recorder().record(id, about, text);
    log(id.level(), &event);
}

/// Records and logs an event without sending it to the timeline. For events that every process emits at the same time;
/// the zone's lease holder emits one for all.
pub(crate) fn emit_local(id: EventId, about: EventSubject, text: &str) {
    let event = recorder().record_local(id, about, text);
    log(id.level(), &event);
}

/// Recent events, oldest first.
pub(crate) fn recent() -> Vec<Event> {
    recorder().recent.iter().cloned().collect()
}

/// Takes the events pending for the timeline.
pub(crate) fn take_pending() -> Vec<Event> {
    recorder().pending.drain(..).collect()
}

/// Puts back events that could not be sent, ahead of newer ones.
#[allow(dead_code, reason = "used by the control plane")]
pub(crate) fn requeue(events: Vec<Event>) {
    let mut recorder = recorder();
    for event in events.into_iter().rev() {
        recorder.pending.push_front(event);
    }
    recorder.trim();
}

/// Number of events dropped because the queue was full.
#[allow(dead_code, reason = "used by the control plane")]
pub(crate) fn dropped() -> u64 {
    recorder().dropped
}

/// Current stamp for a message to another process.
#[allow(dead_code, reason = "used by the control plane")]
pub(crate) fn stamp() -> HlcTimestamp {
    recorder().clock.tick(wall_ms())
}

/// Updates the clock from a peer's stamp; returns false if the stamp is too far ahead.
#[allow(dead_code, reason = "used by the control plane")]
pub(crate) fn observe_stamp(stamp: HlcTimestamp) -> bool {
    recorder().clock.observe(wall_ms(), stamp)
}

impl Recorder {
    fn record(&mut self, id: EventId, about: EventSubject, text: &str) -> Event {
        let event = self.record_local(id, about, text);
        self.pending.push_back(event.clone());
        self.trim();
        event
    }

    /// Records an event without queueing it for the timeline.
    fn record_local(&mut self, id: EventId, about: EventSubject, text: &str) -> Event {
        let event = Event {
            stamp: self.clock.tick(wall_ms()),
            process: self.process.clone(),
            seq: self.next,
            id: id as u16,
            name: id.name().to_owned(),
            service: about.service,
            flow: about.flow,
            request: about.request,
            upstream: about.upstream,
            text: text.to_owned(),
        };
        self.next += 1;
        self.recent.push_back(event.clone());
        self.trim();
        event
    }

    fn trim(&mut self) {
        while self.recent.len() > MAX_RECENT_EVENTS {
            self.recent.pop_front();
        }
        while self.pending.len() > MAX_PENDING_EVENTS {
            self.pending.pop_front();
            self.dropped += 1;
        }
    }
}

fn log(level: Level, event: &Event) {
    let id = event.id;
    let name = event.name.as_str();
    let service = event.service.as_deref();
    let flow = event.flow.as_deref();
    let request = event.request.as_deref();
    let upstream = event.upstream.as_deref();
    let text = event.text.as_str();
    match level {
        Level::Info => tracing::info!(id, name, service, flow, request, upstream, "{text}"),
        Level::Warn => tracing::warn!(id, name, service, flow, request, upstream, "{text}"),
        Level::Error => tracing::error!(id, name, service, flow, request, upstream, "{text}"),
    }
}

#[cfg(test)]
mod tests;
