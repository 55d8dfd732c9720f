//! The status of a daemon, as shown to operators.

use std::collections::BTreeSet;
use std::time::Duration;

use marigold_types::{
    DataCentre, Digest, InstanceId, Interval, Region, ServiceName, SlotCount, Version,
};
use serde::Serialize;
use tokio::time::Instant;

use crate::{ControlState, Counters, Liveness, MemberEntry};

/// The state of this daemon and the mesh as seen by it.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// The instance of this daemon.
    pub local: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The version of its configuration.
    pub version: Version,
    /// The digest of its configuration.
    pub digest: Digest,
    /// Whether it serves requests.
    pub serving: bool,
    /// Whether it has joined the mesh since its start.
    pub joined: bool,
    /// Whether it follows the log for its data centre.
    pub follower: bool,
    /// The time since it last read the log to its end; absent if it never did.
    pub log_read: Option<Interval>,
    /// The newest version that any daemon is known to hold.
    pub newest: Version,
    /// The status of each data centre.
    pub data_centres: Vec<DataCentreStatus>,
    /// The status of each member, ordered by address.
    pub members: Vec<MemberStatus>,
    /// The counters of control traffic and log operations.
    pub counters: Counters,
    /// The highest number of concurrent snapshot transfers so far.
    pub fetch_peak: usize,
}

/// The propagation of the newest version in a data centre, as reported by its followers.
#[derive(Debug, Clone, Serialize)]
pub struct DataCentreStatus {
    /// Its name.
    pub name: DataCentre,
    /// The number of known members that are not dead.
    pub members: u32,
    /// The number of daemons counted in the reports of its followers.
    pub counted: u32,
    /// The number of daemons reported to hold the newest version.
    pub current: u32,
    /// Whether it is reachable from this data centre.
    pub reachable: bool,
}

/// The status of a member.
#[derive(Debug, Clone, Serialize)]
pub struct MemberStatus {
    /// Its instance.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The region of its data centre.
    pub region: Region,
    /// The service of its backend server.
    pub service: Option<ServiceName>,
    /// How many requests the backend server processes concurrently.
    pub slots: SlotCount,
    /// Its liveness; at best suspect while its data centre is unreachable.
    #[serde(rename = "standing")]
    pub liveness: Liveness,
    /// Whether its backend server passes its health probes.
    pub healthy: bool,
    /// Whether it is shutting down.
    pub draining: bool,
    /// The time since its liveness last changed.
    pub since: Interval,
    /// Whether it follows the log for its data centre.
    pub follower: bool,
    /// The version that it is known to hold; absent if none was reported.
    pub held: Option<Version>,
    /// The time since it was first reported to hold an older version than the newest one; absent if
    /// it is up to date.
    pub lag: Option<Interval>,
}

impl Status {
    /// Builds the status from the shared state.
    #[must_use]
    pub fn new(state: &ControlState, counters: &Counters, now: Instant) -> Self {
        let unreachable = state.majority_unreachable();
        let members = state.members.iter();
        Self {
            local: state.local.instance,
            data_centre: state.local.data_centre.clone(),
            version: state.config.version,
            digest: state.config.digest(),
            serving: state.is_serving(),
            joined: state.joined,
            follower: state.topology.is_follower,
            log_read: state.log.last_complete_read.map(|at| to_interval(now - at)),
            newest: state.newest_version(),
            data_centres: data_centre_statuses(state, &unreachable),
            members: members
                .map(|entry| member_status(state, &unreachable, entry, now))
                .collect(),
            counters: counters.clone(),
            fetch_peak: state.fetch_limiter.peak(),
        }
    }
}

fn data_centre_statuses(
    state: &ControlState,
    unreachable: &BTreeSet<DataCentre>,
) -> Vec<DataCentreStatus> {
    let newest = state.newest_version();
    let mut names = state.topology.other_data_centres.clone();
    names.insert(state.local.data_centre.clone());
    let status = |name: &DataCentre| {
        let reports = state.reports_of(name);
        let current = reports.iter().filter(|r| r.summary.newest == newest);
        let members = state.members.in_data_centre(name);
        DataCentreStatus {
            name: name.clone(),
            members: u32::try_from(members.count()).unwrap_or(u32::MAX),
            counted: reports.iter().map(|report| report.summary.total).sum(),
            current: current.map(|report| report.summary.holders).sum(),
            reachable: !unreachable.contains(name),
        }
    };
    names.iter().map(status).collect()
}

fn member_status(
    state: &ControlState,
    unreachable: &BTreeSet<DataCentre>,
    entry: &MemberEntry,
    now: Instant,
) -> MemberStatus {
    let member = &entry.member;
    let followers = state.followers_of(&member.data_centre);
    let is_unreachable = unreachable.contains(&member.data_centre);
    let liveness = if is_unreachable {
        member.liveness.max(Liveness::Suspect)
    } else {
        member.liveness
    };
    let (held, since) = held_version(state, entry);
    MemberStatus {
        instance: member.instance,
        data_centre: member.data_centre.clone(),
        region: member.region.clone(),
        service: member.service.clone(),
        slots: member.slots,
        liveness,
        healthy: member.healthy,
        draining: member.draining,
        since: to_interval(now.duration_since(entry.liveness_since)),
        follower: followers.contains(&member.address()),
        held,
        lag: since.map(|since| to_interval(now.duration_since(since))),
    }
}

/// Returns the version of a member, and since when it has been reported as behind.
///
/// A live member that the followers of its data centre do not list as behind holds the minimum of
/// the newest versions that they report; otherwise the last version recorded for it is returned.
fn held_version(state: &ControlState, entry: &MemberEntry) -> (Option<Version>, Option<Instant>) {
    let address = entry.member.address();
    if address == state.address() {
        return (Some(state.config.version), None);
    }
    for report in state.reports_of(&entry.member.data_centre) {
        if let Some(held) = report.summary.find(address) {
            return (Some(held), report.behind_since.get(&address).copied());
        }
    }
    ((entry.held.0 > 0).then_some(entry.held), None)
}

fn to_interval(duration: Duration) -> Interval {
    Interval::from_millis(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}
