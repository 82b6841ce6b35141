//! Applies claim groups from the replicated configuration to the gateway.

use {
    gullglade_claim::{GroupId, ReplicaGroup, ReplicaMember},
    gullglade_control::{ClaimMember, ConfigReplica, GroupRecord, LogIndex},
    gullglade_event::{EventDraft, EventSink, Level},
    gullglade_units::{RegionName, VmName},
    std::{net::SocketAddr, rc::Rc},
};

/// Number of the only claim group of a region. The number of groups is fixed at one, because keys
/// would move between replicas if it changed.
const GROUP_NUMBER: u16 = 0;

/// Passes each claim group that takes effect to `adopt`. Never returns.
pub(crate) async fn follow_groups(
    replica: Rc<ConfigReplica>,
    events: Rc<dyn EventSink>,
    adopt: impl Fn(ReplicaGroup),
) {
    let mut last_index = LogIndex::default();
    loop {
        for record in replica.next_groups(last_index).await {
            last_index = last_index.max(record.index);
            events.emit(
                EventDraft::new("claim.group.adopted")
                    .field("claim_region", &record.region)
                    .field("epoch", record.epoch)
                    .field("members", record.members.len()),
            );
            adopt(replica_group(record));
        }
    }
}

fn replica_group(record: GroupRecord) -> ReplicaGroup {
    ReplicaGroup {
        id: GroupId { region: record.region, number: GROUP_NUMBER },
        epoch: record.epoch,
        created: Some(record.created),
        members: record.members.into_iter().map(replica_member).collect(),
        previous: record.previous.into_iter().map(replica_member).collect(),
        retired: record.retired,
    }
}

fn replica_member(member: ClaimMember) -> ReplicaMember {
    ReplicaMember { vm: member.vm, region: member.region, address: member.address }
}

/// Returns the claim group of a single gateway without control processes, which has that gateway
/// as its only member.
///
/// The creation time of the group is unknown, so after each start the gateway is treated as a
/// replica that lost its records: it accepts keys created well after the start, and refuses older
/// and opaque keys until the claim window has passed. Otherwise it could repeat an order that ran
/// before the restart.
pub(crate) fn single_member_group(
    region: RegionName,
    vm: VmName,
    address: SocketAddr,
) -> ReplicaGroup {
    let id = GroupId { region: region.clone(), number: GROUP_NUMBER };
    ReplicaGroup::first(id, None, vec![ReplicaMember { vm, region, address }])
}

/// Emits a warning that this gateway is the only member of its claim group.
pub(crate) fn emit_single_member_warning(events: &dyn EventSink, region: &RegionName) {
    events.emit(
        EventDraft::new("claim.group.alone")
            .level(Level::Warn)
            .field("claim_region", region)
            .field(
                "effect",
                "order keys older than this start, and opaque ones, are refused for a day",
            )
            .field("remedy", "run control processes and set a group with gladectl claims set"),
    );
}
