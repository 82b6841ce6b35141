//! Serves configuration to other processes.

use {
    super::{
        message::{
            ControlEndpoints, FETCH, FetchReply, FetchRequest, REPORT, ReplicaReport, STATUS,
        },
        pack::pack,
        reports::ReportTable,
    },
    crate::{
        entry::{ClusterId, LogIndex},
        groups::GroupRecord,
        signal::WakeSignal,
        state::ServiceRecord,
    },
    bytes::Bytes,
    futures::future::poll_fn,
    gullglade_peer::{PeerFault, PeerHandler, PeerIdentity},
    gullglade_units::{Clock, LocalFuture, MonotonicTime, decode, encode, timeout},
    std::{rc::Rc, task::Poll, time::Duration},
};

/// The size of one page in bytes. A first configuration of 18 MB takes 70 pages.
const PAGE_BYTES: usize = 256 << 10;

/// The maximum number of pages that can be requested concurrently. With a window of 64 KiB per
/// stream, they transfer 1 MiB in a round trip.
const MAX_MARKS: usize = 16;

/// The maximum time for which a reply is held until there are updates.
const MAX_HOLD: Duration = Duration::from_secs(10);

/// The age up to which a process counts as recently confirmed by control. A process with an older
/// state answers at once, so that the requester can turn to another one.
pub(super) const FRESH_AGE: Duration = Duration::from_secs(6);

/// A summary of the configuration that a process holds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FeedSummary {
    pub(crate) cluster: ClusterId,
    pub(crate) applied: LogIndex,
    /// A time at which the configuration included every accepted change.
    pub(crate) confirmed: Option<MonotonicTime>,
}

/// The services changed after a cursor.
pub(crate) struct FeedPage {
    pub(crate) records: Vec<ServiceRecord>,
    pub(crate) cursor: LogIndex,
    pub(crate) complete_at: Option<LogIndex>,
    pub(crate) marks: Vec<LogIndex>,
}

/// The requested range of changes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FeedRange {
    pub(crate) cursor: LogIndex,
    pub(crate) until: Option<LogIndex>,
}

/// A process that serves configuration: a control process from its log, or a gateway from its
/// replica.
pub(crate) trait ConfigFeed {
    /// Returns a summary of the configuration, or `None` if the process has none.
    fn summary(&self) -> Option<FeedSummary>;

    /// Returns the first services changed in `range`, up to `limit` bytes.
    fn page(&self, range: FeedRange, limit: usize) -> FeedPage;

    /// Returns the claim groups changed after `after`, up to `end`, which are sent with the page
    /// that ends there. If all groups were sent with the last page, a transfer that another process
    /// continues after a group's index would miss that group.
    fn groups(&self, after: LogIndex, end: LogIndex) -> Vec<GroupRecord>;

    /// Returns the known endpoints of the control processes.
    fn control_endpoints(&self) -> ControlEndpoints;

    /// Returns the signal that is notified whenever the configuration changes.
    fn signal(&self) -> &WakeSignal;

    /// Returns the reports of the requesters on their configuration.
    fn reports(&self) -> &ReportTable;

    fn clock(&self) -> &dyn Clock;
}

/// Returns those of `groups` that were changed after `after`, up to `end`.
pub(crate) fn groups_between<'a>(
    groups: impl Iterator<Item = &'a GroupRecord>,
    after: LogIndex,
    end: LogIndex,
) -> Vec<GroupRecord> {
    groups.filter(|group| group.index > after && group.index <= end).cloned().collect()
}

/// Builds a page from the first of `records` (those changed after the cursor of `range`, ordered by
/// their last change): at least one record, up to `limit` bytes. `complete_at` is the index that
/// the requester reaches with all of them.
pub(crate) fn build_page<'a>(
    records: impl Iterator<Item = &'a ServiceRecord>,
    range: FeedRange,
    limit: usize,
    complete_at: Option<LogIndex>,
) -> FeedPage {
    let until = range.until.unwrap_or(LogIndex(u64::MAX));
    let mut records = records.take_while(|r| r.change.index <= until).peekable();
    let mut page = FeedPage {
        records: Vec::new(),
        cursor: range.cursor,
        complete_at: None,
        marks: Vec::new(),
    };
    let mut bytes = 0;
    while let Some(record) = records.next_if(|r| bytes == 0 || bytes + r.size_hint() <= limit) {
        bytes += record.size_hint();
        page.cursor = record.change.index;
        page.records.push(record.clone());
    }
    if records.peek().is_some() {
        page.marks = page_marks(records, limit);
    } else if let Some(until) = range.until {
        page.cursor = until;
    } else {
        page.complete_at = complete_at;
        page.cursor = page.cursor.max(complete_at.unwrap_or_default());
    }
    page
}

