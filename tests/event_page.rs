//! `docs/operators/timeline.md` lists the kinds of events that the code emits.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

const PAGE: &str = include_str!("../docs/operators/timeline.md");

/// The first words of kinds.
const FAMILIES: [&str; 15] = [
    "answer", "backend", "change", "claim", "config", "control", "forward", "gateway", "node",
    "operator", "order", "peer", "request", "stream", "traffic",
];

/// Methods between processes; they look like kinds.
const METHODS: [&str; 9] = [
    "backend.delta",
    "backend.region",
    "backend.sync",
    "claim.copy",
    "claim.step",
    "config.fetch",
    "config.report",
    "config.status",
    "forward.call",
];

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Texts between two `quote`s of `text` that look like kinds.
fn kinds(text: &str, quote: char) -> BTreeSet<String> {
    let is_kind = |text: &&str| {
        let family = text.split('.').next().unwrap_or_default();
        let plain = |c: char| c.is_ascii_lowercase() || matches!(c, '.' | '_' | '-');
        FAMILIES.contains(&family) && text.contains('.') && text.chars().all(plain)
    };
    text.split(quote).filter(is_kind).map(str::to_owned).collect()
}

#[test]
fn the_page_lists_the_kinds_that_the_code_emits() {
    // Symptom: an operator looks up a kind and does not find it, or filters by one that is gone.
    // Sequence: an event is added or renamed.
    // Cause: a page that nothing compares with the code.
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    sources(&root.join("src"), &mut files);
    sources(&root.join("platform/src"), &mut files);
    for entry in fs::read_dir(root.join("crates")).unwrap() {
        sources(&entry.unwrap().path().join("src"), &mut files);
    }
    let emitted: BTreeSet<String> =
        files.iter().flat_map(|file| kinds(&fs::read_to_string(file).unwrap(), '"')).collect();
    assert!(emitted.len() > 40, "the sources were not understood: {emitted:?}");
    let emitted: BTreeSet<String> =
        emitted.into_iter().filter(|kind| !METHODS.contains(&kind.as_str())).collect();
    let listed = kinds(PAGE, '`');
    let missing: Vec<_> = emitted.difference(&listed).collect();
    assert!(missing.is_empty(), "docs/operators/timeline.md does not list {missing:?}");
    let gone: Vec<_> = listed.difference(&emitted).collect();
    assert!(gone.is_empty(), "docs/operators/timeline.md lists {gone:?}, which nothing emits");
}
