//! Membership of backend servers and gateways.
//!
//! There is no static list of backend servers. Each backend server announces itself to any gateway
//! of its region, which grants a lease based on its own monotonic clock and relays the changes to
//! the other gateways of the region.

mod announcement;
mod backend_entry;
mod cache;
mod change_log;
mod config;
mod dispatch;
mod entry_table;
mod gateway;
mod interval_scale;
mod member_table;
mod message;
mod notifier;
mod past_instant;
mod plan;
mod prompt;
mod record;
mod region_table;
mod relay;
mod row_totals;
mod status;
mod subset;
mod summary;
mod table;
mod view;

pub use announcement::{
    AnnounceError, AnnounceReply, Announcement, BackendCapacity, BackendKind, BackendProfile,
    CacheEvent, CacheEvents, FencingMode, LoadReport, PrefixHash, ServingState,
};
pub use backend_entry::BackendHealth;
pub use change_log::Origin;
pub use config::BackendConfig;
pub use dispatch::{DispatchGuard, OwnLoad};
pub use entry_table::{EntryAnswer, EntryGateway, EntryTable};
pub use gateway::{GatewayLoad, GatewayProfile, GatewayRecord};
pub use message::{
    AgedRecord, DeltaReply, GatewayHeartbeat, GossipDelta, LoadDelta, RelayStep, RunId, SyncReply,
    SyncRequest,
};
pub use plan::RelayPlan;
pub use prompt::{BLOCK_TOKENS, PromptBlocks};
pub use record::{BackendRecord, SequencedProfile};
pub use relay::{BackendRelay, LocalGateway, RelayConfig, RelayDependencies};
pub use status::{RunStatus, StatusChange};
pub use subset::{SubsetConfig, SubsetMember, SubsetPlan};
pub use summary::{
    FullTotals, GatewayContact, LoadTotals, RegionDelta, RegionSummary, TargetId, TargetTotals,
    TotalsDelta,
};
pub use table::{AnnounceOutcome, AnnounceRefusal, BackendTable};
pub use view::{BackendTarget, BackendView};
