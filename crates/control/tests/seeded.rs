//! A seeded log on the simulated network: founding, joining, lost disks and replaced VMs.
//!
//! `GULLGLADE_HISTORIES` sets the number of seeded histories, `GULLGLADE_SEED` runs a single one.

mod support;

use {
    bytes::Bytes,
    gullglade_control::{ChangeError, MemberRole, TrafficChange, TrafficEffect, TrafficOutcome},
    gullglade_peer::fake::FakeLink,
    gullglade_units::{FailureDomain, RandomSource, SeededRandom, timeout},
    std::{env, rc::Rc, time::Duration},
    support::cluster::{Cluster, address},
};

/// The one-way delay between regions.
const LINK: Duration = Duration::from_millis(55);

/// The number of control VMs of a deployment.
const VMS: usize = 5;

/// The number of those VMs that are seeds.
const SEEDS: usize = 3;

/// The time after which an operator turns to another process.
const OPERATOR_TIMEOUT: Duration = Duration::from_millis(900);

/// The time within which a working log acknowledges a change.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(6);

/// The time within which changes are acknowledged again after a power loss of all VMs.
const RECOVERED_WITHIN: Duration = Duration::from_secs(12);

/// The default number of seeded histories.
const DEFAULT_HISTORIES: u64 = 60;

struct Deployment {
    cluster: Cluster,
    link: Rc<FakeLink>,
    random: SeededRandom,
    /// The highest acknowledged version.
    acknowledged: u64,
    next_version: u64,
}

fn configure(version: u64) -> TrafficChange {
    TrafficChange::Configure { version, text: Bytes::from(format!("configuration {version}")) }
}

impl Deployment {
    /// Creates a deployment of `VMS` VMs, started in a random order, and `spares` that do not run
    /// yet.
    fn started(seed: u64, spares: usize) -> Self {
        let link = Rc::new(FakeLink::new(LINK));
        let cluster = Cluster::new(seed, VMS, spares, Rc::clone(&link) as _);
        cluster.seeds.set(SEEDS);
        cluster.is_first_start.set(true);
        let random = SeededRandom::new(seed);
        let mut order: Vec<usize> = (0..VMS).collect();
        while !order.is_empty() {
            let at = order.swap_remove(random.below(order.len() as u64) as usize);
            cluster.start(at);
            cluster.world.run_for(Duration::from_millis(random.below(60)));
        }
        cluster.is_first_start.set(false);
        Self { cluster, link, random, acknowledged: 0, next_version: 1 }
    }

    fn change(&self, at: usize, change: TrafficChange) -> Option<TrafficOutcome> {
        let node = self.cluster.node(at)?;
        let clock = self.cluster.vms[at].running.borrow().as_ref()?.process.context().clock.clone();
        let decided =
            timeout(&*clock, OPERATOR_TIMEOUT, node.change_traffic(change, OPERATOR_TIMEOUT));
        match self.cluster.world.run_until(decided) {
            Some(Ok(outcome)) => Some(outcome),
            Some(Err(ChangeError::Stopped { reason })) => panic!("a member stopped: {reason}"),
            Some(Err(_)) | None => None,
        }
    }

    /// Sends a new configuration to one process after another until one acknowledges it.
    fn acknowledge(&mut self, within: Duration) {
        let version = self.next_version;
        self.next_version += 1 + self.random.below(3);
        let began = self.cluster.world.now();
        let count = self.cluster.vms.len();
        let mut at = self.random.below(count as u64) as usize;
        while self.cluster.world.now().since(began) < within {
            at = (at + 1) % count;
            if let Some(outcome) = self.change(at, configure(version)) {
                assert!(outcome.version >= Some(version), "{outcome:?} for {version}");
                self.acknowledged = version;
                return;
            }
            self.cluster.world.run_for(Duration::from_millis(50));
        }
        panic!("version {version} was not acknowledged within {within:?}: {}", self.describe());
    }

    fn describe(&self) -> String {
        let statuses: Vec<_> =
            self.cluster.running().into_iter().map(|(i, n)| (i, n.status())).collect();
        format!("{statuses:#?}; events: {:#?}", self.cluster.events.lines())
    }

    /// Checks that every process that completes a linearizable read returns the acknowledged
    /// configuration or a newer one.
    fn check_reads(&self) {
        let mut confirmed = 0;
        for (at, node) in self.cluster.running() {
            let clock = {
                let running = self.cluster.vms[at].running.borrow();
                running.as_ref().expect("it runs").process.context().clock.clone()
            };
            let reading = timeout(&*clock, OPERATOR_TIMEOUT, node.catch_up());
            if let Some(Ok(_)) = self.cluster.world.run_until(reading) {
                confirmed += 1;
                let version = node.read(|state| state.traffic().version()).unwrap_or(0);
                assert!(version >= self.acknowledged, "read {version}, {}", self.describe());
            }
        }
        assert!(confirmed > 0, "no process confirmed a read: {}", self.describe());
    }

