//! The identity file, which binds a data folder to its VM and deployment.

use {
    super::{
        error::LogError,
        frame::{FileEnd, frame, scan},
        recovery::is_unused_segment,
        store::{
            RecoveredLog, SEGMENT_PREFIX, SNAPSHOT_PREFIX, encode_segment, file_number,
            segment_name,
        },
    },
    crate::{
        disk::{DataFolder, FileStat, read_checked, write_atomic},
        entry::MemberId,
    },
    gullglade_units::{RandomSource, VmName, decode, encode},
    serde::{Deserialize, Serialize},
};

/// The format version of the data folder. It must be incremented with every change to the files
/// that an older version of the program would misread.
pub const FOLDER_FORMAT: u32 = 3;

/// The name of the identity file.
pub(crate) const IDENTITY_NAME: &str = "identity";

/// The sequence number of the first segment.
const FIRST_SEQUENCE: u64 = 1;

/// The identity of a data folder, written once when the folder is first used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FolderIdentity {
    /// The name of the deployment.
    pub cluster: String,
    /// The VM to which the folder belongs.
    pub vm: VmName,
    /// The random identity of the folder's member.
    pub member: MemberId,
    /// Whether the folder was created at the first start of the deployment, so that its member may
    /// found the log. It is stored in a separate frame, which folders of format 2 lack.
    #[serde(skip)]
    pub may_found: bool,
}

impl FolderIdentity {
    /// Reads the identity of `folder` and checks that it belongs to `vm` in the deployment
    /// `cluster`. If the folder has no identity, draws and syncs a new one.
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

    /// Writes the first segment, then the identity. With this order, an identity without a segment
    /// proves that the segment was removed. The member must then not start with an empty log, since
    /// other members rely on what this identity has acknowledged.
    async fn write(&self, folder: &dyn DataFolder) -> Result<(), LogError> {
        let segment = encode_segment(self.member, &RecoveredLog::default());
        write_atomic(folder, &segment_name(FIRST_SEQUENCE), segment).await?;
        let contents = [encode(&FOLDER_FORMAT), encode(self), encode(&self.may_found)];
        let chunks = contents.iter().map(|content| frame(content)).collect();
        Ok(write_atomic(folder, IDENTITY_NAME, chunks).await?)
    }

    fn check(&self, cluster: &str, vm: &VmName) -> Result<(), LogError> {
        let mismatch = |what, found: &str, expected: &str| LogError::Foreign {
            what,
            found: found.to_owned(),
            expected: expected.to_owned(),
        };
        if self.cluster != cluster {
            return Err(mismatch("deployment", &self.cluster, cluster));
        }
        if self.vm != *vm {
            return Err(mismatch("VM", self.vm.as_str(), vm.as_str()));
        }
        Ok(())
    }
}

/// Returns an error if a folder without an identity contains more than the unused segment that a
/// crash during the first start leaves.
async fn check_unused(folder: &dyn DataFolder, files: &[FileStat]) -> Result<(), LogError> {
    for stat in files.iter().filter(|f| is_state_file(&f.name)) {
        let is_segment = stat.name == segment_name(FIRST_SEQUENCE);
        if !is_segment || !is_unused_segment(&read_checked(folder, stat).await?) {
            let reason = format!("{} exists but {IDENTITY_NAME} is missing", stat.name);
            return Err(LogError::Incomplete { reason });
        }
    }
    Ok(())
}

fn is_state_file(name: &str) -> bool {
    let prefixes = [SEGMENT_PREFIX, SNAPSHOT_PREFIX];
    prefixes.iter().any(|prefix| file_number(name, prefix).is_some())
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
    let damaged_end = || damaged(frames.valid_bytes);
    if frames.end != FileEnd::Complete {
        return Err(damaged_end());
    }
    let payload = frames.payloads.get(1).ok_or_else(damaged_end)?;
    let mut identity: FolderIdentity = decode(payload).map_err(|_| damaged_end())?;
    if let Some(payload) = frames.payloads.get(2) {
        identity.may_found = decode(payload).map_err(|_| damaged_end())?;
    }
    Ok(identity)
}

/// Returns an error if the folder was written by a newer version of the program.
fn check_format(payload: &[u8]) -> Result<(), LogError> {
    match decode::<u32>(payload) {
        Ok(found) if found <= FOLDER_FORMAT => Ok(()),
        Ok(found) => Err(LogError::Newer { found, known: FOLDER_FORMAT }),
        Err(_) => Err(LogError::Damaged { name: IDENTITY_NAME.to_owned(), offset: 0 }),
    }
}
