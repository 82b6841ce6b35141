//! Replica groups: the processes that decide which send of a key may run.

use {
    crate::ClaimDigest,
    gullglade_units::{RegionName, VmName, WallMillis},
    serde::{Deserialize, Serialize},
    std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc},
};

/// Identifies a replica group. The keys of a region are partitioned among its numbered groups.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupId {
    /// The claim region.
    pub region: RegionName,
    /// Index of the group in its region, from zero.
    pub number: u16,
}

/// A member of a replica group. Members may be in another region than the group: a third replica in
/// a neighbouring region lets a region of two VMs tolerate the loss of one. Such a replica stores
/// digests and votes but never an answer, because the service may not allow its data there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaMember {
    /// Name of the VM.
    pub vm: VmName,
    /// Region of the VM.
    pub region: RegionName,
    /// Address for peer sessions.
    pub address: SocketAddr,
}

/// The members of a group during one epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaGroup {
    /// Identifies the group.
    pub id: GroupId,
    /// Number of the epoch, from 1. Each change of membership increments it.
    pub epoch: u64,
    /// Wall-clock time at which the epoch was decided. `None` if the members come from command-line
    /// flags.
    pub created: Option<WallMillis>,
    /// The members. Each VM occurs once.
    pub members: Vec<ReplicaMember>,
    /// The members of the previous epoch. Empty in the first epoch.
    pub previous: Vec<ReplicaMember>,
    /// VMs of the previous epoch that the operator has destroyed. They never vote again, so the new
    /// epoch begins without waiting for them to learn of it. This is needed if too few other
    /// members remain, for example after the loss of one VM of two.
    pub retired: Vec<VmName>,
}

impl ReplicaGroup {
    /// Creates the first epoch of a group.
    pub fn first(id: GroupId, created: Option<WallMillis>, members: Vec<ReplicaMember>) -> Self {
        Self { id, epoch: 1, created, members, previous: Vec::new(), retired: Vec::new() }
    }

    /// Creates the next epoch, with `members`.
    pub fn next(&self, created: WallMillis, members: Vec<ReplicaMember>) -> Self {
        let previous = self.members.clone();
        Self {
            id: self.id.clone(),
            epoch: self.epoch + 1,
            created: Some(created),
            members,
            previous,
            retired: Vec::new(),
        }
    }

    /// Sets the VMs that the operator has destroyed.
    pub fn with_retired(mut self, retired: Vec<VmName>) -> Self {
        self.retired = retired;
        self
    }

    /// Size of a quorum: a majority, so that any two quorums share a member. With two VMs, both are
    /// needed.
    pub fn quorum(&self) -> usize {
        quorum_size_of(self.members.len())
    }

    /// Size of a blocking set: the fewest members without which the others have no quorum.
    pub fn blocking_size(&self) -> usize {
        blocking_size_of(self.members.len())
    }

    /// Index of `vm` in `members`.
    pub(crate) fn position(&self, vm: &VmName) -> Option<usize> {
        position_in(&self.members, vm)
    }
}

pub(crate) fn quorum_size_of(members: usize) -> usize {
    members / 2 + 1
}

/// Number of the given members that must be sealed before the next epoch begins; zero for no
/// members. This is a quorum rather than a blocking set: a member that restarts with only an old
/// configuration must learn of the seal from whichever blocking set of the others it asks.
pub(crate) fn seal_size_of(members: usize) -> usize {
    quorum_size_of(members).min(members)
}

/// Size of a blocking set of the given number of members; zero for no members, because the first
/// epoch waits for no previous one.
pub(crate) fn blocking_size_of(members: usize) -> usize {
    (members + 1).saturating_sub(quorum_size_of(members))
}

pub(crate) fn position_in(members: &[ReplicaMember], vm: &VmName) -> Option<usize> {
    members.iter().position(|member| member.vm == *vm)
}

/// Provides the replica groups of every region, from the accepted configuration.
pub trait GroupSource {
    /// Returns the group of `region` that decides `digest`, or `None` if the region has no groups.
    fn group(&self, region: &RegionName, digest: &ClaimDigest) -> Option<Rc<ReplicaGroup>>;
}

/// An in-memory table of groups, updated as configurations come into force.
#[derive(Default)]
pub struct GroupTable {
    groups: RefCell<BTreeMap<GroupId, Rc<ReplicaGroup>>>,
}

impl GroupTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Inserts `group`, replacing an earlier epoch of it. Returns false and changes nothing if the
    /// table already has this epoch or a later one. The *number* of a region's groups must not
    /// change while claims are held, because a key would move to replicas that have no record of
    /// it.
    pub fn put(&self, group: Rc<ReplicaGroup>) -> bool {
        let mut groups = self.groups.borrow_mut();
        let newer = groups.get(&group.id).is_none_or(|held| held.epoch < group.epoch);
        if newer {
            groups.insert(group.id.clone(), group);
        }
        newer
    }
}

impl GroupSource for GroupTable {
    fn group(&self, region: &RegionName, digest: &ClaimDigest) -> Option<Rc<ReplicaGroup>> {
        let groups = self.groups.borrow();
        let first = GroupId { region: region.clone(), number: 0 };
        let last = GroupId { region: region.clone(), number: u16::MAX };
        let count = groups.range(&first..=&last).count();
        let index = digest.bucket(count)?;
        groups.range(&first..=&last).nth(index).map(|(_, group)| Rc::clone(group))
    }
}
