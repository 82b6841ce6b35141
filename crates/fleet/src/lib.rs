//! Membership of backend servers and gateways, as observed by the control processes.
//!
//! If backend servers announce themselves to control processes, each control process keeps a
//! [`FleetRegistry`] in memory of what it observed itself, and does not share it with the other
//! control processes. Instead every gateway follows all of them ([`FleetFollower`]) and merges
//! their observations ([`FleetView`]): the higher sequence number wins, a departure is final, and a
//! backend server is live while any control process observes it.
//!
//! No step waits for agreement, so an announcement acknowledged by one control process reaches
//! every gateway that this process reaches, regardless of other network partitions. The cost is one
//! session from each gateway to each control process, with a long-polling call.

mod capacity;
mod entry;
mod entry_selection;
mod follower;
mod member;
mod message;
mod registry;
mod server;
mod snapshot;
mod source;
mod update_filter;
mod view;

pub use {
    capacity::{CapacityError, RawVmCapacity, VmCapacity, are_equal_weights, gateway_weights},
    entry::EntryResolver,
    entry_selection::{CallerCounter, EntryCaller, EntryCandidate, select_entries},
    follower::{FleetFollower, FollowerParts, ViewWatcher},
    member::{
        BackendObservation, BackendRecord, DepartedRun, GatewayListing, GatewayObservation,
        GatewayPhase, GatewayProfile, ServingState,
    },
    message::{
        GatewayAnnouncement, RegionOffer, ServiceOffer, SyncReply, SyncRequest, TrafficSnapshot,
    },
    registry::{FleetRegistry, FleetSettings},
    server::FleetServer,
    snapshot::FleetSnapshot,
    source::TrafficSource,
    update_filter::{FleetUpdate, UpdateFilter},
    view::{ActiveTraffic, BackendRow, FleetView, GatewayRow},
};
