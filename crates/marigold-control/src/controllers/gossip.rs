//! Passes changes on.

use std::collections::BTreeMap;
use std::mem;

use marigold_types::Address;
use tokio::time::Instant;

use crate::controller::{Controller, Input};
use crate::message::MAX_MEMBERS;
use crate::{Board, Message, News, Outbox, Update};

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

    fn handle(&mut self, board: &mut Board, input: Input<'_>, now: Instant, out: &mut Outbox) {
        if let Input::Message { from, message } = input {
            take(board, from, message, now);
        }
        if board.news.is_empty() {
            self.since = None;
            return;
        }
        let since = *self.since.get_or_insert(now);
        if board.urgent || now.duration_since(since) >= board.options.batch {
            self.since = None;
            flush(board, out);
        }
    }
}

fn take(board: &mut Board, from: Address, message: &Message, now: Instant) {
    let Message::Gossip { updates } = message else {
        return;
    };
    for update in updates {
        match update {
            Update::Member(member) => {
                board.learn(member, Some(from), now);
            }
            Update::Summary { .. } => board.learn_summary(update, Some(from), now),
        }
    }
}

fn flush(board: &mut Board, out: &mut Outbox) {
    board.urgent = false;
    let news = mem::take(&mut board.news);
    let mut boxes: BTreeMap<Address, Vec<Update>> = BTreeMap::new();
    for item in &news {
        for peer in targets(board, item) {
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
fn targets(board: &Board, item: &News) -> Vec<Address> {
    let subject = match &item.update {
        Update::Member(member) => member.address(),
        Update::Summary { follower, .. } => *follower,
    };
    let mut peers = board.topology.fingers.clone();
    let home = board.members.get(subject);
    let is_ours = home.is_some_and(|e| e.member.data_centre == board.local.data_centre);
    if board.topology.is_follower && is_ours {
        peers.extend(remote_links(board));
    }
    peers.retain(|peer| Some(*peer) != item.from && *peer != subject);
    peers
}

/// Returns the one follower in each other data centre that stands at this one's rank.
pub fn remote_links(board: &Board) -> Vec<Address> {
    let own = board.address();
    let followers = &board.topology.followers;
    let Some(rank) = followers.iter().position(|address| *address == own) else {
        return Vec::new();
    };
    let remote = board.topology.remote.values();
    remote
        .filter_map(|list| list.get(rank % list.len().max(1)).copied())
        .collect()
}