    fn voters(&self) -> usize {
        let Some(leader) = self.cluster.leader() else { return 0 };
        let membership = self.cluster.node(leader).and_then(|n| n.status().membership);
        membership.map_or(0, |m| m.members.iter().filter(|m| m.role == MemberRole::Voter).count())
    }

    /// Chooses `count` running VMs at random.
    fn choose_running(&self, count: usize) -> Vec<usize> {
        let mut all: Vec<usize> = self.cluster.running().into_iter().map(|(i, _)| i).collect();
        let mut chosen = Vec::new();
        while chosen.len() < count && !all.is_empty() {
            chosen.push(all.swap_remove(self.random.below(all.len() as u64) as usize));
        }
        chosen
    }

    /// Takes the power from all running VMs, erases the disks of `lost`, and restarts all after
    /// `down`.
    fn lose_power_everywhere(&self, lost: &[usize], down: Duration) {
        let running: Vec<usize> = self.cluster.running().into_iter().map(|(i, _)| i).collect();
        for at in &running {
            self.cluster.lose_power(*at, &self.random);
        }
        lost.iter().for_each(|at| self.cluster.empty_disk(*at));
        self.cluster.world.run_for(down);
        running.iter().for_each(|at| self.cluster.start(*at));
    }

    fn replace_disk(&self, at: usize, down: Duration) {
        self.cluster.lose_power(at, &self.random);
        self.cluster.empty_disk(at);
        self.cluster.world.run_for(down);
        self.cluster.start(at);
    }
}

#[test]
fn five_processes_with_three_seeds_become_five_voters() {
    for seed in 0..20 {
        let mut deployment = Deployment::started(seed, 0);
        deployment.cluster.world.run_for(Duration::from_millis(300));
        deployment.acknowledge(ACKNOWLEDGED_WITHIN);
        deployment.cluster.wait_until("five voters", |_| deployment.voters() == VMS);
        deployment.check_reads();
    }
}

#[test]
fn first_acknowledged_change_survives_the_loss_of_any_two_disks() {
    // Guards against acknowledging the first configuration before the other control processes have
    // become voters. Three seeds found the log and one acknowledges; then two of the three lose
    // their disks and all others lose power.
    for seed in 0..20 {
        let mut deployment = Deployment::started(seed, 0);
        deployment.acknowledge(ACKNOWLEDGED_WITHIN);
        let lost = deployment.choose_running(2);
        deployment.lose_power_everywhere(&lost, Duration::from_secs(1));
        deployment.acknowledge(RECOVERED_WITHIN);
        deployment.check_reads();
    }
}

/// Returns the times without a leader after all VMs lost power and `lost` of them their disks, over
/// 40 seeds, in ascending order.
fn election_times(lost: usize) -> Vec<Duration> {
    let mut times = Vec::new();
    for seed in 0..40 {
        let mut deployment = Deployment::started(seed, 0);
        deployment.cluster.config = Box::new(|config| {
            config
                .heartbeat(Duration::from_millis(150))
                .election_timeout(Duration::from_millis(550), Duration::from_millis(400))
                .call_limit(Duration::from_millis(450))
        });
        deployment.acknowledge(ACKNOWLEDGED_WITHIN);
        deployment.cluster.wait_until("five voters", |_| deployment.voters() == VMS);
        let lost = deployment.choose_running(lost);
        deployment.lose_power_everywhere(&lost, Duration::from_secs(1));
        let began = deployment.cluster.world.now();
        deployment.cluster.wait_for_leader();
        times.push(deployment.cluster.world.now().since(began));
        deployment.acknowledge(RECOVERED_WITHIN);
        deployment.check_reads();
    }
    times.sort_unstable();
    let (median, longest) = (times[times.len() / 2], times[times.len() - 1]);
    println!("time to a leader: median {median:?}, maximum {longest:?}");
    times
}

#[test]
fn leader_is_elected_soon_after_a_power_loss_of_all_vms() {
    // Guards against repeated split votes among the remaining voters, during which no gateway has a
    // configuration. Two of five disks are lost, and the three voters that are left start within
    // milliseconds of each other; a leader needs all three votes. An election takes two round trips
    // of 110 ms, and voters must not campaign themselves meanwhile.
    let times = election_times(2);
    let (median, longest) = (times[times.len() / 2], times[times.len() - 1]);
    assert!(median < Duration::from_millis(900), "{times:?}");
    assert!(longest < Duration::from_millis(1_900), "{times:?}");
}

