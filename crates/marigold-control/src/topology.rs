//! Who talks to whom: each daemon works it out for itself from the members that it sees.
//!
//! Nothing here has to be agreed. Where two daemons see other members, a message goes a useless
//! way or a missing one, and the comparison of marks makes up for it.

use std::collections::{BTreeMap, BTreeSet};

use marigold_types::{Address, DataCentre};

use crate::{ControlOptions, Liveness, MemberEntry, MemberTable};

/// How many neighbours on the ring a daemon probes.
pub const NEIGHBOURS: usize = 3;

/// The daemons that one daemon keeps connections to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Topology {
    /// Its next neighbours on the ring of its data centre, which it probes.
    pub successors: Vec<Address>,
    /// Its last neighbours on the ring, which probe it.
    pub predecessors: Vec<Address>,
    /// The daemons at doubling distances on the ring, to which it passes gossip on.
    pub fingers: Vec<Address>,
    /// The daemons of its data centre that follow the log, best rank first.
    pub followers: Vec<Address>,
    /// Whether it follows the log itself.
    pub is_follower: bool,
    /// Whose configuration it gets through the fan-out tree.
    pub parent: Option<Address>,
    /// To whom it sends the configuration through the fan-out tree.
    pub children: Vec<Address>,
    /// Every other data centre that a member is known of, whatever has become of it.
    pub other_data_centres: BTreeSet<DataCentre>,
    /// The followers of each other data centre, best rank first; only a follower talks to them.
    pub remote_followers: BTreeMap<DataCentre, Vec<Address>>,
}

impl Topology {
    /// Works out the links of the daemon at `local` in `data_centre`.
    #[must_use]
    pub fn new(
        table: &MemberTable,
        local: Address,
        data_centre: &DataCentre,
        options: &ControlOptions,
    ) -> Self {
        let mut topology = Self::default();
        let followers = rank_followers(table, options.followers);
        topology.followers = followers.get(data_centre).cloned().unwrap_or_default();
        topology.is_follower = topology.followers.contains(&local);
        topology.remote_followers = followers;
        topology.remote_followers.remove(data_centre);
        topology.other_data_centres = other_centres(table, data_centre);
        let ring = alive_ring(table, local, data_centre);
        topology.link_ring(&ring, local);
        topology.link_tree(&ring, local, options.fanout);
        topology
    }

    /// Returns the daemons of its own data centre that it talks to anyway.
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
        let near = NEIGHBOURS.min(ring.len() - 1);
        self.successors = (1..=near).map(at).collect();
        self.predecessors = (1..=near).map(|step| at(ring.len() - step)).collect();
        let steps = std::iter::successors(Some(1), |step| Some(step * 2));
        self.fingers = steps
            .take_while(|step| *step < ring.len())
            .map(at)
            .collect();
    }

    /// Places the daemon in the tree: the followers are its roots, the others stand below them in
    /// the order of the ring, so that each node has at most `fanout` children.
    fn link_tree(&mut self, ring: &[Address], local: Address, fanout: usize) {
        let roots: Vec<Address> = self.followers.clone();
        let others: Vec<Address> = ring
            .iter()
            .filter(|address| !roots.contains(address))
            .copied()
            .collect();
        let first = roots.len() * fanout;
        let below = |start: usize, step: usize| {
            let places = (start..others.len()).step_by(step.max(1)).take(fanout);
            places.map(|place| others[place]).collect()
        };
        if let Some(rank) = roots.iter().position(|root| *root == local) {
            let places = (rank..others.len().min(first)).step_by(roots.len());
            self.children = places.map(|place| others[place]).collect();
            return;
        }
        let Some(place) = others.iter().position(|address| *address == local) else {
            return;
        };
        self.children = below(first + place * fanout, 1);
        self.parent = if place < first {
            roots.get(place % roots.len().max(1)).copied()
        } else {
            others.get((place - first) / fanout).copied()
        };
    }
}

fn other_centres(table: &MemberTable, own: &DataCentre) -> BTreeSet<DataCentre> {
    let mut centres = BTreeSet::new();
    for entry in table.iter() {
        let name = &entry.member.data_centre;
        if name != own && !centres.contains(name) {
            centres.insert(name.clone());
        }
    }
    centres
}

/// Returns whether `entry` is counted on to pass messages on.
fn is_usable(entry: &MemberEntry) -> bool {
    entry.member.liveness == Liveness::Alive
}

/// Returns the live daemons of a data centre in the order of the ring, the local one among them.
fn alive_ring(table: &MemberTable, local: Address, data_centre: &DataCentre) -> Vec<Address> {
    let usable = |entry: &&MemberEntry| is_usable(entry) || entry.member.address() == local;
    let mut ring: Vec<(u64, Address)> = table
        .in_data_centre(data_centre)
        .filter(usable)
        .map(|entry| (entry.ring_position, entry.member.address()))
        .collect();
    ring.sort_unstable();
    ring.into_iter().map(|(_, address)| address).collect()
}

/// Picks the followers of each data centre by rendezvous hashing over the live members.
///
/// The hash is of the address alone, so that a follower stays one while others come and go.
fn rank_followers(table: &MemberTable, count: usize) -> BTreeMap<DataCentre, Vec<Address>> {
    let mut ranks: BTreeMap<DataCentre, Vec<(bool, u64, Address)>> = BTreeMap::new();
    for entry in table.iter().filter(|entry| is_usable(entry)) {
        let rank = entry.ring_position.reverse_bits();
        let key = (entry.member.draining, rank, entry.member.address());
        let list = ranks.entry(entry.member.data_centre.clone()).or_default();
        list.push(key);
    }
    let pick = |mut list: Vec<(bool, u64, Address)>| {
        list.sort_unstable();
        let best = list.into_iter().take(count);
        best.map(|(_, _, address)| address).collect()
    };
    ranks
        .into_iter()
        .map(|(data_centre, list)| (data_centre, pick(list)))
        .collect()
}
