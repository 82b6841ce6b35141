//! Founding of the log by listed voters, which happens at most once per deployment.

use {
    super::{
        core::ControlCore,
        message::{HELLO, HelloReply, HelloRequest},
    },
    crate::{
        config::InitialVoter,
        entry::{
            Ballot, ClusterId, Command, LogEntry, LogIndex, Member, MemberId, MemberRole,
            Membership, Term,
        },
        log::LogRecord,
    },
    futures::future::join_all,
    gullglade_event::{EventDraft, Level},
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// The interval at which the other initial voters are asked.
const FOUNDING_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The interval at which a process that is not a member logs the remedy.
const REMINDER_INTERVAL: Duration = Duration::from_secs(30);

/// The situation of this process, according to the other initial voters.
enum FoundingView {
    /// All voters have answered, none of them has a log, and this member is to found it.
    Found(Vec<Member>),
    /// A log exists, and this process is a member of it.
    AlreadyMember,
    /// A log exists in which the voter on this VM has another identity: its disk was lost.
    LostDisk,
    /// A log exists in which this process is not a member.
    NotMember,
    /// No log is known. Another member founds it, or some voters have not answered.
    Wait,
}

impl ControlCore {
    pub(super) fn hello(&self, asker: MemberId) -> HelloReply {
        let voters = self.config.voters.iter().map(|v| (v.vm.clone(), v.address)).collect();
        HelloReply {
            member: self.me,
            vm: self.config.vm.clone(),
            region: self.config.region.clone(),
            voters,
            seeds: self.config.seed_settings().map(|s| s.seeds.clone()).unwrap_or_default(),
            may_found: self.may_found,
            membership: self.state.borrow().membership().map(|m| (**m).clone()),
            witnessed: self.state.borrow().witnessed.get(&asker).copied(),
        }
    }

    pub(super) async fn ask_hello(&self, address: SocketAddr) -> Result<HelloReply, String> {
        let request = HelloRequest { member: self.me };
        let reply = self.call(address, HELLO, &request, self.config.call_limit).await;
        reply.map_err(|error| error.to_string())
    }

    /// Founds the log if none exists, or waits until this process is added to it.
    ///
    /// Only the first voter of the list founds the log, and only after every other one has
    /// confirmed that it has no log. Anything less could found a second, empty log after the loss
    /// of a disk, which would revert every change.
    pub(super) async fn run_founding(self: Rc<Self>) {
        while self.state.borrow().membership().is_none() {
            let pause = match self.founding_view().await {
                FoundingView::Found(members) => {
                    self.found(members).await;
                    return;
                }
                FoundingView::AlreadyMember => return,
                FoundingView::Wait => FOUNDING_RETRY_INTERVAL,
                FoundingView::NotMember => {
                    self.emit_reminder("control.member.waiting", Level::Info);
                    REMINDER_INTERVAL
                }
                FoundingView::LostDisk => {
                    self.emit_reminder("control.voter.refused", Level::Error);
                    REMINDER_INTERVAL
                }
            };
            let joined = |s: &super::state::NodeState| s.membership().map(|_| ());
            self.wait_until_timeout(pause, joined).await;
        }
    }

    fn emit_reminder(&self, kind: &'static str, level: Level) {
        let event = EventDraft::new(kind).level(level);
        let remedy = "run `gladectl control replace` to make this member a voter";
        self.events.emit(event.field("remedy", remedy));
    }

    async fn founding_view(&self) -> FoundingView {
        let others = self.config.voters.iter().filter(|v| v.vm != self.config.vm);
        let replies = join_all(others.map(|v| self.ask_hello(v.address))).await;
        let answers: Vec<_> = replies.into_iter().flatten().collect();
        if let Some(membership) = answers.iter().find_map(|r| r.membership.as_ref()) {
            return self.view_of(membership);
        }
        let is_first = self.config.voters.first().is_some_and(|v| v.vm == self.config.vm);
        let own = self.hello(self.me);
        let all_agree = answers.iter().all(|r| r.voters == own.voters);
        if !is_first || answers.len() + 1 < self.config.voters.len() || !all_agree {
            return FoundingView::Wait;
        }
        let replies = std::iter::once(&own).chain(&answers);
        FoundingView::Found(self.config.voters.iter().zip(replies).map(initial_voter).collect())
    }

    fn view_of(&self, membership: &Membership) -> FoundingView {
        if membership.member(self.me).is_some() {
            return FoundingView::AlreadyMember;
        }
        let is_lost = membership.voters().any(|m| m.vm == self.config.vm);
        if is_lost { FoundingView::LostDisk } else { FoundingView::NotMember }
    }

    pub(super) async fn found(&self, members: Vec<Member>) {
        let cluster = ClusterId(self.context.random.next_u64());
        let membership = Membership { cluster, members, replacement: None };
        let ballot = Ballot { term: Term(1), vote: Some(self.me) };
        let entry = LogEntry {
            index: LogIndex(1),
            term: ballot.term,
            wall: self.context.clock.wall(),
            command: Command::Membership(membership),
        };
        let mut store = self.store.lock().await;
        if self.state.borrow().membership().is_some() || self.state.borrow().ballot.term > Term(0) {
            return;
        }
        let records = [LogRecord::Ballot(ballot), LogRecord::Entry(entry.clone())];
        if self.write(&mut store, &records).await.is_err() {
            return;
        }
        let mut state = self.state.borrow_mut();
        state.set_ballot(ballot);
        state.tail.put(entry);
        drop(state);
        self.events.emit(EventDraft::new("control.log.founded"));
        self.signal.notify();
    }
}

fn initial_voter((voter, reply): (&InitialVoter, &HelloReply)) -> Member {
    Member {
        id: reply.member,
        vm: voter.vm.clone(),
        region: reply.region.clone(),
        address: voter.address,
        role: MemberRole::Voter,
    }
}
