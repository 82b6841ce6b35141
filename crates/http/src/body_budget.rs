//! Memory for the bodies of requests, shared by all listeners of a process.
//!
//! Decides without I/O which bodies may be held: the sum is bounded, a part of it is kept for small
//! bodies, and an upload that stands still gives way to one that needs its memory.

use {
    crate::BodyError,
    bytes::Bytes,
    gullglade_units::MonotonicTime,
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        rc::Rc,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        task::{Context, Waker},
        time::Duration,
    },
};

/// Bodies up to this size are not counted: the connection limit bounds their sum.
const UNCOUNTED_BYTES: usize = 4 << 10;

/// Bodies up to this size may use the whole budget.
const SMALL_BYTES: usize = 16 << 10;

/// Bodies up to this size may use [`MEDIUM_EIGHTHS`] of the budget, larger ones [`LARGE_EIGHTHS`].
const MEDIUM_BYTES: usize = 256 << 10;

const MEDIUM_EIGHTHS: usize = 7;
const LARGE_EIGHTHS: usize = 6;

/// An upload makes progress when this many bytes have arrived.
const PROGRESS_BYTES: u64 = 16 << 10;

/// An upload without progress for this long may be evicted. Below 16 KiB/s, a body of 4 MiB would
/// take minutes, longer than any caller waits.
const STALL_LIMIT: Duration = Duration::from_secs(1);

/// The memory that the bodies of all requests may use. Clones share it.
#[derive(Clone)]
pub struct BodyBudget {
    state: Rc<BudgetState>,
}

struct BudgetState {
    limit: usize,
    /// Shared with the holders of bodies, which release it when they are dropped.
    held: Arc<AtomicUsize>,
    uploads: RefCell<BTreeMap<u64, Rc<UploadState>>>,
    next_upload: Cell<u64>,
}

