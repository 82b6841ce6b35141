//! Resources that an attempt holds while it runs and releases on drop.

use {
    futures::channel::oneshot,
    gullglade_admission::AdmissionPermit,
    gullglade_backend::DispatchGuard,
    gullglade_event::MetricSet,
    gullglade_units::{Clock, ModelName, MonotonicTime},
    std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration},
};

/// Assumed holding time of a slot before the first measurement.
const DEFAULT_HOLDING_TIME: Duration = Duration::from_secs(4);

/// Weight of a new sample in the exponentially weighted moving average of holding times.
const HOLDING_TIME_EWMA_WEIGHT: f64 = 0.05;

/// An admission slot of this gateway and a dispatch count at the backend server. Dropped when the
/// answer ends, fails or is abandoned.
#[derive(Default)]
pub(crate) struct AttemptGuard {
    pub(crate) _permit: Option<AdmissionPermit>,
    pub(crate) dispatch: Option<DispatchGuard>,
    pub(crate) engine_time: Option<EngineTimeMeter>,
}

impl AttemptGuard {
    /// Records that the backend server has sent the first token.
    pub(crate) fn first_token(&self) {
        if let Some(dispatch) = &self.dispatch {
            dispatch.first_token();
        }
    }
}

/// Measures the time that a request occupies a backend server. Feeds the engine time metric and the
/// average holding time that routing uses.
pub(crate) struct EngineTimeMeter {
    pub(crate) metrics: Rc<MetricSet>,
    pub(crate) clock: Rc<dyn Clock>,
    pub(crate) model: ModelName,
    pub(crate) holding_times: Rc<HoldingTimes>,
    pub(crate) capacity_signal: Rc<CapacitySignal>,
    pub(crate) started: MonotonicTime,
}

impl Drop for EngineTimeMeter {
    fn drop(&mut self) {
        let time = self.clock.now().since(self.started);
        self.metrics.engine_time(&self.model, time);
        self.holding_times.record(&self.model, time);
        self.capacity_signal.notify();
    }
}

/// The average slot holding time of each model, as an exponentially weighted moving average.
#[derive(Debug, Default)]
pub(crate) struct HoldingTimes {
    seconds: RefCell<HashMap<ModelName, f64>>,
}

impl HoldingTimes {
    pub(crate) fn record(&self, model: &ModelName, time: Duration) {
        let mut table = self.seconds.borrow_mut();
        let sample = time.as_secs_f64();
        match table.get_mut(model) {
            Some(seconds) => *seconds += HOLDING_TIME_EWMA_WEIGHT * (sample - *seconds),
            None => {
                table.insert(model.clone(), sample);
            }
        }
    }

    pub(crate) fn get(&self, model: &ModelName) -> Duration {
        let seconds = self.seconds.borrow().get(model).copied();
        seconds.map_or(DEFAULT_HOLDING_TIME, Duration::from_secs_f64)
    }
}

/// Wakes requests that wait for capacity when a slot may have become free.
#[derive(Debug, Default)]
pub(crate) struct CapacitySignal {
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
}

impl CapacitySignal {
    /// Completes at the next [`notify`](Self::notify).
    pub(crate) async fn notified(&self) {
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().push(sender);
        let _notified = receiver.await;
    }

    /// Wakes all current waiters. Each repeats its routing decision and waits again if there is
    /// still no capacity.
    pub(crate) fn notify(&self) {
        for waiter in self.waiters.take() {
            let _disconnected = waiter.send(());
        }
    }
}
