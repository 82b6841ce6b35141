//! Backend servers and gateways, as the control processes hear of them.
//!
//! Where backend servers announce themselves to control processes, each of those keeps a
//! [`FleetRegistry`] in memory of what it heard itself. It does not share it with the other control
//! processes. Instead every gateway follows all of them ([`FleetFollower`]) and merges what they
//! say ([`FleetView`]): the higher sequence number wins, a departure is final, and a backend
//! server counts as heard while any control process hears it.
//!
//! This has no step that waits for agreement, so an announcement that one control process
//! acknowledged reaches every gateway that this process reaches, whoever else is cut off. The
//! price is one session from each gateway to each control process, which carries a call that is
//! held until there is news.

mod entry;
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
    entry::EntryResolver,
    follower::{FleetFollower, FollowerParts, ViewWatcher},
    member::{
        BackendObservation, BackendRecord, DepartedRun, GatewayObservation, GatewayPhase,
        GatewayProfile, ServingState,
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
