//! The open connections of a listener, and which of them gives way when there are too many.
//!
//! Connections that do nothing cost as much as those that work. At the limit, the one that has made
//! no progress for the longest time is closed in favour of a new one; requests that are being served
//! are never given up for it.

use {
    super::stop::OnceSignal,
    gullglade_units::MonotonicTime,
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap},
        net::IpAddr,
        rc::Rc,
        time::Duration,
    },
};

/// A caller that has not read its reply for this long may give way to another one.
const UNREAD_LIMIT: Duration = Duration::from_secs(2);

/// A body that has not made progress for this long may give way to another connection.
const STALL_LIMIT: Duration = Duration::from_secs(1);

/// A connection that has served a request is likely to bring the next one until this long after it.
const KEEP_LIMIT: Duration = Duration::from_secs(1);

/// Connections that are evicted at once, so that a flood of new ones does not search for each.
const EVICTION_BATCH: usize = 32;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionStage {
    /// Waits for a request, or for the rest of its head.
    Waiting,
    /// Receives the body of a request.
    Receiving,
    /// A request is being served.
    Serving,
    /// The caller does not read its reply.
    Unread,
    /// Nothing more is served; the connection is about to be closed.
    Closing,
}

/// State of one connection, which the connection itself keeps current.
pub(crate) struct ConnectionStatus {
    stage: Cell<ConnectionStage>,
    /// Time of the last progress.
    since: Cell<MonotonicTime>,
    has_served: Cell<bool>,
    /// True if the request in progress has sent more than fits into a turn.
    is_bulk: Cell<bool>,
    pub(crate) eviction: OnceSignal,
}

/// The open connections of a listener.
pub(crate) struct ConnectionTable {
    total: usize,
    per_address: usize,
    connections: RefCell<OpenConnections>,
}

#[derive(Default)]
struct OpenConnections {
    by_id: BTreeMap<u64, OpenConnection>,
    by_address: HashMap<IpAddr, usize>,
    next_id: u64,
}

struct OpenConnection {
    address: IpAddr,
    status: Rc<ConnectionStatus>,
}

/// Which limit a connection was refused by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LimitReached {
    Total,
    PerAddress,
}

/// One counted connection; uncounted on drop.
pub(crate) struct ConnectionSlot {
    table: Rc<ConnectionTable>,
    id: u64,
    pub(crate) status: Rc<ConnectionStatus>,
}

impl ConnectionStatus {
    pub(crate) fn new(now: MonotonicTime) -> Rc<Self> {
        Rc::new(Self {
            stage: Cell::new(ConnectionStage::Waiting),
            since: Cell::new(now),
            has_served: Cell::new(false),
            is_bulk: Cell::new(false),
            eviction: OnceSignal::new(),
        })
    }

    pub(crate) fn stage(&self) -> ConnectionStage {
        self.stage.get()
    }

    /// Notes progress: the connection is at `stage` since `now`.
    pub(crate) fn enter(&self, stage: ConnectionStage, now: MonotonicTime) {
        self.stage.set(stage);
        self.since.set(now);
    }

    pub(crate) fn set_bulk(&self, is_bulk: bool) {
        self.is_bulk.set(is_bulk);
    }

    pub(crate) fn is_bulk(&self) -> bool {
        self.is_bulk.get()
    }

    /// Notes that a request was served.
    pub(crate) fn note_served(&self, now: MonotonicTime) {
        self.has_served.set(true);
        self.enter(ConnectionStage::Waiting, now);
    }

    /// The order in which connections give way, the first one first; `None` for one that does not.
    fn rank(&self, now: MonotonicTime) -> Option<(u8, MonotonicTime)> {
        let idle = now.since(self.since.get());
        let class = match (self.stage.get(), self.has_served.get()) {
            (ConnectionStage::Closing, _) | (ConnectionStage::Waiting, false) => 0,
            (ConnectionStage::Receiving, _) if idle >= STALL_LIMIT => 0,
            (ConnectionStage::Waiting, true) if idle >= KEEP_LIMIT => 1,
            (ConnectionStage::Unread, _) if idle >= UNREAD_LIMIT => 2,
            _ => return None,
        };
        Some((class, self.since.get()))
    }
}

impl ConnectionTable {
    pub(crate) fn new(total: usize, per_address: usize) -> Rc<Self> {
        Rc::new(Self { total, per_address, connections: RefCell::default() })
    }

    /// Counts a connection from `address`. At a limit, another one is evicted for it.
    pub(crate) fn take(
        self: &Rc<Self>,
        address: IpAddr,
        now: MonotonicTime,
    ) -> Result<ConnectionSlot, LimitReached> {
        let mut connections = self.connections.borrow_mut();
        let of_address = connections.by_address.get(&address).copied().unwrap_or(0);
        if of_address >= self.per_address && !connections.evict(Some(address), now) {
            return Err(LimitReached::PerAddress);
        }
        if connections.by_id.len() >= self.total && !connections.evict(None, now) {
            return Err(LimitReached::Total);
        }
        let status = ConnectionStatus::new(now);
        let id = connections.add(address, Rc::clone(&status));
        Ok(ConnectionSlot { table: Rc::clone(self), id, status })
    }
}

impl OpenConnections {
    fn add(&mut self, address: IpAddr, status: Rc<ConnectionStatus>) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.by_id.insert(id, OpenConnection { address, status });
        *self.by_address.entry(address).or_default() += 1;
        id
    }

    fn remove(&mut self, id: u64) {
        let Some(connection) = self.by_id.remove(&id) else { return };
        let remaining = self.by_address.get(&connection.address).map_or(0, |count| count - 1);
        match remaining {
            0 => self.by_address.remove(&connection.address),
            _ => self.by_address.insert(connection.address, remaining),
        };
    }

    /// Evicts the connection that gives way first, of `address` if there is one, and some of the
    /// next ones if they have never served a request. Returns false if none gives way.
    fn evict(&mut self, address: Option<IpAddr>, now: MonotonicTime) -> bool {
        let ranked = self.by_id.iter().filter_map(|(id, connection)| {
            let is_eligible = address.is_none_or(|address| connection.address == address);
            let rank = connection.status.rank(now).filter(|_| is_eligible)?;
            Some((rank, *id))
        });
        let mut ranked: Vec<_> = ranked.collect();
        if ranked.len() > EVICTION_BATCH {
            ranked.select_nth_unstable(EVICTION_BATCH);
            ranked.truncate(EVICTION_BATCH);
        }
        ranked.sort_unstable();
        let unserved = ranked.iter().take_while(|((class, _), _)| *class == 0).count();
        ranked.truncate(unserved.max(1));
        for (_, id) in &ranked {
            if let Some(connection) = self.by_id.get(id) {
                connection.status.eviction.give();
            }
            self.remove(*id);
        }
        !ranked.is_empty()
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.table.connections.borrow_mut().remove(self.id);
    }
}
