//! Which processes decide a key.

use {
    crate::ClaimDigest,
    gullglade_units::{RegionName, VmName, WallMillis},
    serde::{Deserialize, Serialize},
    std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc},
};

/// A group of replicas: one of a region's numbered groups, among which its keys are divided.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupId {
    /// The claim region.
    pub region: RegionName,
    /// Counted from zero.
    pub number: u16,
}

/// A process that holds claims of a group. It need not stand in the group's region: a third
/// replica in a neighbouring region lets a region of two VMs lose one of them. Such a replica holds
/// digests and votes, never an answer, because the service may not allow its data there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaMember {
    /// The VM's name.
    pub vm: VmName,
    /// Its region.
    pub region: RegionName,
    /// Its address for peer sessions.
    pub address: SocketAddr,
}

/// The members of a group during one epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaGroup {
    /// Which group.
    pub id: GroupId,
    /// Counts the changes of membership, from 1.
    pub epoch: u64,
    /// When the epoch was decided upon; unknown where the members come from flags.
    pub created: Option<WallMillis>,
    /// The members, each VM once.
    pub members: Vec<ReplicaMember>,
    /// The members of the epoch before; none in the first.
    pub previous: Vec<ReplicaMember>,
    /// VMs of the epoch before that the operator has destroyed: they will never vote again, so
    /// nobody waits for them to hear of this epoch. Needed where too few others are left, as when
    /// one VM of two is lost.
    pub retired: Vec<VmName>,
}

impl ReplicaGroup {
    /// The first epoch of a group.
    pub fn first(id: GroupId, created: Option<WallMillis>, members: Vec<ReplicaMember>) -> Self {
        Self { id, epoch: 1, created, members, previous: Vec::new(), retired: Vec::new() }
    }

    /// The next epoch, with `members`.
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

    /// The same epoch, with VMs that the operator has destroyed.
    pub fn with_retired(mut self, retired: Vec<VmName>) -> Self {
        self.retired = retired;
        self
    }

    /// The fewest members of which any two such sets share one: a majority. With two VMs that is
    /// both of them.
    pub fn quorum(&self) -> usize {
        quorum_size_of(self.members.len())
    }

    /// The fewest members without which the others have no quorum.
    pub fn blocking_size(&self) -> usize {
        blocking_size_of(self.members.len())
    }

    /// The place of `vm` among the members.
    pub(crate) fn position(&self, vm: &VmName) -> Option<usize> {
        position_in(&self.members, vm)
    }
}

pub(crate) fn quorum_size_of(members: usize) -> usize {
    members / 2 + 1
}

/// How many of `members` have to be sealed before the epoch after theirs begins. A quorum, not
/// just a blocking set: a member that restarts and has only old configuration must hear of the
/// seal from whichever blocking set of the others it asks. Zero of zero.
pub(crate) fn seal_size_of(members: usize) -> usize {
    quorum_size_of(members).min(members)
}

/// Zero of zero: the first epoch waits for nobody of an epoch before.
pub(crate) fn blocking_size_of(members: usize) -> usize {
    (members + 1).saturating_sub(quorum_size_of(members))
}

pub(crate) fn position_in(members: &[ReplicaMember], vm: &VmName) -> Option<usize> {
    members.iter().position(|member| member.vm == *vm)
}

/// Knows the groups of every region, from the accepted configuration.
pub trait GroupSource {
    /// The group of `region` that decides `digest`; `None` where the region has none.
    fn group(&self, region: &RegionName, digest: &ClaimDigest) -> Option<Rc<ReplicaGroup>>;
}

/// Groups held in memory and replaced as configurations come into force.
#[derive(Default)]
pub struct GroupTable {
    groups: RefCell<BTreeMap<GroupId, Rc<ReplicaGroup>>>,
}

impl GroupTable {
    /// An empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Puts `group` in place of an earlier epoch of it. Says whether it did: an epoch never goes
    /// back. The *number* of a region's groups must not change while claims are held, because a
    /// key would move to replicas that know nothing of it.
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
