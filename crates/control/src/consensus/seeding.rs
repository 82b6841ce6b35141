//! Founding of the log by seeds, used when no voter list is configured.
//!
//! Only processes whose folder was created at the first start of the deployment take part. A seed
//! that has lost its disk comes back with a newer folder, so it can never found a second, empty
//! log, which would revert every change. It joins the existing log like any other process.

use {
    super::{core::ControlCore, message::HelloReply, state::NodeState},
    crate::entry::{Member, MemberRole},
    futures::future::join_all,
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// The interval at which the other seeds are asked. The founding must be short, since the first
/// configuration arrives within a second of the start.
const SEEDING_RETRY_INTERVAL: Duration = Duration::from_millis(100);

impl ControlCore {
    /// Founds the log if this process is to do so, or else asks to join it. Afterwards asks to join
    /// whenever this process is not part of the log.
    pub(super) async fn run_seeding(self: Rc<Self>) {
        while self.state.borrow().membership().is_none() {
            if let Some(members) = self.founding_members().await {
                self.found(members).await;
                break;
            }
            self.ask_to_join().await;
            let joined = |s: &NodeState| s.membership().map(|_| ());
            self.wait_until_timeout(SEEDING_RETRY_INTERVAL, joined).await;
        }
        self.run_joining().await;
    }

    /// Returns the initial voters, if this process is the founder and every seed is ready.
    ///
    /// The seed with the lowest address is the founder. It founds the log only after every other
    /// seed has confirmed that it has no log, that its folder was created at the first start, and
    /// that it has the same seeds.
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
            reply.may_found && reply.membership.is_none() && is_same_set(&reply.seeds, &seeds)
        };
        if !replies.iter().all(is_ready) {
            return None;
        }
        Some(seeds.iter().zip(&replies).map(|(seed, reply)| initial_voter(*seed, reply)).collect())
    }

    async fn hello_of(&self, seed: SocketAddr) -> Option<HelloReply> {
        if self.config.seed_settings().is_some_and(|s| s.own == seed) {
            return Some(self.hello(self.me));
        }
        self.ask_hello(seed).await.ok()
    }
}

fn is_same_set(seeds: &[SocketAddr], sorted: &[SocketAddr]) -> bool {
    let mut seeds = seeds.to_vec();
    seeds.sort_unstable();
    seeds.dedup();
    seeds == sorted
}

fn initial_voter(address: SocketAddr, reply: &HelloReply) -> Member {
    Member {
        id: reply.member,
        vm: reply.vm.clone(),
        region: reply.region.clone(),
        address,
        role: MemberRole::Voter,
    }
}
