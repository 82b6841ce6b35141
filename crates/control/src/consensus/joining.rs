//! Asking to be taken into a log that exists, and noting who asks.

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

/// How long to wait between two rounds of asking.
const JOIN_PAUSE: Duration = Duration::from_millis(400);

/// A wish is old after this; the process that has it asks again several times before.
const JOIN_EXPIRY: Duration = Duration::from_secs(3);

/// A member that has not heard its leader for this long may have been removed without learning of
/// it, since a removed member is no longer sent the log. Longer than an election takes.
const LEADER_SILENCE: Duration = Duration::from_secs(4);

/// The processes that asked this one to be taken in, each with when it asked last, and other
/// addresses that are worth asking.
#[derive(Default)]
pub(crate) struct JoinTable {
    asked: RefCell<BTreeMap<MemberId, (Member, MonotonicTime)>>,
    contacts: RefCell<BTreeSet<SocketAddr>>,
}

impl JoinTable {
    fn note(&self, member: Member, now: MonotonicTime) {
        self.contacts.borrow_mut().insert(member.address);
        self.asked.borrow_mut().insert(member.id, (member, now));
    }

    /// Those who asked lately.
    pub(super) fn recent(&self, now: MonotonicTime) -> Vec<Member> {
        let mut asked = self.asked.borrow_mut();
        asked.retain(|_, (_, at)| now.since(*at) <= JOIN_EXPIRY);
        asked.values().map(|(member, _)| member.clone()).collect()
    }

    /// Adds addresses at which control processes may be found.
    pub(crate) fn add_contacts(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        self.contacts.borrow_mut().extend(addresses);
    }
}

impl ControlCore {
    /// Asks whenever this process is outside, for as long as it runs.
    pub(super) async fn run_joining(&self) {
        loop {
            self.sleep(JOIN_PAUSE).await;
            if self.is_outside() {
                self.ask_to_join().await;
            }
        }
    }

    fn is_outside(&self) -> bool {
        let state = self.state.borrow();
        let is_member = state.membership().is_some_and(|m| m.member(self.me).is_some());
        let is_silent = self.now().since(state.heard) > LEADER_SILENCE;
        state.can_write() && !state.is_leader() && (!is_member || is_silent)
    }

    /// Asks all processes it knows, and the leader that they name.
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
        let replies = join_all(addresses.iter().map(|a| self.ask_one(*a, &request))).await;
        let leaders: BTreeSet<SocketAddr> = replies.into_iter().flatten().collect();
        let unasked = leaders.difference(&addresses).copied();
        join_all(unasked.map(|leader| self.ask_one(leader, &request))).await;
    }

    fn member_addresses(&self) -> Vec<SocketAddr> {
        let state = self.state.borrow();
        let members = state.membership().into_iter().flat_map(|m| &m.members);
        members.map(|m| m.address).collect()
    }

    /// The leader that the process at `address` names, if it is not that process itself.
    async fn ask_one(&self, address: SocketAddr, request: &JoinRequest) -> Option<SocketAddr> {
        match self.call(address, JOIN, request, self.config.call_limit).await {
            Ok(JoinReply::AskLeader(leader)) => Some(leader),
            // Unreachable processes are the usual reason to ask several.
            Ok(JoinReply::Noted | JoinReply::NoLeader) | Err(_) => None,
        }
    }

    /// Notes the wish of `request`, where this process leads.
    pub(super) fn handle_join(&self, request: JoinRequest) -> JoinReply {
        self.joining.add_contacts([request.member.address]);
        let state = self.state.borrow();
        if state.is_leader() {
            self.joining.note(request.member, self.now());
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
