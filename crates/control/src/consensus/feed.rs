//! Serves configuration to gateways from the log of a control process.

use {
    super::{
        core::ControlCore,
        message::{MemberStatus, STATUS as LOG_STATUS},
        state::{NodeState, Role},
    },
    crate::{
        distribution::{
            ClusterStatus, ConfigFeed, ControlEndpoints, FeedPage, FeedRange, FeedSummary,
            MemberRow, ReplicaRow, ReportRow, ReportTable, STATUS, build_page, groups_between,
        },
        entry::{LogIndex, Member},
        groups::GroupRecord,
        signal::WakeSignal,
    },
    futures::future::join_all,
    gullglade_units::{BootTime, Clock, MonotonicTime, VmName},
    std::{collections::BTreeMap, time::Duration},
};

impl ControlCore {
    /// Returns a time at which the state of this process included every accepted change.
    pub(crate) fn confirmed(&self, state: &NodeState) -> Option<BootTime> {
        match &state.role {
            Role::Leader(leadership) if state.is_settled(leadership.term) => {
                state.quorum_acked_boot(self.me, self.boot())
            }
            _ => state.confirmed,
        }
    }

    /// Returns the time elapsed since [`confirmed`](Self::confirmed).
    pub(crate) fn confirmed_ago(&self, state: &NodeState) -> Option<Duration> {
        self.confirmed(state).map(|confirmed| self.boot().since(confirmed))
    }

    /// Collects the status of all members and merges their reports on gateways.
    pub(crate) async fn cluster_status(&self) -> ClusterStatus {
        let (index, leader, members) = {
            let state = self.state.borrow();
            let members = state.membership().map(|m| m.members.clone()).unwrap_or_default();
            (state.commit, state.leader, members)
        };
        let answers = join_all(members.iter().map(|m| self.ask_member(m))).await;
        let mut rows: BTreeMap<VmName, ReplicaRow> = BTreeMap::new();
        let mut merge_row = |row: ReplicaRow| {
            let old = rows.get(&row.vm).map(|old| old.heard_ms);
            if old.is_none_or(|old| old > row.heard_ms) {
                rows.insert(row.vm.clone(), row);
            }
        };
        let own = self.reports.rows(self.now()).into_iter().map(ReplicaRow::from);
        own.for_each(&mut merge_row);
        let mut status_rows = Vec::new();
        for (member, (status, replicas)) in members.into_iter().zip(answers) {
            replicas.into_iter().for_each(&mut merge_row);
            status_rows.push(MemberRow { member, status });
        }
        ClusterStatus {
            index,
            leader,
            members: status_rows,
            replicas: rows.into_values().collect(),
        }
    }

    async fn ask_member(&self, member: &Member) -> (Option<MemberStatus>, Vec<ReplicaRow>) {
        if member.id == self.me {
            return (Some(self.status()), Vec::new());
        }
        let limit = self.config.call_limit;
        let status = self.call(member.address, LOG_STATUS, &(), limit).await.ok();
        if status.is_none() {
            return (None, Vec::new());
        }
        let reports: Option<Vec<ReportRow>> =
            self.call(member.address, STATUS, &(), limit).await.ok();
        (status, reports.unwrap_or_default().into_iter().map(ReplicaRow::from).collect())
    }
}

impl ConfigFeed for ControlCore {
    fn summary(&self) -> Option<FeedSummary> {
        let state = self.state.borrow();
        let cluster = state.membership()?.cluster;
        let ago = self.confirmed_ago(&state);
        let confirmed = ago.map(|ago| MonotonicTime(self.now().0.saturating_sub(ago)));
        // Until the founding entry is committed, this log may still turn out never to exist.
        let applied = Some(state.config.applied()).filter(|index| *index > LogIndex(0))?;
        Some(FeedSummary { cluster, applied, confirmed })
    }

    fn page(&self, range: FeedRange, limit: usize) -> FeedPage {
        let state = self.state.borrow();
        let config = &state.config;
        build_page(config.changed_after(range.cursor), range, limit, Some(config.applied()))
    }

    fn groups(&self, after: LogIndex, end: LogIndex) -> Vec<GroupRecord> {
        groups_between(self.state.borrow().config.groups(), after, end)
    }

    fn control_endpoints(&self) -> ControlEndpoints {
        let state = self.state.borrow();
        ControlEndpoints::of(state.tail.membership_index(), state.membership().map(|m| &**m))
    }

    fn signal(&self) -> &WakeSignal {
        &self.signal
    }

    fn reports(&self) -> &ReportTable {
        &self.reports
    }

    fn clock(&self) -> &dyn Clock {
        &*self.context.clock
    }
}
