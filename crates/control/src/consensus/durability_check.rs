//! Detection of a disk that has lost writes it reported as synced.
//!
//! A log that was cut exactly between two records appears intact, and this member would elect a
//! leader that lacks changes which this member had helped to accept. The leader that counted its
//! acknowledgements remembers them, so a member asks the other voters when it starts. There is time
//! for this, since a member votes for no one until an election timeout after its start.
//!
//! The check works only if that leader is still running and reachable. Otherwise the loss goes
//! undetected: the guarantees of the log hold only on disks that honour sync.

use {
    super::core::ControlCore,
    crate::{entry::LogPosition, log::LogRecord},
    futures::future::join_all,
    gullglade_event::{EventDraft, Level},
    std::{net::SocketAddr, rc::Rc},
};

/// The number of times that each voter is asked until it answers. Two calls take an election
/// timeout.
const MAX_ATTEMPTS: usize = 2;

impl ControlCore {
    /// Asks the other voters for the last position that this member has acknowledged to them.
    pub(super) async fn check_acknowledged_position(self: Rc<Self>) {
        join_all(self.other_voters().into_iter().map(|a| self.check_with_voter(a))).await;
    }

    fn other_voters(&self) -> Vec<SocketAddr> {
        let state = self.state.borrow();
        let voters = state.membership().into_iter().flat_map(|m| m.voters());
        voters.filter(|m| m.id != self.me).map(|m| m.address).collect()
    }

    async fn check_with_voter(&self, address: SocketAddr) {
        for _ in 0..MAX_ATTEMPTS {
            let Ok(reply) = self.ask_hello(address).await else { continue };
            if let Some(witnessed) = reply.witnessed {
                self.check_log_end(witnessed).await;
            }
            return;
        }
    }

    /// Marks this member's log as doubtful if it ends before `witnessed`, which it had
    /// acknowledged. An end in a later term is no loss: a later leader has replaced the
    /// acknowledged entries.
    async fn check_log_end(&self, witnessed: LogPosition) {
        let mut store = self.store.lock().await;
        let own = self.state.borrow().log_end();
        if own >= witnessed || self.state.borrow().is_doubtful {
            return;
        }
        let event = EventDraft::new("control.disk.forgot").level(Level::Error);
        let event = event.field("acknowledged", witnessed.index.0).field("found", own.index.0);
        let remedy = "the disk lost synced writes: replace it, and this voter with `gladectl \
                      control replace`";
        self.events.emit(event.field("remedy", remedy));
        // The flag is set even if the disk is full; the segment that is written once there is space
        // again includes it.
        self.state.borrow_mut().is_doubtful = true;
        if self.write(&mut store, &[LogRecord::Doubt(true)]).await.is_err() {
            self.events.emit(EventDraft::new("control.doubt.unwritten").level(Level::Warn));
        }
    }
}
