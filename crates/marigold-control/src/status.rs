//! What operators are told.

use std::collections::BTreeSet;
use std::time::Duration;

use marigold_types::{
    DataCentre, Digest, InstanceId, Interval, Region, ServiceName, SlotCount, Version,
};
use serde::Serialize;
use tokio::time::Instant;

use crate::{ControlState, Counters, Liveness, MemberEntry};

/// What one daemon knows of itself and the mesh.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// The daemon's own life.
    pub local: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The version it holds.
    pub version: Version,
    /// The digest of the configuration it holds.
    pub digest: Digest,
    /// Whether it serves.
    pub serving: bool,
    /// Whether it has found the mesh since its start.
    pub joined: bool,
    /// Whether it follows the log for its data centre.
    pub follower: bool,
    /// How long ago it last read the log to its end itself; absent if it never did.
    pub log_read: Option<Interval>,
    /// The newest version that any daemon is known to hold.
    pub newest: Version,
    /// Each data centre.
    pub data_centres: Vec<DataCentreStatus>,
    /// Each member, ordered by address.
    pub members: Vec<MemberStatus>,
    /// What the control side has sent, received and asked of the log.
    pub counters: Counters,
    /// The most whole states that were handed out at one time.
    pub fetch_peak: usize,
}

/// How far a data centre is, as its followers count it.
#[derive(Debug, Clone, Serialize)]
pub struct DataCentreStatus {
    /// Its name.
    pub name: DataCentre,
    /// How many live members of it are known.
    pub members: u32,
    /// How many of them its followers count.
    pub counted: u32,
    /// How many hold the newest version.
    pub current: u32,
    /// Whether it can be reached from this data centre.
    pub reachable: bool,
}

/// One member.
#[derive(Debug, Clone, Serialize)]
pub struct MemberStatus {
    /// Its life.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The region of its data centre.
    pub region: Region,
    /// The service of its backend server.
    pub service: Option<ServiceName>,
    /// The backend server's slots.
    pub slots: SlotCount,
    /// What is held of it; a member of a data centre that cannot be reached is suspected.
    #[serde(rename = "standing")]
    pub liveness: Liveness,
    /// Whether its backend server answers its health probes.
    pub healthy: bool,
    /// Whether it is leaving.
    pub draining: bool,
    /// For how long it has stood so.
    pub since: Interval,
    /// Whether it follows the log for its data centre.
    pub follower: bool,
    /// The version that it is known to hold; absent while nobody has told.
    pub held: Option<Version>,
    /// For how long it has been reported to hold an older version than the newest.
    pub lag: Option<Interval>,
}

impl Status {
    /// Gathers the status from the board.
    #[must_use]
    pub fn new(state: &ControlState, counters: &Counters, now: Instant) -> Self {
        let cut = state.majority_unreachable();
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
            data_centres: centres(state, &cut),
            members: members
                .map(|entry| member_status(state, &cut, entry, now))
                .collect(),
            counters: counters.clone(),
            fetch_peak: state.fetch_limiter.peak(),
        }
    }
}

fn centres(state: &ControlState, cut: &BTreeSet<DataCentre>) -> Vec<DataCentreStatus> {
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
            reachable: !cut.contains(name),
        }
    };
    names.iter().map(status).collect()
}

fn member_status(
    state: &ControlState,
    cut: &BTreeSet<DataCentre>,
    entry: &MemberEntry,
    now: Instant,
) -> MemberStatus {
    let member = &entry.member;
    let followers = state.followers_of(&member.data_centre);
    let is_cut = cut.contains(&member.data_centre);
    let liveness = if is_cut {
        member.liveness.max(Liveness::Suspect)
    } else {
        member.liveness
    };
    let (held, since) = held_by(state, entry);
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

/// Returns the version that a member holds and since when it is reported behind.
///
/// A live member that its data centre's followers do not name as behind holds the oldest of the
/// newest versions that they report; otherwise the last version that it was known to hold counts.
fn held_by(state: &ControlState, entry: &MemberEntry) -> (Option<Version>, Option<Instant>) {
    let address = entry.member.address();
    if address == state.address() {
        return (Some(state.config.version), None);
    }
    for report in state.reports_of(&entry.member.data_centre) {
        if let Some(held) = report.summary.find(address) {
            return (Some(held), report.since.get(&address).copied());
        }
    }
    ((entry.held.0 > 0).then_some(entry.held), None)
}

fn to_interval(duration: Duration) -> Interval {
    Interval::from_millis(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}
