//! Evacuation orders that reach the leader late, after their operator has given later orders.
//!
//! `GULLGLADE_ORDER_HISTORIES` sets the number of seeded histories, `GULLGLADE_SEED` runs a single
//! one.

mod support;

use {
    bytes::Bytes,
    gullglade_control::{ChangeError, ControlNode, TrafficChange, TrafficOutcome},
    gullglade_units::{Clock, FailureDomain, RandomSource, SeededRandom, timeout},
    std::{collections::BTreeMap, env, pin::pin, rc::Rc, time::Duration},
    support::{
        cluster::{Cluster, address},
        held_link::HeldLink,
    },
};

/// The one-way delay between members.
const LINK: Duration = Duration::from_millis(20);

/// The time after which an operator turns to another process.
const OPERATOR_TIMEOUT: Duration = Duration::from_millis(900);

/// The maximum time by which a forwarded change is late.
const MAX_LATENESS: Duration = Duration::from_secs(4);

/// The number of attempts after which an operator gives up on an order.
const MAX_ATTEMPTS: usize = 20;

/// The default number of seeded histories.
const DEFAULT_HISTORIES: u64 = 200;

/// A cluster whose links hold calls up, and what its operator knows.
struct Operator {
    cluster: Cluster,
    link: Rc<HeldLink>,
    random: SeededRandom,
    clock: Rc<dyn Clock>,
    /// The acknowledged state of each domain, or `None` if an order was given up since.
    acknowledged: BTreeMap<FailureDomain, Option<bool>>,
}

fn domain(name: &str) -> FailureDomain {
    FailureDomain::try_from(name).expect("a name")
}

impl Operator {
    fn started(seed: u64, members: usize) -> Self {
        Self::with_change_limit(seed, members, Duration::from_secs(5))
    }

    /// Starts a cluster whose calls to the leader end after half of `change_limit`.
    fn with_change_limit(seed: u64, members: usize, change_limit: Duration) -> Self {
        let link = Rc::new(HeldLink::new(LINK, seed));
        let mut cluster = Cluster::new(seed, members, 0, Rc::clone(&link) as _);
        cluster.config = Box::new(move |config| {
            config
                .change_limit(change_limit)
                .heartbeat(Duration::from_millis(150))
                .election_timeout(Duration::from_millis(550), Duration::from_millis(400))
                .call_limit(Duration::from_millis(450))
        });
        let clock = Rc::clone(&cluster.world.process().context().clock);
        link.set_clock(Rc::clone(&clock));
        (0..members).for_each(|index| cluster.start(index));
        cluster.wait_for_leader();
        let random = SeededRandom::new(seed);
        Self { cluster, link, random, clock, acknowledged: BTreeMap::new() }
    }

    fn node(&self, at: usize) -> ControlNode {
        self.cluster.node(at).expect("it runs")
    }

    fn is_evacuated(&self, at: usize, domain: &FailureDomain) -> bool {
        self.node(at).read(|state| state.traffic().evacuated().contains(domain))
    }

    /// Gives an order to one process and waits for its acknowledgement.
    fn attempt(&self, at: usize, domain: &FailureDomain, is_on: bool) -> Option<TrafficOutcome> {
        let node = self.node(at);
        let change = TrafficChange::Evacuate { domain: domain.clone(), is_on };
        let decided =
            timeout(&*self.clock, OPERATOR_TIMEOUT, node.change_traffic(change, OPERATOR_TIMEOUT));
        self.cluster.world.run_until(decided)?.ok()
    }

    fn any_member(&self) -> usize {
        self.random.below(self.cluster.vms.len() as u64) as usize
    }

    /// Cuts one member off from the others for `duration`; what they send each other meanwhile
    /// arrives afterwards.
    fn hold(&self, member: usize, duration: Duration) {
        let end = self.clock.now() + duration;
        let others = (0..self.cluster.vms.len()).filter(|other| *other != member);
        others.for_each(|other| self.link.hold(address(member), address(other), end));
    }

    /// Gives an order to one process after another until one acknowledges it. The operator may
    /// change its mind in between.
    fn order(&mut self, domain: &FailureDomain, mut is_on: bool) {
        self.acknowledged.insert(domain.clone(), None);
        for _ in 0..MAX_ATTEMPTS {
            if self.attempt(self.any_member(), domain, is_on).is_some() {
                self.acknowledged.insert(domain.clone(), Some(is_on));
                return;
            }
            if self.random.unit() < 0.3 {
                is_on = !is_on;
            }
            self.cluster.world.run_for(Duration::from_millis(50));
        }
    }