/// Returns the indexes at which the next pages of `limit` bytes end.
fn page_marks<'a>(records: impl Iterator<Item = &'a ServiceRecord>, limit: usize) -> Vec<LogIndex> {
    let mut marks = Vec::new();
    let (mut bytes, mut last) = (0, None);
    for record in records {
        if bytes > 0 && bytes + record.size_hint() > limit {
            marks.extend(last);
            bytes = 0;
            if marks.len() == MAX_MARKS {
                return marks;
            }
        }
        bytes += record.size_hint();
        last = Some(record.change.index);
    }
    marks
}

/// Handles the peer methods `config.*`.
pub(crate) struct ConfigHandler(pub(crate) Rc<dyn ConfigFeed>);

impl ConfigHandler {
    async fn answer(&self, method: &str, body: &[u8]) -> Result<Bytes, PeerFault> {
        match method {
            FETCH => {
                let request = decode(body).map_err(PeerFault::malformed)?;
                let reply = self.fetch(request).await?;
                Ok(pack(&reply))
            }
            REPORT => {
                let reports: Vec<ReplicaReport> = decode(body).map_err(PeerFault::malformed)?;
                self.record(reports);
                Ok(Bytes::new())
            }
            STATUS => Ok(Bytes::from(encode(&self.0.reports().rows(self.0.clock().now())))),
            other => Err(PeerFault::unknown_method(other)),
        }
    }

    fn record(&self, reports: Vec<ReplicaReport>) {
        let now = self.0.clock().now();
        if self.0.reports().record(reports, now) {
            self.0.signal().notify();
        }
    }

    async fn fetch(&self, request: FetchRequest) -> Result<FetchReply, PeerFault> {
        self.record(vec![request.report.clone()]);
        let began = self.0.clock().now();
        self.wait_for_updates(&request).await;
        let summary = self.0.summary().ok_or_else(no_configuration)?;
        if request.cluster.is_some_and(|cluster| cluster != summary.cluster) {
            return Err(PeerFault::refused(format_args!(
                "this process follows log {}; restart the requesting process if the log was \
                 founded anew on purpose",
                summary.cluster
            )));
        }
        let now = self.0.clock().now();
        let range = FeedRange { cursor: request.cursor, until: request.until };
        let page = self.0.page(range, PAGE_BYTES);
        let groups = self.0.groups(request.cursor, page.cursor);
        let endpoints = self.0.control_endpoints();
        Ok(FetchReply {
            cluster: summary.cluster,
            records: page.records,
            groups,
            cursor: page.cursor,
            complete_at: page.complete_at,
            marks: page.marks,
            age: summary.confirmed.map(|time| now.since(time)),
            held: now.since(began),
            places: (endpoints.index > request.places_index).then_some(endpoints),
        })
    }

    async fn wait_for_updates(&self, request: &FetchRequest) {
        let hold = request.hold.min(MAX_HOLD);
        let updates = poll_fn(|cx| {
            if !self.is_up_to_date(request) {
                return Poll::Ready(());
            }
            self.0.signal().register(cx.waker());
            Poll::Pending
        });
        timeout(self.0.clock(), hold, updates).await;
    }

    /// Returns whether there is nothing to send: the requester has the configuration of this
    /// process, which was confirmed recently.
    fn is_up_to_date(&self, request: &FetchRequest) -> bool {
        let Some(summary) = self.0.summary() else { return false };
        if request.until.is_some() {
            return false;
        }
        let now = self.0.clock().now();
        let is_fresh = summary.confirmed.is_some_and(|time| now.since(time) <= FRESH_AGE);
        request.cluster == Some(summary.cluster)
            && request.cursor == summary.applied
            && request.places_index >= self.0.control_endpoints().index
            && is_fresh
    }
}

fn no_configuration() -> PeerFault {
    PeerFault::unavailable("this process has no configuration yet; ask another one")
}

impl PeerHandler for ConfigHandler {
    fn call<'a>(
        &'a self,
        _from: &'a PeerIdentity,
        method: &'a str,
        body: Bytes,
    ) -> LocalFuture<'a, Result<Bytes, PeerFault>> {
        Box::pin(async move { self.answer(method, &body).await })
    }
}
