//! The peers of each daemon, which it computes from its own members table.
//!
//! Daemons do not have to agree on the topology. Where their members tables differ, a message may
//! be sent needlessly or not at all, and anti-entropy repairs the difference.

use std::collections::{BTreeMap, BTreeSet};

use marigold_types::{Address, DataCentre};

use crate::{ControlOptions, Liveness, MemberEntry, MemberTable};

/// How many successors on the ring a daemon probes.
pub const PROBED_NEIGHBOURS: usize = 3;

/// The daemons that a daemon communicates with.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Topology {
    /// Its successors on the ring of its data centre, which it probes.
    pub successors: Vec<Address>,
    /// Its predecessors on the ring, which probe it.
    pub predecessors: Vec<Address>,
    /// The daemons at doubling distances on the ring, to which it forwards gossip.
    pub fingers: Vec<Address>,
    /// The daemons of its data centre that follow the log, in rank order.
    pub followers: Vec<Address>,
    /// Whether it is a follower.
    pub is_follower: bool,
    /// Its parent in the fan-out tree, from which it receives new versions.
    pub parent: Option<Address>,
    /// Its children in the fan-out tree, to which it sends new versions.
    pub children: Vec<Address>,
    /// All other data centres with a known member, whatever its liveness.
    pub other_data_centres: BTreeSet<DataCentre>,
    /// The followers of each other data centre, in rank order; only followers contact them.
    pub remote_followers: BTreeMap<DataCentre, Vec<Address>>,
}

impl Topology {
    /// Computes the topology of the daemon at `local` in `data_centre`.
    #[must_use]
    pub fn new(
        table: &MemberTable,
        local: Address,
        data_centre: &DataCentre,
        options: &ControlOptions,
    ) -> Self {
        let mut topology = Self::default();
        let followers = select_followers(table, options.followers);
        topology.followers = followers.get(data_centre).cloned().unwrap_or_default();
        topology.is_follower = topology.followers.contains(&local);
        topology.remote_followers = followers;
        topology.remote_followers.remove(data_centre);
        topology.other_data_centres = collect_other_data_centres(table, data_centre);
        let ring = live_ring(table, local, data_centre);
        topology.link_ring(&ring, local);
        topology.link_tree(&ring, local, options.fanout);
        topology
    }

    /// Returns the daemons of its own data centre that it is connected to.
    #[must_use]
    pub fn peers(&self) -> Vec<Address> {
        let lists = [&self.successors, &self.fingers, &self.predecessors];
        let mut peers: Vec<Address> = lists.into_iter().flatten().copied().collect();
        peers.extend(self.parent);
        peers.sort_unstable();
        peers.dedup();
        peers
    }

    fn link_ring(&mut self, ring: &[Address], local: Address) {
        let Some(own) = ring.iter().position(|address| *address == local) else {
            return;
        };
        let at = |step: usize| ring[(own + step) % ring.len()];
        let neighbours = PROBED_NEIGHBOURS.min(ring.len() - 1);
        self.successors = (1..=neighbours).map(at).collect();
        self.predecessors = (1..=neighbours).map(|step| at(ring.len() - step)).collect();
        let steps = std::iter::successors(Some(1), |step| Some(step * 2));
        self.fingers = steps
            .take_while(|step| *step < ring.len())
            .map(at)
            .collect();
    }

    /// Finds the parent and the children in the fan-out tree. The followers are its roots; the
    /// other daemons are placed below them in ring order, at most `fanout` below each node.
    fn link_tree(&mut self, ring: &[Address], local: Address, fanout: usize) {
        let roots: Vec<Address> = self.followers.clone();
        let others: Vec<Address> = ring
            .iter()
            .filter(|address| !roots.contains(address))
            .copied()
            .collect();
        let root_children = roots.len() * fanout;
        let below = |start: usize, step: usize| {
            let places = (start..others.len()).step_by(step.max(1)).take(fanout);
            places.map(|place| others[place]).collect()
        };
        if let Some(rank) = roots.iter().position(|root| *root == local) {
            let places = (rank..others.len().min(root_children)).step_by(roots.len());
            self.children = places.map(|place| others[place]).collect();
            return;
        }
        let Some(place) = others.iter().position(|address| *address == local) else {
            return;
        };
        self.children = below(root_children + place * fanout, 1);
        self.parent = if place < root_children {
            roots.get(place % roots.len().max(1)).copied()
        } else {
            others.get((place - root_children) / fanout).copied()
        };
    }
}

fn collect_other_data_centres(table: &MemberTable, own: &DataCentre) -> BTreeSet<DataCentre> {
    let mut centres = BTreeSet::new();
    for entry in table.iter() {
        let name = &entry.member.data_centre;
        if name != own && !centres.contains(name) {
            centres.insert(name.clone());
        }
    }
    centres
}

/// Returns whether `entry` can take part in the topology.
fn is_alive(entry: &MemberEntry) -> bool {
    entry.member.liveness == Liveness::Alive
}

/// Returns the live daemons of a data centre in ring order, always including the local one.
fn live_ring(table: &MemberTable, local: Address, data_centre: &DataCentre) -> Vec<Address> {
    let is_member = |entry: &&MemberEntry| is_alive(entry) || entry.member.address() == local;
    let mut ring: Vec<(u64, Address)> = table
        .in_data_centre(data_centre)
        .filter(is_member)
        .map(|entry| (entry.ring_position, entry.member.address()))
        .collect();
    ring.sort_unstable();
    ring.into_iter().map(|(_, address)| address).collect()
}

/// Selects the followers of each data centre by rendezvous hashing over the live members.
///
/// Only the address is hashed, so that a follower keeps its role while other daemons join or leave.
fn select_followers(table: &MemberTable, count: usize) -> BTreeMap<DataCentre, Vec<Address>> {
    let mut ranks: BTreeMap<DataCentre, Vec<(bool, u64, Address)>> = BTreeMap::new();
    for entry in table.iter().filter(|entry| is_alive(entry)) {
        let rank = entry.ring_position.reverse_bits();
        let key = (entry.member.draining, rank, entry.member.address());
        let list = ranks.entry(entry.member.data_centre.clone()).or_default();
        list.push(key);
    }
    let take_first = |mut list: Vec<(bool, u64, Address)>| {
        list.sort_unstable();
        let best = list.into_iter().take(count);
        best.map(|(_, _, address)| address).collect()
    };
    ranks
        .into_iter()
        .map(|(data_centre, list)| (data_centre, take_first(list)))
        .collect()
}
