//! Anti-entropy: repairs differences left by messages lost in gossip or the fan-out tree.

use std::collections::BTreeMap;

use marigold_types::Address;
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::controller::{Controller, Input};
use crate::message::MAX_MEMBERS;
use crate::{ControlState, Event, Member, Message, Outbox, StateDigest};

/// The number of comparisons at the probe interval after a start or a pause.
const INITIAL_FAST_COMPARISONS: u32 = 4;

/// Periodically compares state digests with a peer, and the members tables by bucket if they
/// differ.
///
/// The peer is one that the daemon is already connected to: these connections link the whole data
/// centre, and another one would cost more memory than the faster convergence is worth.
#[derive(Debug)]
pub struct AntiEntropy {
    rng: ChaCha8Rng,
    next_comparison: Option<Instant>,
    fast_comparisons: u32,
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
                self.next_comparison = Some(now);
                self.fast_comparisons = INITIAL_FAST_COMPARISONS;
            }
            Input::Event(_) => {}
            Input::Message { from, message } => {
                let is_catching_up = self.fast_comparisons > 0;
                handle_message(state, from, message, is_catching_up, now, out);
            }
        }
    }
}

impl AntiEntropy {
    /// Creates the controller.
    #[must_use]
    pub fn new(rng: ChaCha8Rng) -> Self {
        Self {
            rng,
            next_comparison: None,
            fast_comparisons: INITIAL_FAST_COMPARISONS,
        }
    }

    fn tick(&mut self, state: &ControlState, now: Instant, out: &mut Outbox) {
        if !state.joined {
            return;
        }
        let interval = if self.fast_comparisons > 0 {
            state.options.probe
        } else {
            state.options.compare
        };
        let jittered = interval.mul_f64(self.rng.random_range(0.8..1.2));
        let next = *self.next_comparison.get_or_insert(now + jittered);
        if now < next {
            return;
        }
        self.next_comparison = Some(now + jittered);
        self.fast_comparisons = self.fast_comparisons.saturating_sub(1);
        if let Some(peer) = state.topology.peers().choose(&mut self.rng) {
            let digest = state.digest();
            out.send(*peer, &Message::Compare { mark: digest });
        }
    }
}

fn handle_message(
    state: &mut ControlState,
    from: Address,
    message: &Message,
    is_catching_up: bool,
    now: Instant,
    out: &mut Outbox,
) {
    match message {
        Message::Compare { mark: digest } => handle_compare(state, from, *digest, out),
        Message::Buckets { digests } => {
            let differing = state.members.differing_buckets(digests);
            let wanted = state.members.buckets_within_limit(differing, MAX_MEMBERS);
            if wanted != 0 {
                let members = state.members.members_in_buckets(wanted);
                out.send(from, &Message::Records { wanted, members });
            }
        }
        Message::Records { wanted, members } => {
            send_missing_records(state, from, *wanted, members, out);
            for member in members {
                // A daemon that is catching up does not forward these records: the others know
                // them.
                if is_catching_up {
                    state.merge_member(member, now);
                } else {
                    state.merge_and_propagate(member, Some(from), now);
                }
            }
        }
        _ => {}
    }
}

fn handle_compare(state: &ControlState, from: Address, digest: StateDigest, out: &mut Outbox) {
    let own = state.digest();
    if digest.table != own.table {
        let digests = state.members.bucket_digests().to_vec();
        out.send(from, &Message::Buckets { digests });
    }
    if digest.version < own.version {
        // The only effect of this answer is that the receiver fetches the newer version.
        out.send(
            from,
            &Message::Answer {
                nonce: 0,
                mark: own,
            },
        );
    }
}

/// Sends the records in the wanted buckets that the sender does not have.
fn send_missing_records(
    state: &ControlState,
    from: Address,
    wanted: u64,
    received: &[Member],
    out: &mut Outbox,
) {
    if wanted == 0 {
        return;
    }
    let ranks: BTreeMap<Address, _> = received.iter().map(|m| (m.address(), m.rank())).collect();
    let is_missing = |member: &Member| ranks.get(&member.address()) < Some(&member.rank());
    let mut members = state.members.members_in_buckets(wanted);
    members.retain(is_missing);
    members.truncate(MAX_MEMBERS);
    if !members.is_empty() {
        let wanted = 0;
        out.send(from, &Message::Records { wanted, members });
    }
}
