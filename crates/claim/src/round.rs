//! Concurrent calls of one protocol step to the replicas of a group.

use {
    crate::{
        ClaimReplica, ReplicaGroup,
        message::{STEP_METHOD, StepCall, StepReply},
    },
    bytes::Bytes,
    futures::{
        StreamExt,
        channel::mpsc::{UnboundedReceiver, unbounded},
    },
    gullglade_peer::PeerTransport,
    gullglade_units::{LocalFuture, ProcessContext, decode, encode},
    std::{cell::RefCell, rc::Rc, time::Duration},
};

/// Replies in the group's order. Replies that arrive after the round's verdict are stored here,
/// too.
pub(crate) type RoundReplies = Rc<RefCell<Vec<Option<StepReply>>>>;

/// Calls the replicas of a group: over the peer transport, or directly if the replica belongs to
/// this process.
#[derive(Clone)]
pub(crate) struct ReplicaCaller {
    pub(crate) context: ProcessContext,
    pub(crate) transport: Rc<dyn PeerTransport>,
    pub(crate) limit: Duration,
}

impl ReplicaCaller {
    /// Sends each member its call, in tasks of their own: a step that has been sent is not
    /// cancelled when the caller disconnects, and late replies are still stored.
    pub(crate) fn start(
        &self,
        group: &ReplicaGroup,
        own: Option<Rc<ClaimReplica>>,
        calls: Vec<Option<StepCall>>,
    ) -> ReplyRound {
        let replies: RoundReplies = Rc::new(RefCell::new(vec![None; group.members.len()]));
        let (sender, arrivals) = unbounded();
        let mut pending = 0;
        for (index, call) in calls.into_iter().enumerate() {
            let Some(call) = call else { continue };
            pending += 1;
            let member = &group.members[index];
            let own = own.clone().filter(|replica| replica.identity.vm == member.vm);
            let reply = self.ask(member.address, own, call);
            let (replies, sender) = (Rc::clone(&replies), sender.clone());
            self.context.spawner.spawn(Box::pin(async move {
                let reply = reply.await;
                replies.borrow_mut()[index] = reply;
                // The receiver may be gone when the round is over; the reply is stored above
                // regardless.
                let _over = sender.unbounded_send(());
            }));
        }
        ReplyRound { replies, arrivals, pending }
    }

    fn ask(
        &self,
        address: std::net::SocketAddr,
        own: Option<Rc<ClaimReplica>>,
        call: StepCall,
    ) -> LocalFuture<'static, Option<StepReply>> {
        if let Some(replica) = own {
            return Box::pin(async move { Some(replica.step(call)) });
        }
        let (transport, limit) = (Rc::clone(&self.transport), self.limit);
        Box::pin(async move {
            let body = Bytes::from(encode(&call));
            let bytes = transport.call(address, STEP_METHOD, body, limit).await.ok()?;
            decode(&bytes).ok()
        })
    }
}

/// A round of calls in progress.
pub(crate) struct ReplyRound {
    pub(crate) replies: RoundReplies,
    arrivals: UnboundedReceiver<()>,
    pending: usize,
}

impl ReplyRound {
    /// Waits until `decide` returns a verdict on the replies. Its second argument is true if no
    /// more replies will arrive; it must decide then, or the wait ends without a verdict.
    pub(crate) async fn verdict<T>(
        &mut self,
        decide: impl Fn(&[Option<StepReply>], bool) -> Option<T>,
    ) -> Option<T> {
        loop {
            let is_last = self.pending == 0;
            let verdict = decide(&self.replies.borrow(), is_last);
            if verdict.is_some() || is_last {
                return verdict;
            }
            self.arrivals.next().await;
            self.pending -= 1;
        }
    }
}
