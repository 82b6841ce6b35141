//! What one attempt holds while it runs, and gives back when it is dropped.

use {
    futures::channel::oneshot,
    gullglade_admission::AdmissionPermit,
    gullglade_backend::DispatchGuard,
    gullglade_event::MetricSet,
    gullglade_units::{Clock, ModelName, MonotonicTime},
    std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration},
};

/// How long a request holds a slot where none has been measured yet.
const DEFAULT_HOLDING_TIME: Duration = Duration::from_secs(4);

/// Weight of a new sample in the average hold.
const HOLDING_TIME_EWMA_WEIGHT: f64 = 0.05;

/// A slot of this gateway and a count at the backend server. Dropped when the answer has ended or
/// was given up, however that came about.
#[derive(Default)]
pub(crate) struct AttemptGuard {
    pub(crate) _permit: Option<AdmissionPermit>,
    pub(crate) dispatch: Option<DispatchGuard>,
    pub(crate) engine_time: Option<EngineTimeMeter>,
}

impl AttemptGuard {
    /// The backend server has begun to answer.
    pub(crate) fn first_token(&self) {
        if let Some(dispatch) = &self.dispatch {
            dispatch.first_token();
        }
    }
}

/// Counts the seconds that a request occupies a backend server: the cost measure, and the average
/// hold that the decision needs.
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

/// The average time a request of each model holds a slot, as an exponentially weighted mean.
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

/// Wakes requests that wait for a slot when one may have become free.
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

    /// Wakes all who wait now. Each decides anew; those for whom nothing changed wait again.
    pub(crate) fn notify(&self) {
        for waiter in self.waiters.take() {
            let _gone = waiter.send(());
        }
    }
}
