//! Tests of the weight store's rate limit across successive holders, and property tests over random
//! schedules of lease holders.

mod support;

use {
    gullglade_order::{OrderSettings, TokenBucket},
    gullglade_units::MonotonicTime,
    quickcheck::{Gen, QuickCheck, TestResult},
    std::time::Duration,
    support::{EngineRecord, OrderWorld, SECOND, load},
};

const RATE: u64 = 1_000;
const BURST: u64 = 20_000;

/// Number of random schedules.
const SCHEDULES: u64 = 500;

fn quick_check(seed: u64) -> QuickCheck {
    println!("seed {seed}");
    QuickCheck::new().rng(Gen::from_size_and_seed(60, seed)).tests(SCHEDULES).max_tests(SCHEDULES)
}

/// Returns a description of the first time span in which more bytes were ordered than the store
/// provides.
fn excess(records: &[EngineRecord]) -> Option<String> {
    records.iter().enumerate().find_map(|(first, start)| {
        let mut bytes = 0;
        records[first..].iter().find_map(|record| {
            bytes += record.bytes;
            let span = record.at.since(start.at).as_secs_f64();
            // Every order takes 55 ms to arrive, so spans are not affected by the delay.
            let allowed = BURST as f64 + RATE as f64 * (span + 0.001);
            (bytes as f64 > allowed).then(|| format!("{bytes} bytes in {span} s"))
        })
    })
}

#[test]
fn bucket_starts_empty_and_never_exceeds_its_burst() {
    let at = |seconds| MonotonicTime(Duration::from_secs(seconds));
    let mut bucket = TokenBucket::new(RATE, BURST, at(0));
    assert_eq!(bucket.take(5_000, at(0)), Some(SECOND * 5), "it starts empty");
    assert_eq!(bucket.take(BURST + 1, at(0)), None, "more than the burst");
    assert_eq!(bucket.take(BURST, at(1_000)), Some(Duration::ZERO), "full, at most the burst");
    assert_eq!(bucket.take(1_000, at(1_000)), Some(SECOND));
    bucket.refund(1_000);
    assert_eq!(bucket.take(2_000, at(1_000)), Some(SECOND * 2));
}

#[test]
fn successive_holders_stay_within_the_weight_store_rate() {
    // Guards against overload of the weight store after each change of the holder. Successive
    // holders, each with a queue of loads, must not each start with a full burst.
    fn schedule_holds(loads: Vec<(u16, u8)>) -> TestResult {
        let settings = OrderSettings::default().weight_rate(RATE).weight_burst(BURST);
        let world = OrderWorld::new(7, settings);
        let mut vm = world.vm("vm-0");
        world.world.run_for(SECOND * 30);
        for (index, (bytes, pause)) in loads.iter().enumerate() {
            let bytes = u64::from(*bytes) % BURST;
            world.start(&vm, load(&format!("load-{index}"), "checks", bytes));
            world.world.run_for(SECOND * u32::from(*pause) / 20);
            if index % 7 == 6 {
                vm.cut_off.set(true);
                world.revoke();
                vm = world.vm(&format!("vm-{index}"));
            }
        }
        world.world.run_for(SECOND * 60);
        match excess(&world.records("checks")) {
            None => TestResult::passed(),
            Some(excess) => TestResult::error(excess),
        }
    }
    quick_check(3).quickcheck(schedule_holds as fn(Vec<(u16, u8)>) -> TestResult);
}

#[test]
fn random_schedules_never_deliver_an_old_order_after_a_newer_one() {
    // Guards against an engine that obeys an old holder after a new one, under random partitions,
    // revocations, slow links and suspensions of three VMs. Replay the seed to find the cause.
    fn schedule_holds(steps: Vec<(u8, u8, u8)>) -> TestResult {
        let world = OrderWorld::new(11, OrderSettings::default());
        let vms = ["first", "second", "third"].map(|name| world.vm(name));
        for (index, (choice, vm, pause)) in steps.iter().enumerate() {
            let chosen = &vms[usize::from(*vm) % vms.len()];
            match choice % 8 {
                0..3 => chosen.cut_off.set(choice % 2 == 0),
                3 => world.revoke(),
                4 => chosen.extra_delay.set(Duration::from_millis(u64::from(*pause) * 8)),
                5 => chosen.process.set_wall_offset(i64::from(*pause) * 10),
                _ => {}
            }
            for (number, vm) in vms.iter().enumerate() {
                let engine = if index % 2 == 0 { "ignores" } else { "checks" };
                world.start(vm, load(&format!("{index}-{number}"), engine, 0));
            }
            world.world.run_for(SECOND * u32::from(*pause) / 40);
        }
        world.world.run_for(SECOND * 60);
        match world.ordering_fault() {
            None => TestResult::passed(),
            Some(ordering_fault) => TestResult::error(ordering_fault),
        }
    }
    quick_check(5).quickcheck(schedule_holds as fn(Vec<(u8, u8, u8)>) -> TestResult);
}
