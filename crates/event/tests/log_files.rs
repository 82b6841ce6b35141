//! Log files of a process: levels per module, rotation and the filter on library records. A
//! separate program, since a process has one logger.

use {
    gullglade_event::{
        EventDraft, EventLog, EventRecord, EventSink, Level, LogOutput, LogSettings,
    },
    gullglade_units::{HybridClock, ProcessContext, VmName},
    std::{fs, path::Path, rc::Rc},
};

const FILE_BYTES: u64 = 8_192;
const KEPT_FILES: usize = 3;

fn lines(folder: &Path) -> Vec<String> {
    let files: Vec<_> = fs::read_dir(folder).unwrap().map(|f| f.unwrap().path()).collect();
    assert!(files.len() <= KEPT_FILES + 1, "{files:?}");
    let text: String = files.iter().map(|path| fs::read_to_string(path).unwrap()).collect();
    assert!(text.len() as u64 <= (FILE_BYTES + 1_024) * (KEPT_FILES as u64 + 1));
    text.lines().map(str::to_owned).collect()
}

#[test]
fn files_rotate_and_contain_only_enabled_levels() {
    let folder = tempfile::tempdir().unwrap();
    let settings: LogSettings = "info, request=warn, backend=debug".parse().unwrap();
    let handle = settings
        .output(LogOutput::Folder(folder.path().to_owned()))
        .file_bytes(FILE_BYTES)
        .kept_files(KEPT_FILES)
        .start()
        .unwrap();
    let vm = VmName::try_from("puget-1").unwrap();
    let hybrid = Rc::new(HybridClock::default());
    let log = EventLog::new(vm, hybrid, ProcessContext::system(), 10);

    for number in 0..2_000 {
        log.emit(EventDraft::new("config.in_force").field("index", number));
    }
    log.emit(EventDraft::new("request.answered"));
    log.emit(EventDraft::new("request.failed").level(Level::Warn));
    log.emit(EventDraft::new("backend.renewed").level(Level::Debug));
    log.emit(EventDraft::new("config.checked").level(Level::Debug));
    log::info!(target: "library", "the prompt was: quote 400 t of ballast");
    log::warn!(target: "library", "reset\nstamp=1.0000 vm=forged level=info kind=forged");
    handle.flush();

    let lines = lines(folder.path());
    let kinds: Vec<String> = lines
        .iter()
        .filter_map(|line| EventRecord::try_from(line.as_str()).ok())
        .map(|event| event.kind)
        .collect();
    let has = |kind: &str| kinds.iter().any(|k| k == kind);
    assert!(has("config.in_force") && has("request.failed") && has("backend.renewed"));
    assert!(!has("request.answered") && !has("config.checked") && !has("forged"));
    assert!(kinds.len() < 2_000, "the oldest files must have been removed");
    let library_lines: Vec<&String> = lines.iter().filter(|l| l.contains("library=")).collect();
    assert_eq!(library_lines.len(), 1, "{library_lines:?}");
    assert!(library_lines[0].contains(r#"message="reset\nstamp=1.0000 vm=forged"#));
    assert_eq!(lines.len(), kinds.len() + 1);
}

#[test]
fn invalid_levels_are_rejected() {
    let error = "info, request=loud".parse::<LogSettings>().unwrap_err().to_string();
    assert!(error.contains("write for example"), "{error}");
}
