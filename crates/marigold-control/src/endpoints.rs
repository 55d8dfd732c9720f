//! Works out the backend servers that requests may go to.

use std::collections::BTreeMap;
use std::sync::Arc;

use marigold_types::ServiceName;

use crate::{ControlState, Endpoint, EndpointState, Liveness, MemberEntry, ServingState};

/// The backend servers of one service while they are gathered.
#[derive(Debug, Default)]
struct Group {
    usable: Vec<Endpoint>,
    /// Silent or failing ones, which come back in when nothing better is left.
    spare: Vec<Endpoint>,
}

/// What becomes of a backend server.
enum Use {
    Usable(EndpointState),
    Spare,
    No,
}

/// Returns the backend servers of each service, ordered by address.
///
/// Mass loss of signals never empties a service: when none of its backend servers is left that
/// takes work, those that fell silent or fail their health probes come back in as suspects, until
/// they are forgotten.
#[must_use]
pub fn endpoints(state: &ControlState) -> BTreeMap<ServiceName, Arc<[Endpoint]>> {
    let cut = state.majority_unreachable();
    let mut groups: BTreeMap<ServiceName, Group> = BTreeMap::new();
    for entry in state.members.iter() {
        let Some(service) = &entry.member.service else {
            continue;
        };
        let is_cut = cut.contains(&entry.member.data_centre);
        let group = groups.entry(service.clone()).or_default();
        match judge(state, entry, is_cut) {
            Use::Usable(state) => group.usable.push(endpoint(entry, service, state)),
            Use::Spare => {
                let suspect = EndpointState::Suspect;
                group.spare.push(endpoint(entry, service, suspect));
            }
            Use::No => {}
        }
    }
    let listed = groups.into_iter();
    listed
        .map(|(service, group)| (service, group.finish()))
        .collect()
}

impl Group {
    fn finish(mut self) -> Arc<[Endpoint]> {
        let takes_work = |endpoint: &Endpoint| endpoint.state != EndpointState::Draining;
        if !self.usable.iter().any(takes_work) {
            self.usable.append(&mut self.spare);
            self.usable.sort_by_key(|endpoint| endpoint.instance);
        }
        self.usable.into()
    }
}

fn judge(state: &ControlState, entry: &MemberEntry, is_cut: bool) -> Use {
    let member = &entry.member;
    if member.address() == state.address() {
        return judge_own(state);
    }
    match member.liveness {
        Liveness::Dead if member.draining => Use::No,
        Liveness::Dead => Use::Spare,
        _ if member.draining => Use::Usable(EndpointState::Draining),
        _ if !member.healthy => Use::Spare,
        Liveness::Suspect => Use::Usable(EndpointState::Suspect),
        Liveness::Alive if is_cut || state.serving_state == ServingState::Stale => {
            Use::Usable(EndpointState::Suspect)
        }
        Liveness::Alive => Use::Usable(EndpointState::Ready),
    }
}

/// The daemon knows its own backend server at first hand, so nothing is guessed about it.
fn judge_own(state: &ControlState) -> Use {
    if state.local.draining {
        return Use::Usable(EndpointState::Draining);
    }
    if state.local.healthy {
        Use::Usable(EndpointState::Ready)
    } else {
        Use::No
    }
}

fn endpoint(entry: &MemberEntry, service: &ServiceName, state: EndpointState) -> Endpoint {
    let member = &entry.member;
    Endpoint {
        instance: member.instance,
        service: service.clone(),
        data_centre: member.data_centre.clone(),
        region: member.region.clone(),
        slots: member.slots,
        state,
        since: entry.first_seen,
    }
}