#[test]
fn failed_election_is_reported_with_its_votes() {
    let mut deployment = Deployment::started(3, 0);
    deployment.acknowledge(ACKNOWLEDGED_WITHIN);
    deployment.cluster.wait_until("five voters", |_| deployment.voters() == VMS);
    deployment.choose_running(3).into_iter().for_each(|at| deployment.cluster.kill(at));
    deployment.cluster.world.run_for(Duration::from_secs(6));
    let lines = deployment.cluster.events.lines();
    let is_reported = |line: &String| {
        line.starts_with("control.election.failed") && line.contains("granted=") && {
            line.contains("voters=5") && line.contains("poll=true")
        }
    };
    assert!(lines.iter().any(is_reported), "{lines:#?}");
}

#[test]
fn seed_with_a_lost_disk_founds_no_second_log() {
    // Guards against a second log, with which reads would return an older configuration or none.
    // Each seed in turn loses its disk once the one before has rejoined. A seed with an empty disk
    // must not take its start for the first start of the deployment.
    let mut deployment = Deployment::started(7, 0);
    deployment.acknowledge(ACKNOWLEDGED_WITHIN);
    for seed in 0..SEEDS {
        deployment.replace_disk(seed, Duration::from_millis(300));
        deployment.cluster.world.run_for(Duration::from_secs(5));
        deployment.check_reads();
        assert_eq!(deployment.voters(), VMS);
    }
    assert_eq!(deployment.cluster.events.count("control.log.founded"), 1);
}

#[test]
fn lost_vm_is_replaced_by_a_new_vm_at_another_address() {
    // Guards against lost voters that still count towards the quorum. Twice a VM is lost for good
    // and another starts at a new address; then two more are killed, and the log must still accept
    // changes.
    for seed in 0..10 {
        let mut deployment = Deployment::started(seed, 2);
        deployment.acknowledge(ACKNOWLEDGED_WITHIN);
        for spare in VMS..VMS + 2 {
            let lost = deployment.choose_running(1)[0];
            deployment.cluster.kill(lost);
            deployment.cluster.world.run_for(Duration::from_secs(1));
            deployment.cluster.start(spare);
            deployment.cluster.world.run_for(Duration::from_secs(8));
            deployment.acknowledge(ACKNOWLEDGED_WITHIN);
        }
        let killed = deployment.choose_running(2);
        killed.iter().for_each(|at| deployment.cluster.kill(*at));
        deployment.cluster.world.run_for(Duration::from_secs(3));
        deployment.acknowledge(ACKNOWLEDGED_WITHIN);
        deployment.check_reads();
    }
}

#[test]
fn voter_replaced_during_a_partition_rejoins_as_a_member() {
    // Guards against a control process that never catches up after a partition. A spare replaces it
    // meanwhile; the log is no longer sent to it, and it does not know that it was removed.
    let mut deployment = Deployment::started(3, 1);
    deployment.acknowledge(ACKNOWLEDGED_WITHIN);
    let leader = deployment.cluster.wait_for_leader();
    let partitioned = (0..VMS).find(|i| *i != leader).expect("another");
    let others: Vec<_> = (0..VMS + 1).filter(|i| *i != partitioned).map(address).collect();
    deployment.link.isolate(address(partitioned), &others);
    deployment.cluster.start(VMS);
    deployment.cluster.world.run_for(Duration::from_secs(8));
    deployment.acknowledge(ACKNOWLEDGED_WITHIN);
    deployment.link.heal_all();
    let acknowledged = deployment.acknowledged;
    deployment.cluster.wait_until("caught up", |c| {
        let version = c.node(partitioned).map(|n| n.read(|s| s.traffic().version()));
        version.flatten().is_some_and(|v| v >= acknowledged)
    });
}

#[test]
fn highest_version_is_in_force_and_evacuations_persist() {
    struct Case {
        change: TrafficChange,
        effect: TrafficEffect,
        version: Option<u64>,
        evacuated: usize,
    }
    let domain = FailureDomain::try_from("inland-a").expect("a name");
    let evacuate = |is_on| TrafficChange::Evacuate { domain: domain.clone(), is_on };
    let other = |version| TrafficChange::Configure { version, text: Bytes::from_static(b"other") };
    let (applied, unchanged) = (TrafficEffect::Applied, TrafficEffect::Unchanged);
    let cases = [
        Case { change: configure(7), effect: applied, version: Some(7), evacuated: 0 },
        Case { change: configure(7), effect: unchanged, version: Some(7), evacuated: 0 },
        Case { change: configure(3), effect: unchanged, version: Some(7), evacuated: 0 },
        Case { change: other(7), effect: unchanged, version: Some(7), evacuated: 0 },
        Case { change: evacuate(true), effect: applied, version: Some(7), evacuated: 1 },
        Case { change: evacuate(true), effect: unchanged, version: Some(7), evacuated: 1 },
        Case { change: configure(9), effect: applied, version: Some(9), evacuated: 1 },
        Case { change: evacuate(false), effect: applied, version: Some(9), evacuated: 0 },
    ];
    let mut deployment = Deployment::started(1, 0);
    deployment.cluster.wait_until("five voters", |_| deployment.voters() == VMS);
    for (index, case) in cases.iter().enumerate() {
        let at = index % VMS;
        let outcome = deployment.change(at, case.change.clone()).expect("decided");
        assert_eq!((outcome.effect, outcome.version), (case.effect, case.version), "{index}");
        let evacuated = deployment.cluster.node(at).expect("runs");
        let catching = evacuated.catch_up();
        deployment.cluster.world.run_until(catching).expect("a quorum answers");
        let count = evacuated.read(|state| state.traffic().evacuated().len());
        assert_eq!(count, case.evacuated, "{index}");
    }
    let lost: Vec<usize> = (0..2).collect();
    deployment.lose_power_everywhere(&lost, Duration::from_secs(1));
    deployment.acknowledged = 9;
    deployment.check_after_recovery();
}

