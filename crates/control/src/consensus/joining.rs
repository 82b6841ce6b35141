//! Joining an existing log, and recording the processes that ask to join.

use {
    super::{
        core::ControlCore,
        message::{JOIN, JoinReply, JoinRequest},
        state::NodeState,
    },
    crate::entry::{Member, MemberId, MemberRole},
    futures::future::join_all,
    gullglade_units::MonotonicTime,
    std::{
        cell::RefCell,
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// The interval between rounds of join requests.
const JOIN_INTERVAL: Duration = Duration::from_millis(400);

/// The time after which a join request expires. A process that still wants to join repeats its
/// request several times before that.
const JOIN_REQUEST_EXPIRY: Duration = Duration::from_secs(3);

/// The time without contact to a leader after which a member asks to join again. It may have been
/// removed without learning of it, since the log is no longer sent to a removed member. Longer than
/// an election.
const LEADER_SILENCE_LIMIT: Duration = Duration::from_secs(4);

/// The processes that asked to join, each with the time of its last request, and further addresses
/// to ask.
#[derive(Default)]
pub(crate) struct JoinTable {
    requests: RefCell<BTreeMap<MemberId, (Member, MonotonicTime)>>,
    contacts: RefCell<BTreeSet<SocketAddr>>,
}

impl JoinTable {
    fn record(&self, member: Member, now: MonotonicTime) {
        self.contacts.borrow_mut().insert(member.address);
        self.requests.borrow_mut().insert(member.id, (member, now));
    }

    /// Returns the processes whose requests have not expired.
    pub(super) fn recent(&self, now: MonotonicTime) -> Vec<Member> {
        let mut requests = self.requests.borrow_mut();
        requests.retain(|_, (_, at)| now.since(*at) <= JOIN_REQUEST_EXPIRY);
        requests.values().map(|(member, _)| member.clone()).collect()
    }

    /// Adds addresses at which control processes may be found.
    pub(crate) fn add_contacts(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        self.contacts.borrow_mut().extend(addresses);
    }
}

impl ControlCore {
    /// Asks to join whenever this process is not part of the log, for as long as it runs.
    pub(super) async fn run_joining(&self) {
        loop {
            self.sleep(JOIN_INTERVAL).await;
            if self.needs_to_join() {
                self.ask_to_join().await;
            }
        }
    }

    fn needs_to_join(&self) -> bool {
        let state = self.state.borrow();
        let is_member = state.membership().is_some_and(|m| m.member(self.me).is_some());
        let is_silent = self.now().since(state.leader_heard_at) > LEADER_SILENCE_LIMIT;
        state.can_write() && !state.is_leader() && (!is_member || is_silent)
    }

    /// Sends a join request to all known processes, then to the leaders that they name.
    pub(super) async fn ask_to_join(&self) {
        let Some(settings) = self.config.seed_settings() else { return };
        let mut addresses: BTreeSet<SocketAddr> = settings.seeds.iter().copied().collect();
        addresses.extend(self.joining.contacts.borrow().iter());
        addresses.extend(self.member_addresses());
        addresses.remove(&settings.own);
        let member = Member {
            id: self.me,
            vm: self.config.vm.clone(),
            region: self.config.region.clone(),
            address: settings.own,
            role: MemberRole::Learner,
        };
        let request = JoinRequest { member };
        let replies =
            join_all(addresses.iter().map(|a| self.send_join_request(*a, &request))).await;
        let leaders: BTreeSet<SocketAddr> = replies.into_iter().flatten().collect();
        let unasked = leaders.difference(&addresses).copied();
        join_all(unasked.map(|leader| self.send_join_request(leader, &request))).await;
    }

    fn member_addresses(&self) -> Vec<SocketAddr> {
        let state = self.state.borrow();
        let members = state.membership().into_iter().flat_map(|m| &m.members);
        members.map(|m| m.address).collect()
    }

    /// Sends a join request to `address`. Returns the address of the leader if the receiver names
    /// another process.
    async fn send_join_request(
        &self,
        address: SocketAddr,
        request: &JoinRequest,
    ) -> Option<SocketAddr> {
        match self.call(address, JOIN, request, self.config.call_limit).await {
            Ok(JoinReply::AskLeader(leader)) => Some(leader),
            // Several processes are asked because some may be unreachable, so errors are ignored.
            Ok(JoinReply::Noted | JoinReply::NoLeader) | Err(_) => None,
        }
    }

    /// Records a join request if this process is the leader; otherwise names the leader.
    pub(super) fn handle_join(&self, request: JoinRequest) -> JoinReply {
        self.joining.add_contacts([request.member.address]);
        let state = self.state.borrow();
        if state.is_leader() {
            self.joining.record(request.member, self.now());
            drop(state);
            self.signal.notify();
            return JoinReply::Noted;
        }
        leader_address(&state).map_or(JoinReply::NoLeader, JoinReply::AskLeader)
    }
}

fn leader_address(state: &NodeState) -> Option<SocketAddr> {
    Some(state.membership()?.member(state.leader?)?.address)
}
