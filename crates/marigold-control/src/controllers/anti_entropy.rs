//! Compares what two daemons hold, so that whatever gossip or the tree lost is found.

use std::collections::BTreeMap;

use marigold_types::Address;
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::controller::{Controller, Input};
use crate::message::MAX_MEMBERS;
use crate::{ControlState, Event, Member, Message, Outbox, StateDigest};

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

    fn handle(
        &mut self,
        state: &mut ControlState,
        input: Input<'_>,
        now: Instant,
        out: &mut Outbox,
    ) {
        match input {
            Input::Event(Event::Tick) => self.tick(state, now, out),
            Input::Event(Event::Resumed { .. }) => {
                self.next = Some(now);
                self.early = EARLY;
            }
            Input::Event(_) => {}
            Input::Message { from, message } => {
                let is_new = self.early > 0;
                hear(state, from, message, is_new, now, out);
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

    fn tick(&mut self, state: &ControlState, now: Instant, out: &mut Outbox) {
        if !state.joined {
            return;
        }
        let period = if self.early > 0 {
            state.options.probe
        } else {
            state.options.compare
        };
        let spread = period.mul_f64(self.rng.random_range(0.8..1.2));
        let next = *self.next.get_or_insert(now + spread);
        if now < next {
            return;
        }
        self.next = Some(now + spread);
        self.early = self.early.saturating_sub(1);
        if let Some(peer) = state.topology.peers().choose(&mut self.rng) {
            let digest = state.digest();
            out.send(*peer, &Message::Compare { digest });
        }
    }
}

fn hear(
    state: &mut ControlState,
    from: Address,
    message: &Message,
    is_new: bool,
    now: Instant,
    out: &mut Outbox,
) {
    match message {
        Message::Compare { digest } => compare(state, from, *digest, out),
        Message::Buckets { digests } => {
            let differing = state.members.differing_buckets(digests);
            let wanted = state.members.buckets_within_limit(differing, MAX_MEMBERS);
            if wanted != 0 {
                let members = state.members.members_in_buckets(wanted);
                out.send(from, &Message::Records { wanted, members });
            }
        }
        Message::Records { wanted, members } => {
            answer_records(state, from, *wanted, members, out);
            for member in members {
                // What is news to a daemon that has just come is none to the others.
                if is_new {
                    state.merge_member(member, now);
                } else {
                    state.merge_and_propagate(member, Some(from), now);
                }
            }
        }
        _ => {}
    }
}

fn compare(state: &ControlState, from: Address, digest: StateDigest, out: &mut Outbox) {
    let own = state.digest();
    if digest.table != own.table {
        let digests = state.members.bucket_digests().to_vec();
        out.send(from, &Message::Buckets { digests });
    }
    if digest.version < own.version {
        // An answer starts nothing but a fetch.
        out.send(
            from,
            &Message::Answer {
                nonce: 0,
                digest: own,
            },
        );
    }
}

/// Sends back what the sender lacks of the buckets it wants.
fn answer_records(
    state: &ControlState,
    from: Address,
    wanted: u64,
    theirs: &[Member],
    out: &mut Outbox,
) {
    if wanted == 0 {
        return;
    }
    let ranks: BTreeMap<Address, _> = theirs.iter().map(|m| (m.address(), m.rank())).collect();
    let lacks = |member: &Member| ranks.get(&member.address()) < Some(&member.rank());
    let mut members = state.members.members_in_buckets(wanted);
    members.retain(lacks);
    members.truncate(MAX_MEMBERS);
    if !members.is_empty() {
        let wanted = 0;
        out.send(from, &Message::Records { wanted, members });
    }
}
