//! What the scheduler of a gateway is told of the fleet.

use {
    gullglade_dispatch::BackendInfo,
    gullglade_fleet::{BackendRow, FleetView, ServingState},
    gullglade_units::{MonotonicTime, RegionName, VmName},
};

/// Scheduler inputs read from the fleet state.
#[derive(Debug)]
pub struct SchedulerInputs {
    /// The backend servers of the gateway's region.
    pub backends: Vec<BackendInfo>,
    /// The gateways of the region among which the limits of its backend servers are divided.
    pub gateways: Vec<VmName>,
    /// Whether a configuration is active and was confirmed as the newest.
    pub is_confirmed: bool,
}

impl SchedulerInputs {
    /// Reads the inputs for a gateway of `region`.
    pub fn read(view: &FleetView, region: &RegionName, now: MonotonicTime) -> Self {
        let is_local_region = |row: &BackendRow| row.record.region == *region;
        Self {
            backends: view.backends(now).filter(is_local_region).map(backend_info).collect(),
            gateways: view
                .sending_gateways(region, now)
                .into_iter()
                .map(|g| g.profile.vm)
                .collect(),
            is_confirmed: view.confirmed().is_some() && view.traffic().is_some(),
        }
    }
}

fn backend_info(row: BackendRow) -> BackendInfo {
    let BackendRow { record, cold_until, is_silent, received: _ } = row;
    BackendInfo {
        is_serving: record.state == ServingState::Serving,
        name: record.name,
        incarnation: record.incarnation,
        service: record.service,
        address: record.address,
        domain: record.domain,
        slots: record.slots,
        is_silent,
        cold_until,
    }
}
