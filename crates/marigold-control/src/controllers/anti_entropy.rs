//! Compares what two daemons hold, so that whatever gossip or the tree lost is found.

use std::collections::BTreeMap;

use marigold_types::Address;
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::controller::{Controller, Input};
use crate::message::MAX_MEMBERS;
use crate::{Board, Event, Mark, Member, Message, Outbox};

/// So many comparisons follow one another quickly after a start or a pause.
const EARLY: u32 = 4;

/// Compares marks with a peer at a low rate, and tables bucket by bucket where they differ.
///
/// The peer is drawn from those that the daemon talks to anyway: their links join the whole data
/// centre, and a connection costs more memory than a comparison saves time.
#[derive(Debug)]
pub struct AntiEntropy {
    rng: ChaCha8Rng,
    next: Option<Instant>,
    early: u32,
}

impl Controller for AntiEntropy {
    fn name(&self) -> &'static str {
        "anti_entropy"
    }

    fn handle(&mut self, board: &mut Board, input: Input<'_>, now: Instant, out: &mut Outbox) {
        match input {
            Input::Event(Event::Tick) => self.tick(board, now, out),
            Input::Event(Event::Resumed { .. }) => {
                self.next = Some(now);
                self.early = EARLY;
            }
            Input::Event(_) => {}
            Input::Message { from, message } => {
                let is_new = self.early > 0;
                hear(board, from, message, is_new, now, out);
            }
        }
    }
}

impl AntiEntropy {
    /// Makes the controller, which draws its numbers from `rng`.
    #[must_use]
    pub fn new(rng: ChaCha8Rng) -> Self {
        Self {
            rng,
            next: None,
            early: EARLY,
        }
    }

    fn tick(&mut self, board: &Board, now: Instant, out: &mut Outbox) {
        if !board.joined {
            return;
        }
        let period = if self.early > 0 {
            board.options.probe
        } else {
            board.options.compare
        };
        let spread = period.mul_f64(self.rng.random_range(0.8..1.2));
        let next = *self.next.get_or_insert(now + spread);
        if now < next {
            return;
        }
        self.next = Some(now + spread);
        self.early = self.early.saturating_sub(1);
        if let Some(peer) = board.topology.peers().choose(&mut self.rng) {
            let mark = board.mark();
            out.send(*peer, &Message::Compare { mark });
        }
    }
}

fn hear(
    board: &mut Board,
    from: Address,
    message: &Message,
    is_new: bool,
    now: Instant,
    out: &mut Outbox,
) {
    match message {
        Message::Compare { mark } => compare(board, from, *mark, out),
        Message::Buckets { digests } => {
            let differing = board.members.differing(digests);
            let wanted = board.members.within(differing, MAX_MEMBERS);
            if wanted != 0 {
                let members = board.members.records(wanted);
                out.send(from, &Message::Records { wanted, members });
            }
        }
        Message::Records { wanted, members } => {
            answer_records(board, from, *wanted, members, out);
            for member in members {
                // What is news to a daemon that has just come is none to the others.
                if is_new {
                    board.import(member, now);
                } else {
                    board.learn(member, Some(from), now);
                }
            }
        }
        _ => {}
    }
}

fn compare(board: &Board, from: Address, mark: Mark, out: &mut Outbox) {
    let own = board.mark();
    if mark.table != own.table {
        let digests = board.members.buckets().to_vec();
        out.send(from, &Message::Buckets { digests });
    }
    if mark.version < own.version {
        // An answer starts nothing but a fetch.
        out.send(
            from,
            &Message::Answer {
                nonce: 0,
                mark: own,
            },
        );
    }
}

/// Sends back what the sender lacks of the buckets it wants.
fn answer_records(board: &Board, from: Address, wanted: u64, theirs: &[Member], out: &mut Outbox) {
    if wanted == 0 {
        return;
    }
    let ranks: BTreeMap<Address, _> = theirs.iter().map(|m| (m.address(), m.rank())).collect();
    let lacks = |member: &Member| ranks.get(&member.address()) < Some(&member.rank());
    let mut members = board.members.records(wanted);
    members.retain(lacks);
    members.truncate(MAX_MEMBERS);
    if !members.is_empty() {
        let wanted = 0;
        out.send(from, &Message::Records { wanted, members });
    }
}
