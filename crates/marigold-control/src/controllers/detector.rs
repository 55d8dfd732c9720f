//! Detects daemons that no longer respond.

use std::collections::BTreeMap;

use marigold_types::{Address, Incarnation};
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::controller::{Controller, Input};
use crate::expiry::expire_members;
use crate::{ControlState, Event, Liveness, Message, Outbox, StateDigest, Update};

/// One in this many probes goes to a suspected or dead member, to detect that it is back.
const PROBES_PER_REDISCOVERY: u64 = 4;
/// How many peers are asked to probe a daemon that did not answer.
const INDIRECT_PROBES: usize = 2;
/// The maximum number of outstanding probes on behalf of other daemons.
const MAX_RELAYED_PROBES: usize = 1_024;

/// A probe that has not been answered.
#[derive(Debug, Clone, Copy)]
struct PendingProbe {
    target: Address,
    /// The probed incarnation; absent if it was already suspected or dead.
    incarnation: Option<Incarnation>,
    sent: Instant,
    relayed: bool,
}

/// A probe on behalf of another daemon.
#[derive(Debug, Clone, Copy)]
struct RelayedProbe {
    requester: Address,
    nonce: u64,
    sent: Instant,
}

/// Probes the successors on the ring in turn.
///
/// A daemon that answers neither a direct nor an indirect probe is suspected, and later declared
/// dead.
#[derive(Debug)]
pub struct Detector {
    rng: ChaCha8Rng,
    pending: BTreeMap<u64, PendingProbe>,
    relayed_probes: BTreeMap<u64, RelayedProbe>,
    next_probe: Option<Instant>,
    probe_count: u64,
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
            Input::Event(Event::Resumed { .. }) => self.handle_resume(state, now),
            Input::Event(Event::Unreachable { peer }) => self.handle_unreachable(state, *peer, now),
            Input::Event(_) => {}
            Input::Message { from, message } => self.handle_message(state, from, message, now, out),
        }
    }
}

impl Detector {
    /// Creates the detector.
    #[must_use]
    pub fn new(rng: ChaCha8Rng) -> Self {
        Self {
            rng,
            pending: BTreeMap::new(),
            relayed_probes: BTreeMap::new(),
            next_probe: None,
            probe_count: 0,
        }
    }

    fn tick(&mut self, state: &mut ControlState, now: Instant, out: &mut Outbox) {
        self.handle_timeouts(state, now, out);
        expire_members(state, now);
        let jittered = state.options.probe.mul_f64(self.rng.random_range(0.8..1.2));
        let next = *self.next_probe.get_or_insert(now + jittered / 2);
        if now < next {
            return;
        }
        self.next_probe = Some(now + jittered);
        if let Some(target) = self.choose_target(state) {
            self.probe(state, target, now, out);
        }
    }

    /// Discards outstanding probes: after a pause of this daemon, a missing answer proves nothing.
    fn handle_resume(&mut self, state: &mut ControlState, now: Instant) {
        self.pending.clear();
        self.relayed_probes.clear();
        self.next_probe = Some(now);
        state.members.restart_suspicions(now);
    }

    fn choose_target(&mut self, state: &ControlState) -> Option<Address> {
        self.probe_count += 1;
        if self.probe_count.is_multiple_of(PROBES_PER_REDISCOVERY) {
            let unresponsive: Vec<Address> = state
                .members
                .iter()
                .filter(|entry| entry.member.liveness != Liveness::Alive)
                .filter(|entry| entry.member.data_centre == state.local.data_centre)
                .map(|entry| entry.member.address())
                .collect();
            if let Some(target) = unresponsive.choose(&mut self.rng) {
                return Some(*target);
            }
        }
        let successors = &state.topology.successors;
        let index = usize::try_from(self.probe_count).unwrap_or(0) % successors.len().max(1);
        successors.get(index).copied()
    }

    fn probe(&mut self, state: &ControlState, target: Address, now: Instant, out: &mut Outbox) {
        let nonce = self.rng.random();
        let digest = state.digest();
        let pending = PendingProbe {
            target,
            incarnation: live_incarnation(state, target),
            sent: now,
            relayed: false,
        };
        self.pending.insert(nonce, pending);
        out.send(
            target,
            &Message::Probe {
                nonce,
                mark: digest,
            },
        );
    }

