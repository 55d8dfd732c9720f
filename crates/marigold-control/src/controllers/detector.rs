//! Finds out who is silent.

use std::collections::BTreeMap;

use marigold_types::{Address, Incarnation};
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::controller::{Controller, Input};
use crate::expiry::expire_members;
use crate::{ControlState, Event, Liveness, Message, Outbox, StateDigest, Update};

/// One probe in so many goes to a member that is suspected or dead, to find it again.
const RECALL_SHARE: u64 = 4;
/// How many others are asked to probe a daemon whose answer was missed.
const RELAYS: usize = 2;
/// The most probes that are made for others at one time.
const MAX_ERRANDS: usize = 1_024;

/// A probe that has not been answered.
#[derive(Debug, Clone, Copy)]
struct Pending {
    target: Address,
    /// The life that was probed; absent if that was held silent already.
    life: Option<Incarnation>,
    sent: Instant,
    relayed: bool,
}

/// A probe made for another daemon.
#[derive(Debug, Clone, Copy)]
struct Errand {
    asker: Address,
    nonce: u64,
    sent: Instant,
}

/// Probes the next neighbours on the ring; a silent one is suspected, and later held dead.
#[derive(Debug)]
pub struct Detector {
    rng: ChaCha8Rng,
    pending: BTreeMap<u64, Pending>,
    errands: BTreeMap<u64, Errand>,
    next: Option<Instant>,
    turn: u64,
}

impl Controller for Detector {
    fn name(&self) -> &'static str {
        "detector"
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
            Input::Event(Event::Resumed { .. }) => self.restart(state, now),
            Input::Event(Event::Unreachable { peer }) => self.lose(state, *peer, now),
            Input::Event(_) => {}
            Input::Message { from, message } => self.hear(state, from, message, now, out),
        }
    }
}

impl Detector {
    /// Makes a detector that draws its numbers from `rng`.
    #[must_use]
    pub fn new(rng: ChaCha8Rng) -> Self {
        Self {
            rng,
            pending: BTreeMap::new(),
            errands: BTreeMap::new(),
            next: None,
            turn: 0,
        }
    }

    fn tick(&mut self, state: &mut ControlState, now: Instant, out: &mut Outbox) {
        self.overdue(state, now, out);
        expire_members(state, now);
        let spread = state.options.probe.mul_f64(self.rng.random_range(0.8..1.2));
        let next = *self.next.get_or_insert(now + spread / 2);
        if now < next {
            return;
        }
        self.next = Some(now + spread);
        if let Some(target) = self.pick(state) {
            self.probe(state, target, now, out);
        }
    }

    /// Forgets what was under way: after a pause of this daemon, silence proves nothing.
    fn restart(&mut self, state: &mut ControlState, now: Instant) {
        self.pending.clear();
        self.errands.clear();
        self.next = Some(now);
        state.members.restart_suspicions(now);
    }

    fn pick(&mut self, state: &ControlState) -> Option<Address> {
        self.turn += 1;
        if self.turn.is_multiple_of(RECALL_SHARE) {
            let silent: Vec<Address> = state
                .members
                .iter()
                .filter(|entry| entry.member.liveness != Liveness::Alive)
                .filter(|entry| entry.member.data_centre == state.local.data_centre)
                .map(|entry| entry.member.address())
                .collect();
            if let Some(target) = silent.choose(&mut self.rng) {
                return Some(*target);
            }
        }
        let near = &state.topology.successors;
        let place = usize::try_from(self.turn).unwrap_or(0) % near.len().max(1);
        near.get(place).copied()
    }

    fn probe(&mut self, state: &ControlState, target: Address, now: Instant, out: &mut Outbox) {
        let nonce = self.rng.random();
        let digest = state.digest();
        let pending = Pending {
            target,
            life: live_incarnation(state, target),
            sent: now,
            relayed: false,
        };
        self.pending.insert(nonce, pending);
        out.send(target, &Message::Probe { nonce, digest });
    }

