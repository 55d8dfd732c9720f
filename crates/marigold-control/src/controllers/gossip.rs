//! Passes changes on.

use std::collections::BTreeMap;
use std::mem;

use marigold_types::Address;
use tokio::time::Instant;

use crate::controller::{Controller, Input};
use crate::message::MAX_MEMBERS;
use crate::{ControlState, Message, Outbox, PendingUpdate, Update};

/// Gathers changes for a moment and floods them over the fingers of the ring; a follower also
/// hands those of its own data centre to the others.
///
/// Each daemon passes a change on once, so its bytes grow with the changes and with the logarithm
/// of the data centre's size, and with nothing else.
#[derive(Debug, Default)]
pub struct Gossip {
    since: Option<Instant>,
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
            take(state, from, message, now);
        }
        if state.pending_updates.is_empty() {
            self.since = None;
            return;
        }
        let since = *self.since.get_or_insert(now);
        if state.urgent || now.duration_since(since) >= state.options.batch {
            self.since = None;
            flush(state, out);
        }
    }
}

fn take(state: &mut ControlState, from: Address, message: &Message, now: Instant) {
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
    let mut boxes: BTreeMap<Address, Vec<Update>> = BTreeMap::new();
    for item in &pending_updates {
        for peer in targets(state, item) {
            boxes.entry(peer).or_default().push(item.update.clone());
        }
    }
    for (peer, updates) in boxes {
        for part in updates.chunks(MAX_MEMBERS) {
            let updates = part.to_vec();
            out.send(peer, &Message::Gossip { updates });
        }
    }
}

/// Returns whom to tell: the fingers, and for news of the own data centre its links to the others.
fn targets(state: &ControlState, item: &PendingUpdate) -> Vec<Address> {
    let subject = match &item.update {
        Update::Member(member) => member.address(),
        Update::Summary { follower, .. } => *follower,
    };
    let mut peers = state.topology.fingers.clone();
    let home = state.members.get(subject);
    let is_ours = home.is_some_and(|e| e.member.data_centre == state.local.data_centre);
    if state.topology.is_follower && is_ours {
        peers.extend(remote_links(state));
    }
    peers.retain(|peer| Some(*peer) != item.from && *peer != subject);
    peers
}

/// Returns the one follower in each other data centre that stands at this one's rank.
pub fn remote_links(state: &ControlState) -> Vec<Address> {
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
