//! What a test puts in place of parts of the bed: its own backend servers, network and gateways.

use {
    gullglade_http::HttpClient,
    gullglade_peer::fake::{FakeLink, FakePolicy},
    gullglade_proxy::Dispatcher,
    gullglade_units::{Clock, LocalFuture, MonotonicTime, ProcessContext, WallMillis},
    std::{cell::Cell, ops::Range, rc::Rc, time::Duration},
};

/// Makes what a gateway reaches its backend servers with; gateways are counted as they are added.
pub(crate) type ClientMaker = Rc<dyn Fn(usize, &ProcessContext) -> Rc<dyn HttpClient>>;

/// A test's own parts of a bed.
pub(crate) struct OwnParts {
    pub(crate) seed: u64,
    /// Decides for each message between processes, in place of the bed's link.
    pub(crate) policy: Option<Rc<dyn FakePolicy>>,
    pub(crate) clients: Option<ClientMaker>,
    /// The gateways of both regions, where there are more than the bed has by itself: the first
    /// one is in the first region, the next one in the second, and so on.
    pub(crate) gateways: usize,
    pub(crate) max_attempts: u32,
    /// Where a second route begins, of idempotent requests.
    pub(crate) plain_prefix: Option<&'static str>,
    /// Whether time passes while a gateway works, as on a real machine.
    pub(crate) has_running_clock: bool,
}

impl Default for OwnParts {
    fn default() -> Self {
        Self {
            seed: 1,
            policy: None,
            clients: None,
            gateways: 0,
            max_attempts: 2,
            plain_prefix: None,
            has_running_clock: false,
        }
    }
}

/// A clock that moves on a microsecond with each look.
struct LookedClock {
    inner: Rc<dyn Clock>,
    looks: Cell<u64>,
}

impl Clock for LookedClock {
    fn now(&self) -> MonotonicTime {
        self.looks.set(self.looks.get() + 1);
        self.inner.now() + Duration::from_micros(self.looks.get())
    }

    fn wall(&self) -> WallMillis {
        self.inner.wall()
    }

    fn sleep(&self, duration: Duration) -> LocalFuture<'static, ()> {
        self.inner.sleep(duration)
    }
}

impl OwnParts {
    /// What a gateway runs on.
    pub(super) fn context(&self, context: &ProcessContext) -> ProcessContext {
        let mut context = context.clone();
        if self.has_running_clock {
            let inner = Rc::clone(&context.clock);
            context.clock = Rc::new(LookedClock { inner, looks: Cell::default() });
        }
        context
    }

    pub(super) fn policy(&self, link: &Rc<FakeLink>) -> Rc<dyn FakePolicy> {
        self.policy.clone().unwrap_or_else(|| Rc::clone(link) as _)
    }

    /// The hosts of the gateways that are still to be added to `present` ones.
    pub(super) fn more_hosts(&self, present: usize) -> Range<u8> {
        let host = |index: usize| u8::try_from(index + 2).expect("few gateways");
        host(present)..host(self.gateways.max(present))
    }

    pub(super) fn is_west(host: u8) -> bool {
        host.is_multiple_of(2)
    }

    pub(super) fn client(&self, host: u8, context: &ProcessContext) -> Option<Rc<dyn HttpClient>> {
        self.clients.as_ref().map(|make| make(usize::from(host) - 2, context))
    }

    /// Tells a gateway how many share common limits with it.
    pub(super) fn tell_total(&self, dispatcher: &Rc<Dispatcher>) {
        if self.gateways > 0 {
            dispatcher
                .update_scheduler(|scheduler, now| scheduler.set_gateway_total(self.gateways, now));
        }
    }
}