    /// Checks that linearizable reads return what was acknowledged last. Returns how many of them
    /// were confirmed.
    fn check_reads(&self, what: &str) -> usize {
        let is_confirmed = |at: &usize| {
            let node = self.node(*at);
            let reading = timeout(&*self.clock, OPERATOR_TIMEOUT, node.catch_up());
            matches!(self.cluster.world.run_until(reading), Some(Ok(_)))
        };
        let confirmed: Vec<_> = (0..self.cluster.vms.len()).filter(is_confirmed).collect();
        for at in &confirmed {
            for (domain, acknowledged) in &self.acknowledged {
                let Some(acknowledged) = acknowledged else { continue };
                let found = self.is_evacuated(*at, domain);
                assert_eq!(found, *acknowledged, "{what}: {domain} at {at}");
            }
        }
        confirmed.len()
    }
}

/// Guards against an order that was held up on its way to the leader and applied after the operator
/// had given it up and a later order was acknowledged.
#[test]
fn order_that_arrives_after_a_later_one_was_acknowledged_is_not_applied() {
    struct Case {
        name: &'static str,
        before: bool,
        late: bool,
        then: &'static [bool],
    }
    let cases = [
        Case {
            name: "withdrawal, sent again, then evacuated again",
            before: true,
            late: false,
            then: &[false, true],
        },
        Case { name: "withdrawal, given up", before: true, late: false, then: &[true] },
        Case {
            name: "evacuation, sent again, then withdrawn",
            before: false,
            late: true,
            then: &[true, false],
        },
        Case { name: "evacuation, given up", before: false, late: true, then: &[false] },
    ];
    for Case { name, before, late, then } in cases {
        for seed in 0..4 {
            let operator = Operator::started(seed, 3);
            let domain = domain("inland-a");
            let leader = operator.cluster.wait_for_leader();
            let (follower, other) = ((leader + 1) % 3, (leader + 2) % 3);
            if before {
                operator.attempt(other, &domain, true).expect("acknowledged");
            }
            operator.cluster.world.run_for(Duration::from_secs(1));
            operator.hold(follower, Duration::from_millis(2_000));
            assert_eq!(operator.attempt(follower, &domain, late), None, "{name}: held up");
            for is_on in then {
                operator.attempt(other, &domain, *is_on).expect("acknowledged");
            }
            let last = then.last() == Some(&true);
            operator.cluster.world.run_for(Duration::from_secs(4));
            let found = operator.is_evacuated(leader, &domain);
            assert_eq!(found, last, "{name}, seed {seed}");
        }
    }
}

/// Guards against a process that stood still and, when it goes on, submits an order anew although
/// its operator has turned away.
#[test]
fn order_is_not_submitted_anew_after_its_limit() {
    let operator = Operator::started(1, 3);
    let domain = domain("inland-a");
    let leader = operator.cluster.wait_for_leader();
    let (follower, other) = ((leader + 1) % 3, (leader + 2) % 3);
    operator.attempt(other, &domain, true).expect("acknowledged");
    operator.cluster.world.run_for(Duration::from_secs(1));
    operator.hold(follower, Duration::from_millis(300));
    let node = operator.node(follower);
    let withdrawal = TrafficChange::Evacuate { domain: domain.clone(), is_on: false };
    let mut deciding = pin!(node.change_traffic(withdrawal, OPERATOR_TIMEOUT));
    let begun = timeout(&*operator.clock, Duration::from_millis(10), &mut deciding);
    assert_eq!(operator.cluster.world.run_until(begun), None, "on its way");
    operator.attempt(other, &domain, true).expect("acknowledged");
    operator.cluster.world.run_for(Duration::from_secs(2));
    let outcome = operator.cluster.world.run_until(deciding);
    assert!(matches!(outcome, Err(ChangeError::Superseded { .. })), "{outcome:?}");
    operator.cluster.world.run_for(Duration::from_secs(2));
    assert!(operator.is_evacuated(leader, &domain));
}

