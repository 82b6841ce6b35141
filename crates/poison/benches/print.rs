//! Cost of fingerprinting a request that crashed nothing.
#![allow(missing_docs, reason = "criterion's macros make undocumented functions")]

use {
    criterion::{Criterion, criterion_group, criterion_main},
    gullglade_poison::{FingerprintKey, RequestContent},
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

criterion_group!(benches, fingerprint);
criterion_main!(benches);