struct UploadState {
    /// Time of the last progress.
    progressed: Cell<MonotonicTime>,
    /// Bytes received until then.
    received: Cell<u64>,
    held: Cell<usize>,
    is_evicted: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

/// A body that is being received. Dropping it releases its memory.
pub struct BodyUpload {
    budget: BodyBudget,
    id: u64,
    state: Rc<UploadState>,
}

/// Memory of a whole body, or of a reply that is being collected. Dropping it releases the memory.
pub struct BodyLease {
    held: Arc<AtomicUsize>,
    limit: usize,
    bytes: usize,
}

struct LeasedBody {
    body: Bytes,
    _lease: BodyLease,
}

impl BodyBudget {
    /// A budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        let state = BudgetState {
            limit,
            held: Arc::default(),
            uploads: RefCell::default(),
            next_upload: Cell::new(0),
        };
        Self { state: Rc::new(state) }
    }

    /// Returns the size of the budget, bytes.
    pub fn limit(&self) -> usize {
        self.state.limit
    }

    /// Returns the bytes in use.
    pub fn held(&self) -> usize {
        self.state.held.load(Ordering::Relaxed)
    }

    /// Begins to receive a body at `now`.
    pub fn begin_upload(&self, now: MonotonicTime) -> BodyUpload {
        let state = Rc::new(UploadState {
            progressed: Cell::new(now),
            received: Cell::new(0),
            held: Cell::new(0),
            is_evicted: Cell::new(false),
            waker: RefCell::default(),
        });
        let id = self.state.next_upload.get();
        self.state.next_upload.set(id + 1);
        self.state.uploads.borrow_mut().insert(id, Rc::clone(&state));
        BodyUpload { budget: self.clone(), id, state }
    }

    /// Returns a lease of no memory yet.
    pub fn lease(&self) -> BodyLease {
        BodyLease { held: Arc::clone(&self.state.held), limit: self.state.limit, bytes: 0 }
    }

    fn fits(&self, size: usize, added: usize) -> bool {
        fits(self.state.limit, self.held(), size, added)
    }

    /// Evicts the upload that has stood still for the longest time. Returns false if there is none.
    fn evict_stalled(&self, needed_by: u64, now: MonotonicTime) -> bool {
        let uploads = self.state.uploads.borrow();
        let stalled = uploads.iter().filter(|(id, upload)| {
            **id != needed_by
                && upload.held.get() > 0
                && now.since(upload.progressed.get()) >= STALL_LIMIT
        });
        let Some((_, upload)) = stalled.min_by_key(|(_, upload)| upload.progressed.get()) else {
            return false;
        };
        upload.is_evicted.set(true);
        self.release(upload.held.take());
        if let Some(waker) = upload.waker.take() {
            waker.wake();
        }
        true
    }

    fn release(&self, bytes: usize) {
        self.state.held.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// Returns whether a body of `size` bytes may hold `added` more than it does, where all bodies hold
/// `held` of `limit`.
fn fits(limit: usize, held: usize, size: usize, added: usize) -> bool {
    let eighths = match size {
        size if size <= SMALL_BYTES => 8,
        size if size <= MEDIUM_BYTES => MEDIUM_EIGHTHS,
        _ => LARGE_EIGHTHS,
    };
    held.saturating_add(added) <= limit / 8 * eighths
}

impl BodyLease {
    /// Reserves memory for `size` bytes in all.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::NoMemory`] if the budget has no room for it.
    pub fn grow_to(&mut self, size: usize) -> Result<(), BodyError> {
        if size <= self.bytes.max(UNCOUNTED_BYTES) {
            return Ok(());
        }
        let added = size - self.bytes;
        if !fits(self.limit, self.held.load(Ordering::Relaxed), size, added) {
            return Err(BodyError::NoMemory);
        }
        self.held.fetch_add(added, Ordering::Relaxed);
        self.bytes = size;
        Ok(())
    }

    /// Holds the memory until the last reference to `body` is dropped.
    pub fn attach(self, body: Bytes) -> Bytes {
        match self.bytes {
            0 => body,
            _ => Bytes::from_owner(LeasedBody { body, _lease: self }),
        }
    }
}

impl BodyUpload {
    /// Reserves memory for a body of `size` bytes in all.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::NoMemory`] if the budget has no room for it, and if the upload was
    /// evicted.
    pub fn reserve(&self, size: usize, now: MonotonicTime) -> Result<(), BodyError> {
        let held = self.state.held.get();
        if size <= held.max(UNCOUNTED_BYTES) {
            return Ok(());
        }
        if self.state.is_evicted.get() {
            return Err(BodyError::NoMemory);
        }
        let added = size - held;
        while !self.budget.fits(size, added) {
            if !self.budget.evict_stalled(self.id, now) {
                return Err(BodyError::NoMemory);
            }
        }
        self.state.held.set(size);
        self.budget.state.held.fetch_add(added, Ordering::Relaxed);
        Ok(())
    }

    /// Returns the bytes reserved.
    pub fn held(&self) -> usize {
        self.state.held.get()
    }

    /// Notes that `total` bytes have been received.
    pub fn note_received(&self, total: u64, now: MonotonicTime) {
        if total >= self.state.received.get() + PROGRESS_BYTES {
            self.state.received.set(total);
            self.state.progressed.set(now);
        }
    }

    /// Returns whether the upload was evicted. If not, the task of `context` is woken when it is.
    pub(crate) fn poll_evicted(&self, context: &Context<'_>) -> bool {
        if !self.state.is_evicted.get() {
            self.state.waker.replace(Some(context.waker().clone()));
        }
        self.state.is_evicted.get()
    }

    /// Ends the upload of a whole body, whose memory is held until its last reference is dropped.
    pub fn finish(self, body: Bytes) -> Bytes {
        let mut lease = self.budget.lease();
        lease.bytes = self.state.held.take();
        lease.attach(body)
    }
}

impl Drop for BodyUpload {
    fn drop(&mut self) {
        self.budget.release(self.state.held.take());
        self.budget.state.uploads.borrow_mut().remove(&self.id);
    }
}

impl Drop for BodyLease {
    fn drop(&mut self) {
        self.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl AsRef<[u8]> for LeasedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
