//! Claim group requests and records, and their validation.

use {
    super::refusal::{
        DuplicateAddressSnafu, DuplicateVmSnafu, EmptySnafu, GroupRefusal, NoAddressSnafu,
        NotLeavingSnafu, TooFarApartSnafu, TooManySnafu, UnknownRegionSnafu,
    },
    crate::{change::check_author, entry::LogIndex},
    gullglade_document::ServiceDocument,
    gullglade_units::{ChangeId, RegionName, VmName, WallMillis},
    serde::{Deserialize, Serialize},
    snafu::ensure,
    std::{collections::BTreeSet, fmt, net::SocketAddr},
};

/// The version of a region's claim group: 0 before the first change, incremented by each accepted
/// change.
pub type GroupEpoch = u64;

/// The maximum number of members. Seven members survive the loss of three; every claim asks all of
/// them.
pub const MAX_GROUP_MEMBERS: usize = 7;

/// A process that holds claims.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimMember {
    /// The VM on which it runs.
    pub vm: VmName,
    /// The region of the VM. Outside of the group's region it holds claims without their answers.
    pub region: RegionName,
    /// The address on which it accepts peer sessions.
    pub address: SocketAddr,
}

/// A compare-and-set request: if the group of `region` is at epoch `base`, replace its members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRequest {
    /// The operator's id for this change. A resend carries the same id.
    pub id: ChangeId,
    /// The region on whose claims the group decides.
    pub region: RegionName,
    /// The epoch on which the change is based.
    pub base: GroupEpoch,
    /// The new members, in the operator's order.
    pub members: Vec<ClaimMember>,
    /// The VMs of the preceding epoch that are destroyed and will never vote again.
    pub retired: Vec<VmName>,
    /// The author of the change.
    pub author: String,
}

/// The current claim group of a region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// The region on whose claims it decides.
    pub region: RegionName,
    /// Its epoch, starting from 1.
    pub epoch: GroupEpoch,
    /// The leader's wall time when it appended the change. No process knew of the epoch before
    /// that.
    pub created: WallMillis,
    /// The members.
    pub members: Vec<ClaimMember>,
    /// The members of the preceding epoch.
    pub previous: Vec<ClaimMember>,
    /// The VMs of the preceding epoch that are destroyed.
    pub retired: Vec<VmName>,
    /// The operator's id for the change.
    pub id: ChangeId,
    /// The author of the change.
    pub author: String,
    /// The index of the log entry that carries the change.
    pub index: LogIndex,
}

/// The outcome of a change to a claim group, decided when the log entry is applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupOutcome {
    /// The change took effect.
    Accepted(GroupRecord),
    /// The group was not at the epoch on which the change was based.
    Conflict(GroupConflict),
    /// The change was based on the current epoch, but its members must not follow that epoch.
    Refused(GroupRefusal),
}

/// A change that was not accepted because another one preceded it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupConflict {
    /// The region.
    pub region: RegionName,
    /// The epoch on which the change was based.
    pub base: GroupEpoch,
    /// The current group, or `None` if the region has none.
    pub winner: Option<GroupRecord>,
}

impl fmt::Display for GroupConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the change was made from epoch {} but ", self.base)?;
        match &self.winner {
            Some(winner) => write!(
                f,
                "the claim group of {} stands at epoch {}, which change {} of {} made; read it \
                 with `gladectl claims show`, and apply your change to it with --base {}",
                self.region, winner.epoch, winner.id, winner.author, winner.epoch
            ),
            None => write!(f, "{} has no claim group yet; set it with --base 0", self.region),
        }
    }
}

impl GroupRequest {
    /// Validates everything that does not depend on the current state.
    pub fn check(&self) -> Result<(), GroupRefusal> {
        let count = self.members.len();
        ensure!(count > 0, EmptySnafu);
        ensure!(count <= MAX_GROUP_MEMBERS, TooManySnafu { count });
        let (mut vms, mut addresses) = (BTreeSet::new(), BTreeSet::new());
        for member in &self.members {
            let (vm, address) = (&member.vm, member.address);
            ensure!(vms.insert(vm), DuplicateVmSnafu { vm: vm.clone() });
            ensure!(addresses.insert(address), DuplicateAddressSnafu { address });
            let is_reachable = !address.ip().is_unspecified() && address.port() != 0;
            ensure!(is_reachable, NoAddressSnafu { vm: vm.clone(), address });
        }
        Ok(())
    }

    /// Checks that the document of some service allows the region, before the change is proposed.
    ///
    /// This is not done when the entry is applied: two versions of the program may parse a document
    /// differently, and would then decide differently about the same entry.
    pub(crate) fn check_documents<'a>(
        &self,
        texts: impl Iterator<Item = &'a str>,
    ) -> Result<(), GroupRefusal> {
        let mut documents = texts.filter_map(|text| ServiceDocument::try_from(text).ok());
        let is_allowed = documents.any(|document| document.regions.contains(&self.region));
        ensure!(is_allowed, UnknownRegionSnafu { region: self.region.clone() });
        Ok(())
    }

    /// Checks that the members may follow those of `current`.
    ///
    /// Only one VM may change at a time. Claims are copied from one epoch to the next, and enough
    /// members of the preceding epoch must be available for the copy even if one of them is lost.
    /// If two changed at once, one further loss would leave the whole group without the earlier
    /// keys.
    pub(crate) fn check_transition(
        &self,
        current: Option<&GroupRecord>,
    ) -> Result<(), GroupRefusal> {
        let previous = current.map_or(&[][..], |record| &record.members);
        for vm in &self.retired {
            let is_leaving =
                find_vm(previous, vm).is_some() && find_vm(&self.members, vm).is_none();
            ensure!(is_leaving, NotLeavingSnafu { vm: vm.clone(), base: self.base });
        }
        if previous.is_empty() {
            return Ok(());
        }
        let count_absent = |members: &[ClaimMember], others: &[ClaimMember]| {
            members.iter().filter(|member| find_vm(others, &member.vm).is_none()).count()
        };
        let joining = count_absent(&self.members, previous);
        let leaving = count_absent(previous, &self.members);
        let is_moved = |member: &&ClaimMember| {
            find_vm(previous, &member.vm).is_some_and(|old| old.address != member.address)
        };
        let moved = self.members.iter().filter(is_moved).count();
        let region = self.region.clone();
        ensure!(
            joining.max(leaving) + moved <= 1,
            TooFarApartSnafu { region, base: self.base, joining, leaving, moved }
        );
        Ok(())
    }

    /// Builds the record that this change creates, at `index` of the log and the leader's time
    /// `created`.
    pub(crate) fn record(
        &self,
        current: Option<&GroupRecord>,
        index: LogIndex,
        created: WallMillis,
    ) -> GroupRecord {
        GroupRecord {
            region: self.region.clone(),
            epoch: self.base + 1,
            created,
            members: self.members.clone(),
            previous: current.map(|record| record.members.clone()).unwrap_or_default(),
            retired: self.retired.clone(),
            id: self.id.clone(),
            author: self.author.clone(),
            index,
        }
    }

    /// Checks the length of the author's name.
    pub(crate) fn check_author(&self) -> Result<(), crate::change::RequestError> {
        check_author(&self.author)
    }
}

fn find_vm<'a>(members: &'a [ClaimMember], vm: &VmName) -> Option<&'a ClaimMember> {
    members.iter().find(|member| member.vm == *vm)
}
