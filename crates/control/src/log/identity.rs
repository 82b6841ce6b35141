//! Whose folder it is.

use {
    super::{
        error::LogError,
        frame::{FileEnd, frame, scan},
        recovery::is_unused_segment,
        store::{
            RecoveredLog, SEGMENT_PREFIX, SNAPSHOT_PREFIX, numbered, segment_frames, segment_name,
        },
    },
    crate::{
        disk::{DataFolder, FileStat, read_checked, write_atomic},
        entry::MemberId,
    },
    gullglade_units::{RandomSource, VmName, decode, encode},
    serde::{Deserialize, Serialize},
};

/// The format of the data folder. Raise it with every change to the files that an older program
/// would misread.
pub const FOLDER_FORMAT: u32 = 3;

/// The file that says whose folder it is.
pub(crate) const IDENTITY_NAME: &str = "identity";

/// The number of the first segment.
const FIRST_SEQUENCE: u64 = 1;

/// Whose folder it is. Written once, when the folder is first used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FolderIdentity {
    /// The deployment.
    pub cluster: String,
    /// The VM.
    pub vm: VmName,
    /// The identity drawn for this folder.
    pub member: MemberId,
    /// Whether the folder was created at the first start of the deployment, so that its member
    /// may found the log. In a frame of its own; folders of format 2 have none.
    #[serde(skip)]
    pub may_found: bool,
}

impl FolderIdentity {
    /// The identity of `folder`, which must be `vm`'s of the deployment `cluster`; a new one is
    /// drawn and synced where the folder holds none.
    pub async fn open(
        folder: &dyn DataFolder,
        cluster: &str,
        vm: &VmName,
        random: &dyn RandomSource,
        may_found: bool,
    ) -> Result<Self, LogError> {
        let files = folder.list().await?;
        if let Some(stat) = files.iter().find(|f| f.name == IDENTITY_NAME) {
            let identity = read_identity(folder, stat).await?;
            identity.check(cluster, vm)?;
            return Ok(identity);
        }
        check_unused(folder, &files).await?;
        let member = MemberId::generate(random);
        let identity = Self { cluster: cluster.to_owned(), vm: vm.clone(), member, may_found };
        identity.write(folder).await?;
        Ok(identity)
    }

    /// Writes the first segment, then the identity. In this order an identity without a segment
    /// proves that someone removed the segment: the member must not start anew under an identity
    /// that others count on.
    async fn write(&self, folder: &dyn DataFolder) -> Result<(), LogError> {
        let segment = segment_frames(self.member, &RecoveredLog::default());
        write_atomic(folder, &segment_name(FIRST_SEQUENCE), segment).await?;
        let contents = [encode(&FOLDER_FORMAT), encode(self), encode(&self.may_found)];
        let chunks = contents.iter().map(|content| frame(content)).collect();
        Ok(write_atomic(folder, IDENTITY_NAME, chunks).await?)
    }

    fn check(&self, cluster: &str, vm: &VmName) -> Result<(), LogError> {
        let foreign = |what, found: &str, expected: &str| LogError::Foreign {
            what,
            found: found.to_owned(),
            expected: expected.to_owned(),
        };
        if self.cluster != cluster {
            return Err(foreign("deployment", &self.cluster, cluster));
        }
        if self.vm != *vm {
            return Err(foreign("VM", self.vm.as_str(), vm.as_str()));
        }
        Ok(())
    }
}

/// Refuses a folder that has no identity but holds more than the unused segment that a crash during
/// the first start leaves.
async fn check_unused(folder: &dyn DataFolder, files: &[FileStat]) -> Result<(), LogError> {
    for stat in files.iter().filter(|f| is_state(&f.name)) {
        let is_segment = stat.name == segment_name(FIRST_SEQUENCE);
        if !is_segment || !is_unused_segment(&read_checked(folder, stat).await?) {
            let reason = format!("{} is there but {IDENTITY_NAME} is missing", stat.name);
            return Err(LogError::Incomplete { reason });
        }
    }
    Ok(())
}

fn is_state(name: &str) -> bool {
    let prefixes = [SEGMENT_PREFIX, SNAPSHOT_PREFIX];
    prefixes.iter().any(|prefix| numbered(name, prefix).is_some())
}

async fn read_identity(
    folder: &dyn DataFolder,
    stat: &FileStat,
) -> Result<FolderIdentity, LogError> {
    let bytes = read_checked(folder, stat).await?;
    let damaged = |offset| LogError::Damaged { name: IDENTITY_NAME.to_owned(), offset };
    let frames = scan(&bytes).map_err(|e| damaged(e.offset))?;
    let format = frames.payloads.first().ok_or_else(|| damaged(0))?;
    check_format(format)?;
    let unreadable = || damaged(frames.valid_bytes);
    if frames.end != FileEnd::Whole {
        return Err(unreadable());
    }
    let payload = frames.payloads.get(1).ok_or_else(unreadable)?;
    let mut identity: FolderIdentity = decode(payload).map_err(|_| unreadable())?;
    if let Some(payload) = frames.payloads.get(2) {
        identity.may_found = decode(payload).map_err(|_| unreadable())?;
    }
    Ok(identity)
}

/// Refuses the format of a newer program.
fn check_format(payload: &[u8]) -> Result<(), LogError> {
    match decode::<u32>(payload) {
        Ok(found) if found <= FOLDER_FORMAT => Ok(()),
        Ok(found) => Err(LogError::Newer { found, known: FOLDER_FORMAT }),
        Err(_) => Err(LogError::Damaged { name: IDENTITY_NAME.to_owned(), offset: 0 }),
    }
}