    /// Has peers probe the daemons that have not answered in time, and suspects those that did not
    /// answer the peers either.
    fn handle_timeouts(&mut self, state: &mut ControlState, now: Instant, out: &mut Outbox) {
        let timeout = state.options.probe / 2;
        let is_late = |sent: Instant| now.duration_since(sent) >= timeout;
        self.relayed_probes.retain(|_, probe| !is_late(probe.sent));
        let overdue: Vec<(u64, PendingProbe)> = self
            .pending
            .iter()
            .filter(|(_, pending)| is_late(pending.sent))
            .map(|(nonce, pending)| (*nonce, *pending))
            .collect();
        for (nonce, pending) in overdue {
            self.pending.remove(&nonce);
            // The daemon has restarted meanwhile, or is suspected or dead already.
            let incarnation = live_incarnation(state, pending.target);
            if incarnation.is_none() || incarnation != pending.incarnation {
                continue;
            }
            if pending.relayed {
                suspect(state, pending.target, now);
                continue;
            }
            let peers = state.topology.peers();
            let helpers = peers.sample(&mut self.rng, INDIRECT_PROBES + 1).copied();
            for helper in helpers
                .filter(|peer| *peer != pending.target)
                .take(INDIRECT_PROBES)
            {
                let target = pending.target;
                out.send(helper, &Message::Relay { nonce, target });
            }
            let relayed = PendingProbe {
                sent: now,
                relayed: true,
                ..pending
            };
            self.pending.insert(nonce, relayed);
        }
    }

    fn handle_unreachable(&mut self, state: &mut ControlState, peer: Address, now: Instant) {
        let outstanding = self.pending.values_mut().find(|p| p.target == peer);
        if let Some(pending) = outstanding {
            // The probe times out at the next tick, which still asks peers first.
            let timeout = state.options.probe / 2;
            pending.sent = now.checked_sub(timeout).unwrap_or(now);
        }
    }

    fn handle_message(
        &mut self,
        state: &mut ControlState,
        from: Address,
        message: &Message,
        now: Instant,
        out: &mut Outbox,
    ) {
        // Any message proves that the sender is alive.
        self.pending.retain(|_, pending| pending.target != from);
        match message {
            Message::Probe { nonce, .. } => {
                let digest = state.digest();
                let nonce = *nonce;
                out.send(
                    from,
                    &Message::Answer {
                        nonce,
                        mark: digest,
                    },
                );
            }
            Message::Answer { nonce, .. } => {
                self.pending.remove(nonce);
                if let Some(probe) = self.relayed_probes.remove(nonce) {
                    // The receiver attributes the digest to the sender, so it is this daemon's own.
                    let (nonce, digest) = (probe.nonce, state.digest());
                    out.send(
                        probe.requester,
                        &Message::Answer {
                            nonce,
                            mark: digest,
                        },
                    );
                }
            }
            Message::Relay { nonce, target } => {
                self.relay_probe(state.digest(), (from, *nonce), *target, now, out);
            }
            _ => {}
        }
        prompt_refutation(state, from, out);
    }

    fn relay_probe(
        &mut self,
        digest: StateDigest,
        (requester, nonce): (Address, u64),
        target: Address,
        now: Instant,
        out: &mut Outbox,
    ) {
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES {
            return;
        }
        let own_nonce = self.rng.random();
        let probe = RelayedProbe {
            requester,
            nonce,
            sent: now,
        };
        self.relayed_probes.insert(own_nonce, probe);
        out.send(
            target,
            &Message::Probe {
                nonce: own_nonce,
                mark: digest,
            },
        );
    }
}

/// Returns the incarnation of the daemon at `address` if it is alive.
fn live_incarnation(state: &ControlState, address: Address) -> Option<Incarnation> {
    let member = &state.members.get(address)?.member;
    (member.liveness == Liveness::Alive).then_some(member.instance.incarnation)
}

/// Sends a suspected or dead daemon that sent a message its record, so that it refutes it.
fn prompt_refutation(state: &ControlState, from: Address, out: &mut Outbox) {
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
