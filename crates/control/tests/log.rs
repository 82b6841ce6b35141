//! The on-disk log under faults: what is recovered, what is refused, and with which remedy.

mod support;

use {
    bytes::Bytes,
    futures::executor::block_on,
    gullglade_control::{
        Ballot, ClusterId, Command, FOLDER_FORMAT, FileFolder, FolderIdentity, LogEntry, LogError,
        LogIndex, LogRecord, LogStore, MemberId, Membership, RecoveredLog, SnapshotImage, Term,
    },
    gullglade_units::{SeededRandom, VmName, WallMillis, encode},
    std::rc::Rc,
    support::disk::FakeDisk,
};

fn vm(name: &str) -> VmName {
    VmName::try_from(name).expect("a VM name")
}

fn entry(index: u64, term: u64) -> LogEntry {
    LogEntry {
        index: LogIndex(index),
        term: Term(term),
        wall: WallMillis(index),
        command: Command::Noop,
    }
}

fn ballot(term: u64) -> Ballot {
    Ballot { term: Term(term), vote: Some(MemberId(7)) }
}

async fn open(disk: &Rc<FakeDisk>) -> Result<(LogStore, RecoveredLog), LogError> {
    open_as(disk, "prod", "vm-a").await
}

async fn open_as(
    disk: &Rc<FakeDisk>,
    cluster: &str,
    name: &str,
) -> Result<(LogStore, RecoveredLog), LogError> {
    let random = SeededRandom::new(1);
    let identity = FolderIdentity::open(&**disk, cluster, &vm(name), &random, false).await?;
    LogStore::open(Rc::clone(disk) as _, &identity, false).await
}

/// Creates a disk with a ballot and entries 1 to 4, each appended separately.
async fn four_entries() -> Rc<FakeDisk> {
    let disk = FakeDisk::new();
    let (mut store, _) = open(&disk).await.expect("a new folder");
    store.append(&[LogRecord::Ballot(ballot(3))]).await.expect("appends");
    for index in 1..=4 {
        store.append(&[LogRecord::Entry(entry(index, 3))]).await.expect("appends");
    }
    disk
}

fn last_index(log: &RecoveredLog) -> u64 {
    log.entries.last().map_or(0, |e| e.index.0)
}

#[test]
fn synced_records_survive_a_power_loss() {
    block_on(async {
        let disk = four_entries().await;
        disk.lose_power(&SeededRandom::new(2));
        let (mut store, log) = open(&disk).await.expect("opens");
        assert_eq!((log.ballot, last_index(&log), log.doubtful), (ballot(3), 4, false));
        store.append(&[LogRecord::Entry(entry(3, 4))]).await.expect("appends");
        let (_, log) = open(&disk).await.expect("opens");
        assert_eq!(log.entries, vec![entry(1, 3), entry(2, 3), entry(3, 4)]);
    });
}

#[test]
fn damaged_tail_is_removed_and_raises_doubt_only_if_it_may_have_been_acknowledged() {
    // Guards against a wrong classification of the last record after an interrupted append or a
    // flipped bit. A shortened record cannot have been synced. A damaged record of full length may
    // have been, so the member is doubtful until it has caught up.
    struct Case {
        name: &'static str,
        damage: fn(&FakeDisk, &str, usize),
        entries: u64,
        doubtful: bool,
    }
    let cases = [
        Case {
            name: "half a record",
            damage: |disk, file, _| disk.append_unsynced(file, &[1, 2, 3, 4, 5]),
            entries: 4,
            doubtful: false,
        },
        Case {
            name: "zeros after the last record",
            damage: |disk, file, _| disk.append_unsynced(file, &[0; 64]),
            entries: 4,
            doubtful: false,
        },
        Case {
            name: "blocks written out of order",
            damage: |disk, file, _| disk.append_unsynced(file, &[[0; 32], [7; 32]].concat()),
            entries: 4,
            doubtful: true,
        },
        Case {
            name: "flipped bit in the last record",
            damage: |disk, file, size| disk.flip_bit(file, size - 1),
            entries: 3,
            doubtful: true,
        },
    ];
    for case in cases {
        block_on(async {
            let disk = four_entries().await;
            let file = disk.file("log-");
            (case.damage)(&disk, &file.name, file.size as usize);
            for restart in 0..2 {
                let (_, log) = open(&disk).await.expect("opens");
                let found = (last_index(&log), log.doubtful);
                assert_eq!(found, (case.entries, case.doubtful), "{}, {restart}", case.name);
            }
            let (mut store, _) = open(&disk).await.expect("opens");
            store.append(&[LogRecord::Doubt(false)]).await.expect("appends");
            let (_, log) = open(&disk).await.expect("opens");
            assert!(!log.doubtful, "{}", case.name);
        });
    }
}

