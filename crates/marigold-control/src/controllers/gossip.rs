//! Dissemination of updates by gossip.

use std::collections::BTreeMap;
use std::mem;

use marigold_types::Address;
use tokio::time::Instant;

use crate::controller::{Controller, Input};
use crate::message::MAX_MEMBERS;
use crate::{ControlState, Message, Outbox, PendingUpdate, Update};

/// Collects updates for the batch interval and floods them over the fingers of the ring; a follower
/// also sends those of its own data centre to the other ones.
///
/// Each daemon forwards an update once, so the traffic of a daemon is proportional to the number of
/// updates and the logarithm of the size of its data centre.
#[derive(Debug, Default)]
pub struct Gossip {
    batch_started: Option<Instant>,
}

impl Controller for Gossip {
    fn name(&self) -> &'static str {
        "gossip"
    }

    fn handle(
        &mut self,
        state: &mut ControlState,
        input: Input<'_>,
        now: Instant,
        out: &mut Outbox,
    ) {
        if let Input::Message { from, message } = input {
            merge_updates(state, from, message, now);
        }
        if state.pending_updates.is_empty() {
            self.batch_started = None;
            return;
        }
        let started = *self.batch_started.get_or_insert(now);
        if state.urgent || now.duration_since(started) >= state.options.batch {
            self.batch_started = None;
            flush(state, out);
        }
    }
}

fn merge_updates(state: &mut ControlState, from: Address, message: &Message, now: Instant) {
    let Message::Gossip { updates } = message else {
        return;
    };
    for update in updates {
        match update {
            Update::Member(member) => {
                state.merge_and_propagate(member, Some(from), now);
            }
            Update::Summary { .. } => state.merge_follower_report(update, Some(from), now),
        }
    }
}

fn flush(state: &mut ControlState, out: &mut Outbox) {
    state.urgent = false;
    let pending_updates = mem::take(&mut state.pending_updates);
    let mut outgoing: BTreeMap<Address, Vec<Update>> = BTreeMap::new();
    for pending in &pending_updates {
        for peer in recipients(state, pending) {
            outgoing
                .entry(peer)
                .or_default()
                .push(pending.update.clone());
        }
    }
    for (peer, updates) in outgoing {
        for part in updates.chunks(MAX_MEMBERS) {
            let updates = part.to_vec();
            out.send(peer, &Message::Gossip { updates });
        }
    }
}

/// Returns the recipients of an update: the fingers, and from a follower also the followers
/// assigned to it in other data centres if the update comes from its own one.
fn recipients(state: &ControlState, pending: &PendingUpdate) -> Vec<Address> {
    let subject = match &pending.update {
        Update::Member(member) => member.address(),
        Update::Summary { follower, .. } => *follower,
    };
    let mut peers = state.topology.fingers.clone();
    let entry = state.members.get(subject);
    let is_local = entry.is_some_and(|e| e.member.data_centre == state.local.data_centre);
    if state.topology.is_follower && is_local {
        peers.extend(assigned_remote_followers(state));
    }
    peers.retain(|peer| Some(*peer) != pending.from && *peer != subject);
    peers
}

/// Returns the follower in each other data centre that this follower contacts: the one of equal
/// rank.
pub fn assigned_remote_followers(state: &ControlState) -> Vec<Address> {
    let own = state.address();
    let followers = &state.topology.followers;
    let Some(rank) = followers.iter().position(|address| *address == own) else {
        return Vec::new();
    };
    let remote = state.topology.remote_followers.values();
    remote
        .filter_map(|list| list.get(rank % list.len().max(1)).copied())
        .collect()
}
