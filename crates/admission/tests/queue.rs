//! Order, refusal, cancellation and conservation of the queue.

mod support;

use {
    gullglade_admission::{
        AdmissionPermit, AdmissionPriority, AdmissionQueue, AdmissionRefusal, AdmissionRequest,
        AdmissionSettings, PoolLimits,
    },
    quickcheck::quickcheck,
    std::{cell::RefCell, rc::Rc, time::Duration},
    support::{Bench, model, request},
};

type Outcome = Rc<RefCell<Option<Result<AdmissionPermit, AdmissionRefusal>>>>;

fn seconds(count: u64) -> Option<Duration> {
    Some(Duration::from_secs(count))
}

fn queue(bench: &Bench, slots: u32, waiting_limit: usize) -> AdmissionQueue {
    let settings = AdmissionSettings { waiting_limit, ..AdmissionSettings::default() };
    let queue = AdmissionQueue::new(settings, bench.context());
    queue.set_capacity(&model(), slots);
    queue
}

fn granted(outcome: &Outcome) -> bool {
    matches!(&*outcome.borrow(), Some(Ok(_)))
}

struct OrderCase {
    name: &'static str,
    /// Workspace, priority, seconds to the deadline.
    requests: Vec<(&'static str, AdmissionPriority, u64)>,
    /// Indexes in the order of their start.
    expected: Vec<usize>,
}

#[test]
fn starts_in_order_of_priority_then_share_then_deadline() {
    use AdmissionPriority::{High, Low, Normal};
    let cases = [
        OrderCase {
            name: "the earliest deadline of one workspace",
            requests: vec![("a", Normal, 90), ("a", Normal, 60), ("a", Normal, 80)],
            expected: vec![1, 2, 0],
        },
        OrderCase {
            name: "a late workspace has its turn before a long queue",
            requests: vec![
                ("a", Normal, 60),
                ("a", Normal, 61),
                ("a", Normal, 62),
                ("b", Normal, 99),
            ],
            expected: vec![0, 3, 1, 2],
        },
        OrderCase {
            name: "priority goes before shares",
            requests: vec![("a", Low, 60), ("b", Normal, 90), ("c", High, 95), ("c", High, 94)],
            expected: vec![3, 2, 1, 0],
        },
    ];
    for case in cases {
        let mut bench = Bench::new();
        let queue = queue(&bench, 0, 100);
        let outcomes: Vec<Outcome> = case
            .requests
            .iter()
            .map(|(workspace, priority, deadline)| {
                let request = request(workspace, seconds(*deadline));
                bench.start(queue.acquire(AdmissionRequest { priority: *priority, ..request }))
            })
            .collect();
        queue.set_capacity(&model(), 1);
        let mut order = Vec::new();
        for _ in &outcomes {
            bench.pool.run_until_stalled();
            let started = outcomes.iter().position(granted).expect("one has started");
            order.push(started);
            drop(outcomes[started].borrow_mut().take());
        }
        assert_eq!(order, case.expected, "{}", case.name);
    }
}

/// Symptom: a caller hears only at its deadline that nothing will come of it. Sequence: every slot is
/// taken for 4 s on average, 20 wait, one more comes that needs its start within a second. Cause: the
/// wait was known at the door.
#[test]
fn refuses_at_once_what_cannot_start_in_time() {
    let mut bench = Bench::new();
    let queue = queue(&bench, 2, 100);
    let running: Vec<Outcome> =
        (0..22).map(|_| bench.start(queue.acquire(request("a", None)))).collect();
    let late = bench.start(queue.acquire(request("a", seconds(1))));
    let refusal = late.borrow_mut().take().expect("answered at once").expect_err("no slot");
    assert!(matches!(refusal, AdmissionRefusal::TooLate { .. }), "{refusal}");
    assert!(refusal.retry_after() > Duration::from_secs(10), "{refusal}");
    assert_eq!(running.iter().filter(|o| granted(o)).count(), 2);
}

/// Symptom: a request starts after its deadline. Sequence: it waits behind work that takes longer than
/// was expected. Cause: no timer on the place in the queue.
#[test]
fn refuses_at_the_deadline_what_waited_in_vain() {
    let mut bench = Bench::new();
    let queue = queue(&bench, 1, 100);
    let first = bench.start(queue.acquire(request("a", None)));
    let second = bench.start(queue.acquire(request("b", seconds(5))));
    bench.advance(Duration::from_secs(6));
    assert!(matches!(&*second.borrow(), Some(Err(AdmissionRefusal::TooLate { .. }))));
    drop(first.borrow_mut().take());
    assert_eq!(queue.counts(&model()).running, 0);
}

/// Symptom: slots leak until nothing runs. Sequence: callers hang up while they wait, or at the
/// moment they are let in. Cause: the place or the permit outlives its task.
#[test]
fn a_dropped_request_gives_back_its_place_and_its_slot() {
    let mut bench = Bench::new();
    let queue = queue(&bench, 1, 100);
    let first = bench.start(queue.acquire(request("a", None)));
    let mut waiting = queue.acquire(request("b", None));
    let waker = futures::task::noop_waker();
    let polled = waiting.as_mut().poll(&mut std::task::Context::from_waker(&waker));
    assert!(polled.is_pending());
    let third = bench.start(queue.acquire(request("c", None)));
    drop(first.borrow_mut().take());
    assert_eq!(queue.counts(&model()).running, 1, "the permit waits in the channel");
    drop(waiting);
    bench.pool.run_until_stalled();
    assert!(granted(&third), "the slot went on to the next");
    drop(third.borrow_mut().take());
    assert_eq!(queue.counts(&model()).running, 0);
}

/// Symptom: one workspace fills the queue and the others are refused. Sequence: it sends more than the
/// queue holds, then another workspace sends one request. Cause: a bound that refuses whoever is last.
#[test]
fn a_full_queue_refuses_whoever_holds_the_most_of_it() {
    let mut bench = Bench::new();
    let queue = queue(&bench, 0, 10);
    let many: Vec<Outcome> =
        (0..10).map(|i| bench.start(queue.acquire(request("hog", seconds(60 + i))))).collect();
    let other = bench.start(queue.acquire(request("quiet", seconds(60))));
    assert!(other.borrow().is_none(), "the quiet one waits");
    let refused: Vec<usize> =
        (0..10).filter(|i| matches!(&*many[*i].borrow(), Some(Err(_)))).collect();
    assert_eq!(refused, [9], "the hog loses its latest deadline");
}

/// Symptom: others wait though slots were kept for them. Sequence: one workspace sends far more than the
/// others, who have been here before; its turn comes only after a pause, and only beyond the reserve.
/// Cause: its requests were taken for everybody's.
#[test]
fn a_workspace_over_its_share_leaves_the_reserve_free() {
    let mut bench = Bench::new();
    let queue = queue(&bench, 10, 1_000);
    let earlier = (0..30).map(|index| format!("known-{index}")).chain(vec!["hog".to_owned(); 30]);
    for workspace in earlier {
        let before = bench.start(queue.acquire(request(&workspace, None)));
        drop(before.borrow_mut().take());
    }
    queue.set_limits(&model(), PoolLimits { permits: 10, over_share: 4 });
    let hog: Vec<Outcome> =
        (0..200).map(|_| bench.start(queue.acquire(request("hog", None)))).collect();
    let running = hog.iter().filter(|o| granted(o)).count();
    assert_eq!(running, 4, "the hog has what is beyond the reserve");
    assert!(queue.is_over_share(&model(), &request("hog", None).workspace, Default::default()));
    let quiet = bench.start(queue.acquire(request("known-3", seconds(1))));
    assert!(granted(&quiet), "the reserve is there for the others");
}

quickcheck! {
    /// In = run + not-run + waiting after any sequence of arrivals, hang-ups, endings, time and changes
    /// of capacity.
    fn admission_conserves(steps: Vec<(u8, u8)>) -> bool {
        let mut bench = Bench::new();
        let queue = queue(&bench, 2, 8);
        let mut places: Vec<Outcome> = Vec::new();
        for (action, value) in steps {
            let workspace = ["a", "b", "c"][usize::from(value % 3)];
            match action % 5 {
                0 | 1 => {
                    let now = bench.context().clock.now().0;
                    let deadline = (value > 100).then(|| now + Duration::from_secs(u64::from(value)));
                    places.push(bench.start(queue.acquire(request(workspace, deadline))));
                }
                2 if !places.is_empty() => {
                    drop(places[usize::from(value) % places.len()].borrow_mut().take());
                }
                3 => bench.advance(Duration::from_secs(u64::from(value))),
                _ => queue.set_capacity(&model(), u32::from(value % 6)),
            }
            bench.pool.run_until_stalled();
            let counts = queue.counts(&model());
            let held = places.iter().filter(|place| granted(place)).count() as u64;
            let sum = counts.granted + counts.refused + counts.cancelled + counts.waiting;
            assert_eq!(counts.arrived, sum, "{counts:?}");
            assert_eq!(counts.running, held, "{counts:?}");
            assert!(counts.waiting <= 8, "{counts:?}");
        }
        true
    }
}
