//! Service times that agents reported, remembered over their restarts.
//!
//! The upstream of a restarted agent runs on the same VM as before, so its last service time is a better prior than the
//! pool's mean.

use std::net::SocketAddrV4;

use super::{super::service_rate::MeasuredService, AgentEntry, Fleet, Report, UpstreamState};

/// Time for which values are remembered after the agent's last report.
const REMEMBER_MS: u64 = 60_000;

/// The last values that an agent reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct RememberedService {
    service: MeasuredService,
    /// Incarnation of the agent that measured them.
    measured_by: u64,
    /// Incarnation of the agent that they were last returned to.
    returned_to: Option<u64>,
    heard_ms: u64,
}

impl RememberedService {
    fn is_expired(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.heard_ms) > REMEMBER_MS
    }
}

impl AgentEntry {
    /// Remembers the service time of a report. Discards it if the agent is in another pool or was not heard from for
    /// long.
    pub(super) fn remember_service(&mut self, report: &Report, now_ms: u64) {
        if let Some(service_ms) = report.service_ms {
            let Report { pool, answer_bytes, .. } = *report;
            self.remembered = Some(RememberedService {
                service: MeasuredService { pool, service_ms, answer_bytes },
                measured_by: report.incarnation,
                returned_to: None,
                heard_ms: now_ms,
            });
            return;
        }
        self.remembered =
            self.remembered.filter(|it| it.service.pool == report.pool && !it.is_expired(now_ms));
        if let Some(it) = &mut self.remembered {
            it.heard_ms = now_ms;
        }
    }

    /// Service time that the agent reports, or that is remembered.
    pub(super) fn service(&self) -> Option<MeasuredService> {
        self.remembered.map(|it| it.service)
    }
}

impl Fleet {
    /// The remembered service time of an agent that has restarted and reports none; only once per incarnation.
    pub fn service_to_return(&mut self, agent: SocketAddrV4) -> Option<MeasuredService> {
        let entry = self.agents.get_mut(agent)?;
        let report = entry.report.filter(|it| it.service_ms.is_none())?;
        let remembered = entry.remembered.as_mut()?;
        let is_known = remembered.measured_by == report.incarnation
            || remembered.returned_to == Some(report.incarnation);
        if is_known || report.upstream == UpstreamState::Ended {
            return None;
        }
        remembered.returned_to = Some(report.incarnation);
        Some(remembered.service)
    }

    /// Removes the agents that `keep` rejects. Their service times stay remembered for the rest of their time.
    pub(super) fn retain_agents<F>(&mut self, keep: F)
    where
        F: Fn(&AgentEntry) -> bool,
    {
        let removed = self.agents.retain(keep).into_iter();
        self.departed.extend(removed.filter_map(|(agent, it)| Some((agent, it.remembered?))));
    }

    pub(super) fn expire_departed(&mut self, now_ms: u64) {
        self.departed.retain(|_, it| !it.is_expired(now_ms));
    }
}
