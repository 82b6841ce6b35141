//! Cost of a request that crashed nothing, and of weighing many crashes.
#![allow(missing_docs, reason = "criterion's macros make undocumented functions")]

use {
    criterion::{Criterion, criterion_group, criterion_main},
    gullglade_poison::{
        CrashTracker, CrashTrackerSettings, FingerprintKey, PartFingerprint, RequestContent,
    },
    gullglade_units::{BackendName, BackendRun, Incarnation, MonotonicTime},
    std::time::Duration,
};

fn fingerprint(c: &mut Criterion) {
    let key = FingerprintKey::from([7; 32]);
    for kilobytes in [1_usize, 8, 64] {
        let body = vec![42; kilobytes << 10];
        let request = RequestContent {
            method: "POST",
            host: "host.example",
            target: "/a/b?c=d",
            credentials: b"Bearer token",
            body: &body,
        };
        c.bench_function(&format!("fingerprint of a body of {kilobytes} KB"), |bencher| {
            bencher.iter(|| key.fingerprint(&request));
        });
    }
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(millis))
}

fn parts(key: &FingerprintKey, first: u64, count: u64) -> Vec<PartFingerprint> {
    (first..first + count).map(|part| key.part_fingerprint("model-pool", part)).collect()
}

fn prompt_parts(c: &mut Criterion) {
    let key = FingerprintKey::from([7; 32]);
    let mut calm = CrashTracker::new(CrashTrackerSettings::default());
    let mut number = 0;
    c.bench_function("answer with 4 prompt parts, no crash known", |bencher| {
        bencher.iter(|| {
            number += 1;
            let parts = parts(&key, number % 500, 4);
            calm.record_parts_answered(&parts, number, at(number))
        });
    });
    let mut crashed = CrashTracker::new(CrashTrackerSettings::default());
    for request in 0..512 {
        let body = request.to_string();
        let content = key.fingerprint(&RequestContent {
            method: "POST",
            host: "host.example",
            target: "/",
            credentials: b"",
            body: body.as_bytes(),
        });
        let backend =
            BackendName::try_from(format!("i-{}", request / 64).as_str()).expect("a name");
        let run = BackendRun { backend, incarnation: Incarnation(1) };
        let now = at(1_000 + request / 64 * 1_000);
        crashed.record_parts_cut_off(&parts(&key, request % 300 * 8, 8), content, &run, now);
        crashed.record_cut_off(content, run, at(500), now);
    }
    c.bench_function("answer with 4 parts, 8 crashes of 64 requests known", |bencher| {
        bencher.iter(|| {
            number += 1;
            crashed.record_parts_answered(&parts(&key, number % 500, 4), number, at(number))
        });
    });
    c.bench_function("weighing of 8 crashes of 64 requests with 8 parts", |bencher| {
        bencher.iter(|| crashed.expire(at(10_000)));
    });
}

criterion_group!(benches, fingerprint, prompt_parts);
criterion_main!(benches);
