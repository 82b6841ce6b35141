//! Order, refusal, cancellation and conservation of requests in the admission queue.

mod support;

use {
    gullglade_admission::{
        AdmissionPermit, AdmissionPriority, AdmissionQueue, AdmissionRefusal, AdmissionRequest,
        AdmissionSettings, PoolLimits,
    },
    quickcheck::quickcheck,
    std::{cell::RefCell, rc::Rc, time::Duration},
    support::{TestRuntime, model, request},
};

type Outcome = Rc<RefCell<Option<Result<AdmissionPermit, AdmissionRefusal>>>>;

fn seconds(count: u64) -> Option<Duration> {
    Some(Duration::from_secs(count))
}

fn queue(runtime: &TestRuntime, slots: u32, waiting_limit: usize) -> AdmissionQueue {
    let settings = AdmissionSettings { waiting_limit, ..AdmissionSettings::default() };
    let queue = AdmissionQueue::new(settings, runtime.context());
    queue.set_capacity(&model(), slots);
    queue
}

fn is_granted(outcome: &Outcome) -> bool {
    matches!(&*outcome.borrow(), Some(Ok(_)))
}

struct OrderCase {
    name: &'static str,
    /// Workspace, priority, and seconds until the deadline of each request.
    requests: Vec<(&'static str, AdmissionPriority, u64)>,
    /// Indexes of the requests in their order of starting.
    expected: Vec<usize>,
}

#[test]
fn starts_in_order_of_priority_then_share_then_deadline() {
    use AdmissionPriority::{High, Low, Normal};
    let cases = [
        OrderCase {
            name: "earliest deadline first within a workspace",
            requests: vec![("a", Normal, 90), ("a", Normal, 60), ("a", Normal, 80)],
            expected: vec![1, 2, 0],
        },
        OrderCase {
            name: "a workspace that arrives later starts before the backlog of another",
            requests: vec![
                ("a", Normal, 60),
                ("a", Normal, 61),
                ("a", Normal, 62),
                ("b", Normal, 99),
            ],
            expected: vec![0, 3, 1, 2],
        },
        OrderCase {
            name: "priority takes precedence over shares",
            requests: vec![("a", Low, 60), ("b", Normal, 90), ("c", High, 95), ("c", High, 94)],
            expected: vec![3, 2, 1, 0],
        },
    ];
    for case in cases {
        let mut runtime = TestRuntime::new();
        let queue = queue(&runtime, 0, 100);
        let outcomes: Vec<Outcome> = case
            .requests
            .iter()
            .map(|(workspace, priority, deadline)| {
                let request = request(workspace, seconds(*deadline));
                runtime.start(queue.acquire(AdmissionRequest { priority: *priority, ..request }))
            })
            .collect();
        queue.set_capacity(&model(), 1);
        let mut order = Vec::new();
        for _ in &outcomes {
            runtime.pool.run_until_stalled();
            let started = outcomes.iter().position(is_granted).expect("one request has started");
            order.push(started);
            drop(outcomes[started].borrow_mut().take());
        }
        assert_eq!(order, case.expected, "{}", case.name);
    }
}

/// A request that cannot start in time must not wait for its deadline to be refused. Each slot is
/// held for 4 s on average and 20 requests are queued when one arrives that must start within a
/// second.
#[test]
fn refuses_on_arrival_a_request_that_cannot_start_in_time() {
    let mut runtime = TestRuntime::new();
    let queue = queue(&runtime, 2, 100);
    let running: Vec<Outcome> =
        (0..22).map(|_| runtime.start(queue.acquire(request("a", None)))).collect();
    let late = runtime.start(queue.acquire(request("a", seconds(1))));
    let refusal = late.borrow_mut().take().expect("answered at once").expect_err("no slot");
    assert!(matches!(refusal, AdmissionRefusal::TooLate { .. }), "{refusal}");
    assert!(refusal.retry_after() > Duration::from_secs(10), "{refusal}");
    assert_eq!(running.iter().filter(|o| is_granted(o)).count(), 2);
}

/// A request must not start after its deadline, even if the work before it takes longer than
/// estimated. The queue entry therefore has a timer.
#[test]
fn refuses_at_the_deadline_a_request_that_is_still_queued() {
    let mut runtime = TestRuntime::new();
    let queue = queue(&runtime, 1, 100);
    let first = runtime.start(queue.acquire(request("a", None)));
    let second = runtime.start(queue.acquire(request("b", seconds(5))));
    runtime.advance(Duration::from_secs(6));
    assert!(matches!(&*second.borrow(), Some(Err(AdmissionRefusal::TooLate { .. }))));
    drop(first.borrow_mut().take());
    assert_eq!(queue.counts(&model()).running, 0);
}

/// Slots must not leak if callers disconnect while queued or in the moment they are granted a
/// permit, that is, if a queue entry or permit outlives its task.
#[test]
fn dropping_a_request_frees_its_queue_entry_and_its_slot() {
    let mut runtime = TestRuntime::new();
    let queue = queue(&runtime, 1, 100);
    let first = runtime.start(queue.acquire(request("a", None)));
    let mut waiting = queue.acquire(request("b", None));
    let waker = futures::task::noop_waker();
    let polled = waiting.as_mut().poll(&mut std::task::Context::from_waker(&waker));
    assert!(polled.is_pending());
    let third = runtime.start(queue.acquire(request("c", None)));
    drop(first.borrow_mut().take());
    assert_eq!(queue.counts(&model()).running, 1, "the permit waits in the channel");
    drop(waiting);
    runtime.pool.run_until_stalled();
    assert!(is_granted(&third), "the slot passes to the next request");
    drop(third.borrow_mut().take());
    assert_eq!(queue.counts(&model()).running, 0);
}

/// A single workspace that fills the queue must not cause the requests of others to be refused.
/// Guards against a limit that refuses the last arrival.
#[test]
fn a_full_queue_refuses_a_request_of_the_longest_flow() {
    let mut runtime = TestRuntime::new();
    let queue = queue(&runtime, 0, 10);
    let heavy_requests: Vec<Outcome> =
        (0..10).map(|i| runtime.start(queue.acquire(request("heavy", seconds(60 + i))))).collect();
    let other = runtime.start(queue.acquire(request("light", seconds(60))));
    assert!(other.borrow().is_none(), "the light workspace waits");
    let refused: Vec<usize> =
        (0..10).filter(|i| matches!(&*heavy_requests[*i].borrow(), Some(Err(_)))).collect();
    assert_eq!(refused, [9], "the heavy workspace loses its latest deadline");
}

/// Reserved slots must stay free for workspaces within their share while one workspace sends far
/// more than the others. Its requests are deferred and start only beyond the reserve.
#[test]
fn a_workspace_over_its_share_leaves_the_reserve_free() {
    let mut runtime = TestRuntime::new();
    let queue = queue(&runtime, 10, 1_000);
    let earlier = (0..30).map(|index| format!("known-{index}")).chain(vec!["heavy".to_owned(); 30]);
    for workspace in earlier {
        let before = runtime.start(queue.acquire(request(&workspace, None)));
        drop(before.borrow_mut().take());
    }
    queue.set_limits(&model(), PoolLimits { permits: 10, over_share: 4 });
    let heavy: Vec<Outcome> =
        (0..200).map(|_| runtime.start(queue.acquire(request("heavy", None)))).collect();
    let running = heavy.iter().filter(|o| is_granted(o)).count();
    assert_eq!(running, 4, "the heavy workspace gets only what is beyond the reserve");
    assert!(queue.is_over_share(&model(), &request("heavy", None).workspace, Default::default()));
    let light = runtime.start(queue.acquire(request("known-3", seconds(1))));
    assert!(is_granted(&light), "the reserve is free for the others");
}

quickcheck! {
    /// The number of arrivals equals the requests that ran, were refused or are queued, after any
    /// sequence of arrivals, disconnects, completions, elapsed time and capacity changes.
    fn request_counts_are_conserved(steps: Vec<(u8, u8)>) -> bool {
        let mut runtime = TestRuntime::new();
        let queue = queue(&runtime, 2, 8);
        let mut outcomes: Vec<Outcome> = Vec::new();
        for (action, value) in steps {
            let workspace = ["a", "b", "c"][usize::from(value % 3)];
            match action % 5 {
                0 | 1 => {
                    let now = runtime.context().clock.now().0;
                    let deadline = (value > 100).then(|| now + Duration::from_secs(u64::from(value)));
                    outcomes.push(runtime.start(queue.acquire(request(workspace, deadline))));
                }
                2 if !outcomes.is_empty() => {
                    drop(outcomes[usize::from(value) % outcomes.len()].borrow_mut().take());
                }
                3 => runtime.advance(Duration::from_secs(u64::from(value))),
                _ => queue.set_capacity(&model(), u32::from(value % 6)),
            }
            runtime.pool.run_until_stalled();
            let counts = queue.counts(&model());
            let held = outcomes.iter().filter(|outcome| is_granted(outcome)).count() as u64;
            let sum = counts.granted + counts.refused + counts.cancelled + counts.waiting;
            assert_eq!(counts.arrived, sum, "{counts:?}");
            assert_eq!(counts.running, held, "{counts:?}");
            assert!(counts.waiting <= 8, "{counts:?}");
        }
        true
    }
}
