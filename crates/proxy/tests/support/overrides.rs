//! Parts of the test bed that a test replaces: backend servers, network and gateways.

use {
    gullglade_http::HttpClient,
    gullglade_peer::fake::{FakeLink, FakePolicy},
    gullglade_proxy::Dispatcher,
    gullglade_units::{Clock, LocalFuture, MonotonicTime, ProcessContext, VmName, WallMillis},
    std::{cell::Cell, ops::Range, rc::Rc, time::Duration},
};

/// Creates the backend client of a gateway, given the gateway's index in the order of creation.
pub(crate) type ClientFactory = Rc<dyn Fn(usize, &ProcessContext) -> Rc<dyn HttpClient>>;

/// Replaced parts of a test bed.
pub(crate) struct Overrides {
    pub(crate) seed: u64,
    /// Delivery policy for messages between processes, instead of the link of the test bed.
    pub(crate) policy: Option<Rc<dyn FakePolicy>>,
    pub(crate) clients: Option<ClientFactory>,
    /// Total number of gateways, if more than the test bed has by default; they belong to the first
    /// and second region alternately.
    pub(crate) gateways: usize,
    pub(crate) max_attempts: u32,
    /// Path prefix of a second route with idempotent requests.
    pub(crate) plain_prefix: Option<&'static str>,
    /// True if the clock advances while a gateway works, as on a real machine.
    pub(crate) has_advancing_clock: bool,
    /// True if each gateway knows the other ones of its region. Needs a number of `gateways`.
    pub(crate) lists_neighbours: bool,
}

impl Default for Overrides {
    fn default() -> Self {
        Self {
            seed: 1,
            policy: None,
            clients: None,
            gateways: 0,
            max_attempts: 2,
            plain_prefix: None,
            has_advancing_clock: false,
            lists_neighbours: false,
        }
    }
}

/// A clock that advances by a microsecond with each read.
struct AdvancingClock {
    inner: Rc<dyn Clock>,
    reads: Cell<u64>,
}

impl Clock for AdvancingClock {
    fn now(&self) -> MonotonicTime {
        self.reads.set(self.reads.get() + 1);
        self.inner.now() + Duration::from_micros(self.reads.get())
    }

    fn wall(&self) -> WallMillis {
        self.inner.wall()
    }

    fn sleep(&self, duration: Duration) -> LocalFuture<'static, ()> {
        self.inner.sleep(duration)
    }
}

/// Returns the name of the VM that is `host`.
pub(super) fn vm_name(host: u8) -> VmName {
    VmName::try_from(format!("vm-{host}")).expect("a name")
}

impl Overrides {
    /// Returns the process context of a gateway.
    pub(super) fn context(&self, context: &ProcessContext) -> ProcessContext {
        let mut context = context.clone();
        if self.has_advancing_clock {
            let inner = Rc::clone(&context.clock);
            context.clock = Rc::new(AdvancingClock { inner, reads: Cell::default() });
        }
        context
    }

    pub(super) fn policy(&self, link: &Rc<FakeLink>) -> Rc<dyn FakePolicy> {
        self.policy.clone().unwrap_or_else(|| Rc::clone(link) as _)
    }

    /// Returns the hosts of the gateways to be added to the `present` ones.
    pub(super) fn additional_hosts(&self, present: usize) -> Range<u8> {
        let host = |index: usize| u8::try_from(index + 2).expect("few gateways");
        host(present)..host(self.gateways.max(present))
    }

    pub(super) fn is_west(host: u8) -> bool {
        host.is_multiple_of(2)
    }

    pub(super) fn client(&self, host: u8, context: &ProcessContext) -> Option<Rc<dyn HttpClient>> {
        self.clients.as_ref().map(|make| make(usize::from(host) - 2, context))
    }

    /// Sets the gateways that share common limits: their total number, and those of the region of
    /// `host`.
    pub(super) fn announce_gateways(&self, dispatcher: &Rc<Dispatcher>, host: u8) {
        if self.gateways == 0 {
            return;
        }
        dispatcher.update_scheduler(|scheduler, now| {
            scheduler.set_gateway_total(self.gateways, now);
            if self.lists_neighbours {
                let hosts =
                    self.additional_hosts(0).filter(|h| Self::is_west(*h) == Self::is_west(host));
                scheduler.set_gateways(hosts.map(vm_name), now);
            }
        });
    }
}
