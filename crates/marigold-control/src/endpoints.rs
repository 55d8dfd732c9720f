//! Works out the backend servers that requests may go to.

use std::collections::BTreeMap;
use std::sync::Arc;

use marigold_types::ServiceName;

use crate::{Board, Endpoint, EndpointState, Entry, Gate, Standing};

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
pub fn endpoints(board: &Board) -> BTreeMap<ServiceName, Arc<[Endpoint]>> {
    let cut = board.cut();
    let mut groups: BTreeMap<ServiceName, Group> = BTreeMap::new();
    for entry in board.members.iter() {
        let Some(service) = &entry.member.service else {
            continue;
        };
        let is_cut = cut.contains(&entry.member.data_centre);
        let group = groups.entry(service.clone()).or_default();
        match judge(board, entry, is_cut) {
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

fn judge(board: &Board, entry: &Entry, is_cut: bool) -> Use {
    let member = &entry.member;
    if member.address() == board.address() {
        return judge_own(board);
    }
    match member.standing {
        Standing::Dead if member.draining => Use::No,
        Standing::Dead => Use::Spare,
        _ if member.draining => Use::Usable(EndpointState::Draining),
        _ if !member.healthy => Use::Spare,
        Standing::Suspect => Use::Usable(EndpointState::Suspect),
        Standing::Alive if is_cut || board.gate == Gate::Distrusting => {
            Use::Usable(EndpointState::Suspect)
        }
        Standing::Alive => Use::Usable(EndpointState::Ready),
    }
}

/// The daemon knows its own backend server at first hand, so nothing is guessed about it.
fn judge_own(board: &Board) -> Use {
    if board.local.draining {
        return Use::Usable(EndpointState::Draining);
    }
    if board.local.healthy {
        Use::Usable(EndpointState::Ready)
    } else {
        Use::No
    }
}

fn endpoint(entry: &Entry, service: &ServiceName, state: EndpointState) -> Endpoint {
    let member = &entry.member;
    Endpoint {
        instance: member.instance,
        service: service.clone(),
        data_centre: member.data_centre.clone(),
        region: member.region.clone(),
        slots: member.slots,
        state,
        since: entry.joined,
    }
}
