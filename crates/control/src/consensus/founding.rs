//! The first start: how a log comes to be, once and never again.

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

/// How long to wait before asking the other first voters again.
const FOUNDING_PAUSE: Duration = Duration::from_millis(500);

/// How long to wait before saying again that this member has no part in the log.
const REMINDER_PAUSE: Duration = Duration::from_secs(30);

/// What the other first voters say.
enum FoundingView {
    /// All have answered, none has a log, and this member is the one to found it.
    Found(Vec<Member>),
    /// There is a log, and this member is one of those who keep it.
    Belong,
    /// There is a log, and the voter of this VM in it is another one.
    LostDisk,
    /// There is a log without this member.
    Outside,
    /// Nobody has a log yet; another member founds it, or some have not answered.
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

    /// Finds this member's place: founds the log where there is none, or waits to be taken in.
    ///
    /// The log is founded by the first voter of the list, and only after every other one has said
    /// that it has no log. Anything less could found a second, empty log beside the first after a
    /// disk was lost, and revert every change.
    pub(super) async fn run_founding(self: Rc<Self>) {
        while self.state.borrow().membership().is_none() {
            let pause = match self.view_founding().await {
                FoundingView::Found(members) => {
                    self.found(members).await;
                    return;
                }
                FoundingView::Belong => return,
                FoundingView::Wait => FOUNDING_PAUSE,
                FoundingView::Outside => {
                    self.remind("control.member.waiting", Level::Info);
                    REMINDER_PAUSE
                }
                FoundingView::LostDisk => {
                    self.remind("control.voter.refused", Level::Error);
                    REMINDER_PAUSE
                }
            };
            let joined = |s: &super::state::NodeState| s.membership().map(|_| ());
            self.until_within(pause, joined).await;
        }
    }

    fn remind(&self, kind: &'static str, level: Level) {
        let event = EventDraft::new(kind).level(level);
        let remedy = "run `gladectl control replace` to make this member a voter";
        self.events.emit(event.field("remedy", remedy));
    }

    async fn view_founding(&self) -> FoundingView {
        let others = self.config.voters.iter().filter(|v| v.vm != self.config.vm);
        let replies = join_all(others.map(|v| self.ask_hello(v.address))).await;
        let known: Vec<_> = replies.into_iter().flatten().collect();
        if let Some(membership) = known.iter().find_map(|r| r.membership.as_ref()) {
            return self.place_in(membership);
        }
        let is_first = self.config.voters.first().is_some_and(|v| v.vm == self.config.vm);
        let own = self.hello(self.me);
        let all_agree = known.iter().all(|r| r.voters == own.voters);
        if !is_first || known.len() + 1 < self.config.voters.len() || !all_agree {
            return FoundingView::Wait;
        }
        let replies = std::iter::once(&own).chain(&known);
        FoundingView::Found(self.config.voters.iter().zip(replies).map(first_member).collect())
    }

    fn place_in(&self, membership: &Membership) -> FoundingView {
        if membership.member(self.me).is_some() {
            return FoundingView::Belong;
        }
        let is_lost = membership.voters().any(|m| m.vm == self.config.vm);
        if is_lost { FoundingView::LostDisk } else { FoundingView::Outside }
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
        state.tail.place(entry);
        drop(state);
        self.events.emit(EventDraft::new("control.log.founded"));
        self.signal.notify();
    }
}

fn first_member((voter, reply): (&InitialVoter, &HelloReply)) -> Member {
    Member {
        id: reply.member,
        vm: voter.vm.clone(),
        region: reply.region.clone(),
        address: voter.address,
        role: MemberRole::Voter,
    }
}