#[test]
fn damaged_or_foreign_folder_is_refused_with_a_remedy() {
    // Guards against starting with a folder that was damaged, exchanged or written by a newer
    // version, which would forget accepted changes or votes.
    struct Case {
        name: &'static str,
        damage: fn(&FakeDisk),
        open_as: (&'static str, &'static str),
        remedy: &'static str,
    }
    let own = ("prod", "vm-a");
    let cases = [
        Case {
            name: "flipped bit in the middle",
            damage: |disk| {
                let file = disk.file("log-");
                disk.flip_bit(&file.name, file.size as usize / 2);
            },
            open_as: own,
            remedy: "gladectl control replace",
        },
        Case {
            name: "short read",
            damage: |disk| {
                let file = disk.file("log-");
                *disk.faults.short_read.borrow_mut() = Some((file.name, 19));
            },
            open_as: own,
            remedy: "check the disk",
        },
        Case {
            name: "another VM's folder",
            damage: |_| {},
            open_as: ("prod", "vm-b"),
            remedy: "--data-dir",
        },
        Case {
            name: "another deployment's folder",
            damage: |_| {},
            open_as: ("test", "vm-a"),
            remedy: "--data-dir",
        },
        Case {
            name: "log segment missing",
            damage: |disk| disk.remove_file(&disk.file("log-").name),
            open_as: own,
            remedy: "gladectl control replace",
        },
        Case {
            name: "identity missing",
            damage: |disk| disk.remove_file("identity"),
            open_as: own,
            remedy: "gladectl control replace",
        },
        Case {
            name: "identity damaged",
            damage: |disk| disk.flip_bit("identity", 30),
            open_as: own,
            remedy: "gladectl control replace",
        },
    ];
    for case in cases {
        block_on(async {
            let disk = four_entries().await;
            (case.damage)(&disk);
            let error = open_as(&disk, case.open_as.0, case.open_as.1).await.err();
            let message = error.map_or_else(String::new, |e| e.to_string());
            assert!(message.contains(case.remedy), "{}: {message:?}", case.name);
        });
    }
}

