//! Derives the routable backend servers from the members table.

use std::collections::BTreeMap;
use std::sync::Arc;

use marigold_types::ServiceName;

use crate::{ControlState, Endpoint, EndpointState, Liveness, MemberEntry, ServingState};

/// The backend servers of one service while they are collected.
#[derive(Debug, Default)]
struct Group {
    listed: Vec<Endpoint>,
    /// Dead or unhealthy ones, listed as suspect when no other backend server accepts requests.
    fallback: Vec<Endpoint>,
}

/// Whether a backend server is listed for its service.
enum Eligibility {
    Listed(EndpointState),
    Fallback,
    Excluded,
}

/// Returns the backend servers of each service, ordered by address.
///
/// A mass failure never leaves a service empty: when none of its backend servers accepts requests,
/// the dead and the unhealthy ones are listed as suspect until their members are removed.
#[must_use]
pub fn endpoints(state: &ControlState) -> BTreeMap<ServiceName, Arc<[Endpoint]>> {
    let unreachable = state.majority_unreachable();
    let mut groups: BTreeMap<ServiceName, Group> = BTreeMap::new();
    for entry in state.members.iter() {
        let Some(service) = &entry.member.service else {
            continue;
        };
        let is_unreachable = unreachable.contains(&entry.member.data_centre);
        let group = groups.entry(service.clone()).or_default();
        match eligibility(state, entry, is_unreachable) {
            Eligibility::Listed(endpoint_state) => {
                group.listed.push(endpoint(entry, service, endpoint_state));
            }
            Eligibility::Fallback => {
                let suspect = EndpointState::Suspect;
                group.fallback.push(endpoint(entry, service, suspect));
            }
            Eligibility::Excluded => {}
        }
    }
    let listed = groups.into_iter();
    listed
        .map(|(service, group)| (service, group.finish()))
        .collect()
}

impl Group {
    fn finish(mut self) -> Arc<[Endpoint]> {
        let accepts_requests = |endpoint: &Endpoint| endpoint.state != EndpointState::Draining;
        if !self.listed.iter().any(accepts_requests) {
            self.listed.append(&mut self.fallback);
            self.listed.sort_by_key(|endpoint| endpoint.instance);
        }
        self.listed.into()
    }
}

fn eligibility(state: &ControlState, entry: &MemberEntry, is_unreachable: bool) -> Eligibility {
    let member = &entry.member;
    if member.address() == state.address() {
        return own_eligibility(state);
    }
    match member.liveness {
        Liveness::Dead if member.draining => Eligibility::Excluded,
        Liveness::Dead => Eligibility::Fallback,
        _ if member.draining => Eligibility::Listed(EndpointState::Draining),
        _ if !member.healthy => Eligibility::Fallback,
        Liveness::Suspect => Eligibility::Listed(EndpointState::Suspect),
        Liveness::Alive if is_unreachable || state.serving_state == ServingState::Stale => {
            Eligibility::Listed(EndpointState::Suspect)
        }
        Liveness::Alive => Eligibility::Listed(EndpointState::Ready),
    }
}

/// The daemon probes its own backend server directly, so that one is never listed as suspect.
fn own_eligibility(state: &ControlState) -> Eligibility {
    if state.local.draining {
        return Eligibility::Listed(EndpointState::Draining);
    }
    if state.local.healthy {
        Eligibility::Listed(EndpointState::Ready)
    } else {
        Eligibility::Excluded
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