    /// Asks others about those that have not answered, and suspects those nobody reaches.
    fn overdue(&mut self, state: &mut ControlState, now: Instant, out: &mut Outbox) {
        let patience = state.options.probe / 2;
        let late = |sent: Instant| now.duration_since(sent) >= patience;
        self.errands.retain(|_, errand| !late(errand.sent));
        let overdue: Vec<(u64, Pending)> = self
            .pending
            .iter()
            .filter(|(_, pending)| late(pending.sent))
            .map(|(nonce, pending)| (*nonce, *pending))
            .collect();
        for (nonce, pending) in overdue {
            self.pending.remove(&nonce);
            // Another life has come meanwhile, or the silence is known.
            let life = live_incarnation(state, pending.target);
            if life.is_none() || life != pending.life {
                continue;
            }
            if pending.relayed {
                suspect(state, pending.target, now);
                continue;
            }
            let others = state.topology.peers();
            let helpers = others.sample(&mut self.rng, RELAYS + 1).copied();
            for helper in helpers.filter(|peer| *peer != pending.target).take(RELAYS) {
                let target = pending.target;
                out.send(helper, &Message::Relay { nonce, target });
            }
            let relayed = Pending {
                sent: now,
                relayed: true,
                ..pending
            };
            self.pending.insert(nonce, relayed);
        }
    }

    fn lose(&mut self, state: &mut ControlState, peer: Address, now: Instant) {
        let asked = self.pending.values_mut().find(|p| p.target == peer);
        if let Some(pending) = asked {
            // The next tick goes on with it at once; the others are still asked first.
            let patience = state.options.probe / 2;
            pending.sent = now.checked_sub(patience).unwrap_or(now);
        }
    }

    fn hear(
        &mut self,
        state: &mut ControlState,
        from: Address,
        message: &Message,
        now: Instant,
        out: &mut Outbox,
    ) {
        // Whatever it says, it lives.
        self.pending.retain(|_, pending| pending.target != from);
        match message {
            Message::Probe { nonce, .. } => {
                let digest = state.digest();
                let nonce = *nonce;
                out.send(from, &Message::Answer { nonce, digest });
            }
            Message::Answer { nonce, .. } => {
                self.pending.remove(nonce);
                if let Some(errand) = self.errands.remove(nonce) {
                    // The digest is the helper's own: its asker credits it to the helper.
                    let (nonce, digest) = (errand.nonce, state.digest());
                    out.send(errand.asker, &Message::Answer { nonce, digest });
                }
            }
            Message::Relay { nonce, target } => {
                self.run_errand(state.digest(), (from, *nonce), *target, now, out);
            }
            _ => {}
        }
        challenge(state, from, out);
    }

    fn run_errand(
        &mut self,
        digest: StateDigest,
        (asker, nonce): (Address, u64),
        target: Address,
        now: Instant,
        out: &mut Outbox,
    ) {
        if self.errands.len() >= MAX_ERRANDS {
            return;
        }
        let own = self.rng.random();
        let sent = now;
        self.errands.insert(own, Errand { asker, nonce, sent });
        out.send(target, &Message::Probe { nonce: own, digest });
    }
}

/// Returns the life of the daemon at `address`, unless it is held silent.
fn live_incarnation(state: &ControlState, address: Address) -> Option<Incarnation> {
    let member = &state.members.get(address)?.member;
    (member.liveness == Liveness::Alive).then_some(member.instance.incarnation)
}

/// Tells a daemon that speaks although it is held silent, so that it refutes.
fn challenge(state: &ControlState, from: Address, out: &mut Outbox) {
    let Some(entry) = state.members.get(from) else {
        return;
    };
    if entry.member.liveness == Liveness::Alive {
        return;
    }
    let updates = vec![Update::Member(entry.member.clone())];
    out.send(from, &Message::Gossip { updates });
}

fn suspect(state: &mut ControlState, target: Address, now: Instant) {
    let Some(entry) = state.members.get(target) else {
        return;
    };
    if entry.member.liveness == Liveness::Alive {
        let member = entry.member.with_liveness(Liveness::Suspect);
        state.merge_and_propagate(&member, None, now);
    }
}
