//! The status of a deployment as text for a terminal.

use {
    super::status::{AskedNode, DeploymentStatus},
    gullglade_control::{ClusterStatus, MemberRole, MemberRow, ReplicaRow},
    gullglade_node::{BackendReport, NodeReport},
    gullglade_units::RegionName,
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::Write,
    },
};

/// The whole screen.
pub(super) fn screen(status: &DeploymentStatus) -> String {
    let mut text = String::new();
    let answering = status.nodes.iter().filter(|node| node.report.is_some()).count();
    push(&mut text, format_args!("{answering} of {} processes answer", status.nodes.len()));
    push_missing(&mut text, status);
    push_breaches(&mut text, status);
    push_control(&mut text, status);
    for (region, nodes) in by_region(status) {
        push_region(&mut text, region, &nodes, status.control.as_ref());
    }
    text
}

fn push(text: &mut String, line: std::fmt::Arguments<'_>) {
    writeln!(text, "{line}").expect("a String takes every write");
}

fn push_missing(text: &mut String, status: &DeploymentStatus) {
    for node in &status.nodes {
        if let Some(error) = &node.error {
            push(text, format_args!("! {error}"));
        }
    }
    if !status.unseen_regions.is_empty() {
        let names = join(&status.unseen_regions);
        push(text, format_args!("! regions of which nothing is seen from here: {names}"));
    }
    if !status.unseen_vms.is_empty() {
        let names = join(&status.unseen_vms);
        push(text, format_args!("! VMs that others tell of and that did not answer: {names}"));
    }
}

fn join<T: ToString>(names: &BTreeSet<T>) -> String {
    names.iter().map(T::to_string).collect::<Vec<_>>().join(", ")
}

fn push_breaches(text: &mut String, status: &DeploymentStatus) {
    for report in status.nodes.iter().filter_map(|node| node.report.as_ref()) {
        for (promise, count) in &report.breaches {
            let vm = &report.vm;
            push(
                text,
                format_args!(
                    "! promise {promise} was found broken {count} times by {vm}; see \
                     docs/operators/alerts.md"
                ),
            );
        }
    }
}

fn push_control(text: &mut String, status: &DeploymentStatus) {
    let Some(control) = &status.control else {
        let error = status.control_error.as_deref().unwrap_or("not asked");
        return push(text, format_args!("\ncontrol not seen: {error}"));
    };
    push(text, format_args!("\ncontrol: accepted index {}", control.index.0));
    for row in &control.members {
        push(text, format_args!("  {}", member_line(row, control)));
    }
}

fn member_line(row: &MemberRow, status: &ClusterStatus) -> String {
    let member = &row.member;
    let role = match member.role {
        MemberRole::Voter => "voter",
        MemberRole::Learner => "learner",
    };
    let head = format!(
        "{:16} {:14} {:21} {role:8}",
        member.vm.as_str(),
        member.region.as_str(),
        member.address.to_string()
    );
    let Some(own) = &row.status else {
        return format!("{head} does not answer; if it is gone, `gladectl control replace`");
    };
    let leads = if status.leader == Some(member.id) { "leader" } else { "" };
    let doubt = if own.is_doubtful { " doubtful" } else { "" };
    let stopped = own.stopped.as_ref().map_or(String::new(), |r| format!(" stopped: {r}"));
    format!("{head} {leads:6} term {} index {}{doubt}{stopped}", own.term.0, own.commit.0)
}

fn by_region(status: &DeploymentStatus) -> BTreeMap<&RegionName, Vec<(&AskedNode, &NodeReport)>> {
    let mut regions: BTreeMap<&RegionName, Vec<_>> = BTreeMap::new();
    for node in &status.nodes {
        if let Some(report) = &node.report {
            regions.entry(&report.region).or_default().push((node, report));
        }
    }
    regions
}

fn push_region(
    text: &mut String,
    region: &RegionName,
    nodes: &[(&AskedNode, &NodeReport)],
    control: Option<&ClusterStatus>,
) {
    let sum = |value: fn(&NodeReport) -> u64| nodes.iter().map(|(_, r)| value(r)).sum::<u64>();
    let (ended, away) = (sum(|r| r.ended_requests), sum(|r| r.away_requests));
    push(
        text,
        format_args!(
            "\nregion {region}: {} open requests, {ended} ended, {:.1}% sent away",
            sum(|r| r.open_requests),
            100.0 * away as f64 / ended.max(1) as f64
        ),
    );
    for (node, report) in nodes {
        push(text, format_args!("  {}", node_line(node, report)));
    }
    for row in control.into_iter().flat_map(|c| &c.replicas) {
        let answered = nodes.iter().any(|(_, report)| report.vm == row.vm);
        if row.region == *region && !answered {
            push(text, format_args!("  {}", replica_line(row)));
        }
    }
    push_backends(text, nodes);
    push_neighbours(text, nodes);
}

fn node_line(node: &AskedNode, report: &NodeReport) -> String {
    let state = match (report.draining, report.ready) {
        (true, _) => "draining",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    let index = report.configuration_index.map_or("none".to_owned(), |index| index.to_string());
    let stale = if report.configuration_stale { " (may be stale)" } else { "" };
    format!(
        "vm {:16} {:16} {:21} {state:9} configuration {index}{stale}, {} open, version {}",
        report.vm.as_str(),
        report.domain.as_str(),
        node.address.to_string(),
        report.open_requests,
        report.version
    )
}

/// A gateway that was not seen itself, as it reported to control.
fn replica_line(row: &ReplicaRow) -> String {
    let applied = row.applied.map_or("none".to_owned(), |index| index.0.to_string());
    let stale = if row.is_stale { " (may be stale)" } else { "" };
    format!(
        "vm {:16} not seen; {} s ago it told control: configuration {applied}{stale}",
        row.vm.as_str(),
        row.heard_ms / 1_000
    )
}

/// Each backend server once, as the gateway that hears most of it says.
fn push_backends(text: &mut String, nodes: &[(&AskedNode, &NodeReport)]) {
    let mut backends: BTreeMap<&str, &BackendReport> = BTreeMap::new();
    for backend in nodes.iter().flat_map(|(_, report)| &report.backends) {
        let known = backends.entry(backend.name.as_str()).or_insert(backend);
        if known.domain.is_none() {
            *known = backend;
        }
    }
    for backend in backends.values() {
        push(text, format_args!("  {}", backend_line(backend)));
    }
}

fn backend_line(backend: &BackendReport) -> String {
    format!(
        "backend {:20} {:16} {:8} {:3} of {:3} slots busy, {} waiting: {}",
        backend.name.as_str(),
        backend.domain.as_ref().map_or("", |domain| domain.as_str()),
        backend.health,
        backend.running,
        backend.slots,
        backend.waiting,
        backend.serves.join(" ")
    )
}

/// Other regions as this one sees them: a link that is cut shows on both sides.
fn push_neighbours(text: &mut String, nodes: &[(&AskedNode, &NodeReport)]) {
    let mut lost: BTreeMap<&RegionName, u64> = BTreeMap::new();
    for region in nodes.iter().flat_map(|(_, report)| &report.regions) {
        if !region.reachable {
            lost.insert(&region.region, region.age_millis);
        }
    }
    for (region, age) in lost {
        push(text, format_args!("  ! {region} was last heard of here {} s ago", age / 1_000));
    }
}