/// Guards against an order that is told as not run because a second copy of it was rejected, while
/// the first one was applied and its reply was lost.
#[test]
fn order_with_a_lost_reply_is_not_told_as_not_run() {
    let operator = Operator::with_change_limit(1, 3, Duration::from_secs(1));
    let domain = domain("inland-a");
    let leader = operator.cluster.wait_for_leader();
    let follower = (leader + 1) % 3;
    operator.cluster.world.run_for(Duration::from_secs(1));
    let node = operator.node(follower);
    let evacuation = TrafficChange::Evacuate { domain: domain.clone(), is_on: true };
    let mut deciding = pin!(node.change_traffic(evacuation, OPERATOR_TIMEOUT));
    let mut run_for = |millis| {
        let limit = Duration::from_millis(millis);
        operator.cluster.world.run_until(timeout(&*operator.clock, limit, &mut deciding))
    };
    assert_eq!(run_for(10), None, "on its way");
    operator.hold(follower, Duration::from_millis(400));
    assert_eq!(run_for(600), None, "sent again");
    operator.cluster.world.run_for(Duration::from_secs(2));
    assert!(operator.is_evacuated(leader, &domain), "the first copy was applied");
    let outcome = operator.cluster.world.run_until(deciding);
    assert!(matches!(outcome, Err(ChangeError::Unknown { .. })), "{outcome:?}");
}

/// Guards against an older configuration that is held up on its way to the leader and replaces a
/// newer one.
#[test]
fn configuration_that_arrives_late_does_not_replace_a_newer_one() {
    let operator = Operator::started(1, 3);
    let leader = operator.cluster.wait_for_leader();
    let (follower, other) = ((leader + 1) % 3, (leader + 2) % 3);
    operator.hold(follower, Duration::from_secs(2));
    for (at, version, is_acknowledged) in [(follower, 1, false), (other, 2, true)] {
        let change = TrafficChange::Configure { version, text: Bytes::from_static(b"text") };
        let node = operator.node(at);
        let deciding = node.change_traffic(change, OPERATOR_TIMEOUT);
        let outcome = operator.cluster.world.run_until(deciding);
        assert_eq!(outcome.is_ok(), is_acknowledged, "{version}: {outcome:?}");
    }
    operator.cluster.world.run_for(Duration::from_secs(4));
    let version = operator.node(leader).read(|state| state.traffic().version());
    assert_eq!(version, Some(2));
}

/// Runs a seeded history: an operator gives orders about two domains, while forwarded changes are
/// late and members are cut off.
fn run_history(seed: u64) {
    let members = if seed.is_multiple_of(2) { 3 } else { 5 };
    let mut operator = Operator::started(seed, members);
    operator.link.set_late(0.3, MAX_LATENESS);
    let domains = [domain("inland-a"), domain("inland-b")];
    for step in 0..8 {
        if operator.random.unit() < 0.5 {
            let millis = 300 + operator.random.below(2_500);
            operator.hold(operator.any_member(), Duration::from_millis(millis));
        }
        let domain = &domains[operator.random.below(2) as usize];
        let is_on = operator.random.unit() < 0.5;
        operator.order(domain, is_on);
        operator.check_reads(&format!("seed {seed}, step {step}"));
        operator.cluster.world.run_for(Duration::from_millis(operator.random.below(1_500)));
        operator.check_reads(&format!("seed {seed}, later in step {step}"));
    }
    operator.link.set_late(0.0, Duration::ZERO);
    operator.cluster.world.run_for(MAX_LATENESS * 2);
    let confirmed = operator.check_reads(&format!("seed {seed}, at the end"));
    assert!(confirmed > 0, "seed {seed}: no read was confirmed at the end");
}

/// Guards against late orders that are applied after an acknowledged one, in any order of holds and
/// elections.
#[test]
fn acknowledged_order_stands_until_the_next_one_is_sent() {
    if let Ok(seed) = env::var("GULLGLADE_SEED") {
        return run_history(seed.parse().expect("a number"));
    }
    let count = env::var("GULLGLADE_ORDER_HISTORIES").ok();
    let count = count.map_or(DEFAULT_HISTORIES, |count| count.parse().expect("a number"));
    let is_broken = |seed: &u64| std::panic::catch_unwind(|| run_history(*seed)).is_err();
    let broken: Vec<u64> = (0..count).filter(is_broken).collect();
    assert!(broken.is_empty(), "{} of {count} histories: seeds {broken:?}", broken.len());
}
