//! Notices a disk that has lost what it reported as synced.
//!
//! A log that a lying disk cut at the border of two records looks whole, and this member would
//! elect a leader who lacks changes that it had itself helped to accept. The leader that counted
//! its acknowledgements remembers them, so a member that starts asks the other voters first. It
//! has the time: it votes for nobody until an election timeout after its start.
//!
//! This helps where that leader still runs and can be reached. Where it does not, the lie goes
//! unnoticed; the log's promises are kept only by disks that keep theirs.

use {
    super::core::ControlCore,
    crate::{entry::LogPosition, log::LogRecord},
    futures::future::join_all,
    gullglade_event::{EventDraft, Level},
    std::{net::SocketAddr, rc::Rc},
};

/// How often each voter is asked, where it does not answer. Two calls take an election timeout.
const ROUNDS: usize = 2;

impl ControlCore {
    /// Asks the other voters what this member has acknowledged to them.
    pub(super) async fn ask_witnesses(self: Rc<Self>) {
        join_all(self.other_voters().into_iter().map(|a| self.ask_witness(a))).await;
    }

    fn other_voters(&self) -> Vec<SocketAddr> {
        let state = self.state.borrow();
        let voters = state.membership().into_iter().flat_map(|m| m.voters());
        voters.filter(|m| m.id != self.me).map(|m| m.address).collect()
    }

    async fn ask_witness(&self, address: SocketAddr) {
        for _ in 0..ROUNDS {
            let Ok(reply) = self.ask_hello(address).await else { continue };
            if let Some(witnessed) = reply.witnessed {
                self.compare_with(witnessed).await;
            }
            return;
        }
    }

    /// Doubts this member's log where it ends before what it has acknowledged. An end of a later
    /// term is no loss: a later leader has replaced what was acknowledged.
    async fn compare_with(&self, witnessed: LogPosition) {
        let mut store = self.store.lock().await;
        let own = self.state.borrow().end();
        if own >= witnessed || self.state.borrow().is_doubtful {
            return;
        }
        let event = EventDraft::new("control.disk.forgot").level(Level::Error);
        let event = event.field("acknowledged", witnessed.index.0).field("found", own.index.0);
        let remedy = "the disk lost synced writes: replace it, and this voter with `gladectl \
                      control replace`";
        self.events.emit(event.field("remedy", remedy));
        // In memory also where the disk is full: what is written once it has space says so too.
        self.state.borrow_mut().is_doubtful = true;
        if self.write(&mut store, &[LogRecord::Doubt(true)]).await.is_err() {
            self.events.emit(EventDraft::new("control.doubt.unwritten").level(Level::Warn));
        }
    }
}