#[test]
fn newer_folder_format_is_refused() {
    block_on(async {
        let disk = FakeDisk::new();
        let payload = encode(&(FOLDER_FORMAT + 1));
        let length = (payload.len() as u32).to_le_bytes();
        let mut bytes = length.to_vec();
        bytes.extend_from_slice(&crc32fast::hash(&length).to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
        bytes.extend_from_slice(&payload);
        bytes.extend_from_slice(b"END\n");
        gullglade_control::DataFolder::append(&*disk, "identity", bytes).await.expect("appends");
        let message = open(&disk).await.err().map_or_else(String::new, |e| e.to_string());
        assert!(message.contains("start the newer version"), "{message:?}");
    });
}

#[test]
fn full_disk_loses_no_synced_records() {
    // Guards against losing records when an append fails for lack of space. Half of the record was
    // written; the torn record is removed at the next start.
    block_on(async {
        let disk = four_entries().await;
        let (mut store, _) = open(&disk).await.expect("opens");
        disk.faults.free_space.set(Some(10));
        let error = store.append(&[LogRecord::Entry(entry(5, 3))]).await.err();
        let message = error.map_or_else(String::new, |e| e.to_string());
        assert!(message.contains("free space"), "{message:?}");
        disk.faults.free_space.set(None);
        let (mut store, log) = open(&disk).await.expect("opens");
        assert_eq!((last_index(&log), log.doubtful), (4, false));
        store.append(&[LogRecord::Entry(entry(5, 3))]).await.expect("appends");
        assert_eq!(last_index(&open(&disk).await.expect("opens").1), 5);
    });
}

const IMAGE_BYTES: usize = 3_000;

fn compacted(term: u64) -> RecoveredLog {
    let membership = Membership { cluster: ClusterId(1), members: Vec::new(), replacement: None };
    RecoveredLog {
        ballot: ballot(term),
        snapshot: Some(SnapshotImage {
            index: LogIndex(3),
            term: Term(term),
            membership,
            image: Bytes::from(vec![9; IMAGE_BYTES]),
        }),
        entries: vec![entry(4, term)],
        doubtful: false,
    }
}

#[test]
fn power_loss_at_any_step_of_a_compaction_leaves_a_consistent_log() {
    // Guards against relying on file names or contents before they are synced: power is lost after
    // each write of a compaction in turn.
    for step in 0..400 {
        block_on(async {
            let disk = four_entries().await;
            let (mut store, _) = open(&disk).await.expect("opens");
            disk.faults.free_space.set(Some(step * 10));
            let done = store.replace(&compacted(3)).await.is_ok();
            disk.faults.free_space.set(None);
            disk.lose_power(&SeededRandom::new(step as u64));
            let (_, log) = open(&disk).await.expect("opens");
            let base = log.snapshot.as_ref().map_or(0, |s| s.index.0);
            assert_eq!(last_index(&log), 4, "step {step}");
            assert!(base == 3 || !done, "step {step}");
            assert_eq!(log.entries.first().map(|e| e.index.0), Some(base + 1), "step {step}");
        });
    }
}

#[test]
fn entries_superseded_by_a_snapshot_are_discarded_at_recovery() {
    // Guards against recovering entries of a deposed leader after a newer snapshot. A snapshot of
    // term 5 was saved and a crash came before the segment was replaced, so the old segment still
    // holds entries of term 3 at and after the snapshot's index.
    block_on(async {
        let disk = four_entries().await;
        let (mut store, _) = open(&disk).await.expect("opens");
        let log = compacted(5);
        disk.faults.free_space.set(Some(IMAGE_BYTES + 50));
        assert!(store.replace(&log).await.is_err());
        disk.faults.free_space.set(None);
        let (_, log) = open(&disk).await.expect("opens");
        assert_eq!(log.snapshot.map(|s| s.term), Some(Term(5)));
        assert_eq!(log.entries, vec![]);
    });
}

#[test]
fn file_folder_is_locked_and_can_be_reopened() {
    let root = tempfile::tempdir().expect("a folder");
    let random = SeededRandom::new(1);
    block_on(async {
        let folder: Rc<FileFolder> = Rc::new(FileFolder::open(root.path()).expect("opens"));
        let message = FileFolder::open(root.path()).err().map(|e| e.to_string());
        assert!(message.is_some_and(|m| m.contains("in use by another process")));
        let identity = FolderIdentity::open(&*folder, "prod", &vm("vm-a"), &random, false)
            .await
            .expect("identity");
        let (mut store, _) = LogStore::open(folder, &identity, false).await.expect("opens");
        store.append(&[LogRecord::Entry(entry(1, 1))]).await.expect("appends");
        store.replace(&compacted(3)).await.expect("compacts");
    });
    block_on(async {
        let folder = Rc::new(FileFolder::open(root.path()).expect("opens"));
        let identity = FolderIdentity::open(&*folder, "prod", &vm("vm-a"), &random, false)
            .await
            .expect("identity");
        let (_, log) = LogStore::open(folder, &identity, false).await.expect("opens");
        assert_eq!((last_index(&log), log.ballot), (4, ballot(3)));
    });
}