impl Deployment {
    /// Waits until reads are confirmed again, and checks what they return.
    fn check_after_recovery(&self) {
        self.cluster.wait_until("a leader", |c| c.leader().is_some());
        self.cluster.world.run_for(Duration::from_secs(3));
        self.check_reads();
    }
}

/// Loses disks, power and links at random, but never more at once than five VMs tolerate, and with
/// enough time in between for a new member to become a voter.
fn run_history(seed: u64) {
    let mut deployment = Deployment::started(seed, 2);
    deployment.acknowledge(ACKNOWLEDGED_WITHIN);
    for _ in 0..6 {
        let down = Duration::from_millis(300 + deployment.random.below(3_000));
        match deployment.random.below(6) {
            0 => {
                let lost = deployment.choose_running(2);
                deployment.acknowledge(ACKNOWLEDGED_WITHIN);
                deployment.lose_power_everywhere(&lost, down);
            }
            1 => {
                let at = deployment.choose_running(1)[0];
                deployment.acknowledge(ACKNOWLEDGED_WITHIN);
                deployment.replace_disk(at, down);
            }
            2 => deployment.lose_power_everywhere(&[], down),
            3 => {
                let killed = deployment.choose_running(2);
                killed.iter().for_each(|at| deployment.cluster.kill(*at));
                deployment.cluster.world.run_for(down);
                killed.iter().for_each(|at| deployment.cluster.start(*at));
            }
            4 => {
                let partitioned = deployment.choose_running(2);
                let all = (0..deployment.cluster.vms.len()).filter(|i| !partitioned.contains(i));
                let others: Vec<_> = all.map(address).collect();
                partitioned.iter().for_each(|at| deployment.link.isolate(address(*at), &others));
                deployment.cluster.world.run_for(down);
                // If the leader is among the partitioned VMs, an election is due first.
                deployment.acknowledge(RECOVERED_WITHIN);
                deployment.link.heal_all();
            }
            _ => {
                // Until the followers have synced, the leader may be the only one with the entry.
                let leader = deployment.cluster.leader();
                deployment.acknowledge(ACKNOWLEDGED_WITHIN);
                if let Some(leader) = leader {
                    deployment.replace_disk(leader, down);
                }
            }
        }
        deployment.acknowledge(RECOVERED_WITHIN);
        deployment.check_reads();
        // A VM that came back has four seconds before another may be lost.
        deployment.cluster.world.run_for(Duration::from_secs(4));
    }
    assert_eq!(deployment.cluster.events.count("control.log.founded"), 1, "seed {seed}");
}

#[test]
fn no_history_of_losses_reverts_an_acknowledged_change() {
    if let Ok(seed) = env::var("GULLGLADE_SEED") {
        return run_history(seed.parse().expect("a number"));
    }
    let count = env::var("GULLGLADE_HISTORIES").ok();
    let count = count.map_or(DEFAULT_HISTORIES, |count| count.parse().expect("a number"));
    for seed in 0..count {
        let result = std::panic::catch_unwind(|| run_history(seed));
        assert!(result.is_ok(), "reproduce it with GULLGLADE_SEED={seed}");
    }
}

#[test]
fn voters_started_simultaneously_elect_a_leader_in_the_first_term() {
    // Guards against split votes when all processes start at the same moment. Five voters start
    // within a millisecond and campaign within a round trip of each other; each is promised enough
    // pre-votes and votes for itself, for three terms. Their timeouts must differ by more than a
    // round trip.
    let times = election_times(0);
    let (median, longest) = (times[times.len() / 2], times[times.len() - 1]);
    assert!(median < Duration::from_millis(600), "{times:?}");
    assert!(longest < Duration::from_millis(1_000), "{times:?}");
}
