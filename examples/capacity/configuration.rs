//! Documents and workspaces in the memory of a gateway.

use {
    crate::{
        fit::print_fit,
        usage::{processor_time, resident},
    },
    gullglade_document::{ConfigView, ServiceDocument, TokenHash},
    std::{fmt::Write, hint::black_box, rc::Rc},
};

/// Workspaces in one document; each names two tokens.
const WORKSPACES_EACH: usize = 10;

pub(crate) fn service_name(service: usize) -> String {
    format!("service-{service:05}")
}

/// The document of a service; `version` makes its texts differ.
pub(crate) fn text(service: usize, workspaces: usize, version: u64) -> String {
    let mut text = format!(
        "# version {version}\nservice = \"{}\"\nregions = [\"puget\", \"columbia\"]\n\
         [[models]]\nname = \"model-{}\"\n",
        service_name(service),
        service % 26
    );
    for workspace in 0..workspaces {
        let hash = |key: &str| TokenHash::of(&format!("{service}.{workspace}.{key}")).to_string();
        writeln!(
            text,
            "[[workspaces]]\nname = \"workspace-{workspace}\"\ntoken_sha256 = [\"{}\", \"{}\"]",
            hash("a"),
            hash("b")
        )
        .expect("a String takes every write");
    }
    text
}

pub(crate) fn run() {
    println!("documents of {WORKSPACES_EACH} workspaces with two tokens each");
    println!("workspaces  text kB  resident kB  parse all ms  index all ms");
    let mut memory = Vec::new();
    let mut rebuild = Vec::new();
    for workspaces in [1_000_usize, 4_000, 8_900, 17_800] {
        let texts: Vec<String> =
            (0..workspaces / WORKSPACES_EACH).map(|s| text(s, WORKSPACES_EACH, 0)).collect();
        let bytes: usize = texts.iter().map(String::len).sum();
        let before = resident();
        let start = processor_time();
        let documents: Vec<Rc<ServiceDocument>> = texts
            .iter()
            .map(|text| Rc::new(ServiceDocument::try_from(text.as_str()).expect("accepted")))
            .collect();
        let parsed = processor_time();
        let view = ConfigView::new(1, documents.iter().cloned());
        let indexed = processor_time();
        let grown = resident().saturating_sub(before) as f64;
        let millis =
            |from: std::time::Duration, to: std::time::Duration| (to - from).as_secs_f64() * 1e3;
        println!(
            "{workspaces:10} {:8.0} {:12.0} {:13.1} {:13.1}",
            bytes as f64 / 1e3,
            grown / 1e3,
            millis(start, parsed),
            millis(parsed, indexed)
        );
        memory.push((workspaces as f64, grown));
        rebuild.push((workspaces as f64, millis(parsed, indexed) * 1e3));
        // Kept to the end: memory that is freed and used again would not show as grown.
        std::mem::forget((black_box(view), documents, texts));
    }
    print_fit("resident B", "workspaces", &memory);
    print_fit("µs to index all after a change", "workspaces", &rebuild);
}
