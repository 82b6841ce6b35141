//! The first start where nobody lists the voters: the seeds found the log together.
//!
//! Only a folder that was there at the first start takes part. A seed whose disk was lost comes
//! back with a folder that was not, so it can never found a second, empty log beside the first,
//! which would revert every change. It joins instead, like any other process.

use {
    super::{core::ControlCore, message::HelloReply, state::NodeState},
    crate::entry::{Member, MemberRole},
    futures::future::join_all,
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// How long to wait before asking the other seeds again. The first configuration comes within a
/// second of the start, so the founding must not take long.
const SEEDING_PAUSE: Duration = Duration::from_millis(100);

impl ControlCore {
    /// Founds the log where it is this process's part to, and asks to be taken in where it is
    /// not; then keeps asking whenever this process finds itself outside.
    pub(super) async fn run_seeding(self: Rc<Self>) {
        while self.state.borrow().membership().is_none() {
            if let Some(members) = self.founding_members().await {
                self.found(members).await;
                break;
            }
            self.ask_to_join().await;
            let joined = |s: &NodeState| s.membership().map(|_| ());
            self.until_within(SEEDING_PAUSE, joined).await;
        }
        self.run_joining().await;
    }

    /// The first voters, where this process is the one that founds and every other seed is ready.
    ///
    /// The seed of the lowest address founds, and only after every other one has said that it has
    /// no log, was there at the first start and was given the same seeds.
    async fn founding_members(&self) -> Option<Vec<Member>> {
        let settings = self.config.seed_settings()?;
        let is_founder = settings.seeds.iter().min() == Some(&settings.own);
        if !is_founder || !self.may_found {
            return None;
        }
        let mut seeds = settings.seeds.clone();
        seeds.sort_unstable();
        seeds.dedup();
        let replies = join_all(seeds.iter().map(|seed| self.hello_of(*seed))).await;
        let replies: Vec<HelloReply> = replies.into_iter().collect::<Option<_>>()?;
        let is_ready = |reply: &HelloReply| {
            reply.may_found && reply.membership.is_none() && same_set(&reply.seeds, &seeds)
        };
        if !replies.iter().all(is_ready) {
            return None;
        }
        Some(seeds.iter().zip(&replies).map(|(seed, reply)| first_voter(*seed, reply)).collect())
    }

    async fn hello_of(&self, seed: SocketAddr) -> Option<HelloReply> {
        if self.config.seed_settings().is_some_and(|s| s.own == seed) {
            return Some(self.hello(self.me));
        }
        self.ask_hello(seed).await.ok()
    }
}

fn same_set(some: &[SocketAddr], sorted: &[SocketAddr]) -> bool {
    let mut some = some.to_vec();
    some.sort_unstable();
    some.dedup();
    some == sorted
}

fn first_voter(address: SocketAddr, reply: &HelloReply) -> Member {
    Member {
        id: reply.member,
        vm: reply.vm.clone(),
        region: reply.region.clone(),
        address,
        role: MemberRole::Voter,
    }
}
