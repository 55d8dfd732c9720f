//! Probes of the other data centres.

use std::collections::BTreeMap;
use std::time::Duration;

use marigold_types::{Address, DataCentre};
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::controller::{Controller, Input};
use crate::controllers::gossip::assigned_remote_followers;
use crate::{ControlState, Event, Message, Outbox};

/// The maximum interval between probes of a data centre, even with the options optimized for low
/// traffic: it may be the only source of new versions if the local followers cannot reach the log.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// The number of probe intervals without a message after which a data centre is unreachable.
const UNREACHABLE_INTERVALS: u32 = 3;

/// The state of a follower's probes of one other data centre.
#[derive(Debug, Clone, Copy)]
struct Link {
    last_message: Instant,
    next_probe: Instant,
    attempts: usize,
}

/// Probes one daemon of each other data centre from a follower, which announces the ones that it
/// cannot reach.
///
/// The members of an unreachable data centre are kept and considered suspect: only daemons of their
/// own data centre declare them dead.
#[derive(Debug)]
pub struct Remote {
    rng: ChaCha8Rng,
    links: BTreeMap<DataCentre, Link>,
    nonce: u64,
}

impl Controller for Remote {
    fn name(&self) -> &'static str {
        "remote"
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
            Input::Event(Event::Resumed { .. }) => self.links.clear(),
            Input::Event(_) => {}
            Input::Message { from, message } => self.handle_message(state, from, message, now, out),
        }
    }
}

impl Remote {
    /// Creates the controller.
    #[must_use]
    pub fn new(rng: ChaCha8Rng) -> Self {
        Self {
            rng,
            links: BTreeMap::new(),
            nonce: 0,
        }
    }

    fn tick(&mut self, state: &mut ControlState, now: Instant, out: &mut Outbox) {
        if !state.topology.is_follower {
            self.links.clear();
            state.unreachable_data_centres.clear();
            return;
        }
        let names = state.topology.other_data_centres.clone();
        self.links.retain(|name, _| names.contains(name));
        state
            .unreachable_data_centres
            .retain(|name| names.contains(name));
        for name in names {
            self.probe(state, &name, now, out);
        }
    }

    fn probe(
        &mut self,
        state: &mut ControlState,
        name: &DataCentre,
        now: Instant,
        out: &mut Outbox,
    ) {
        let interval = state.options.compare.min(MAX_PROBE_INTERVAL);
        let jittered = interval.mul_f64(self.rng.random_range(0.8..1.2));
        let link = self.links.entry(name.clone()).or_insert(Link {
            last_message: now,
            next_probe: now + jittered / 4,
            attempts: 0,
        });
        if now < link.next_probe {
            return;
        }
        link.next_probe = now + jittered;
        let attempts = link.attempts;
        link.attempts += 1;
        if now.duration_since(link.last_message) >= interval * UNREACHABLE_INTERVALS {
            state.unreachable_data_centres.insert(name.clone());
        }
        if let Some(target) = self.choose_target(state, name, attempts) {
            let digest = state.digest();
            self.nonce = self.nonce.wrapping_add(1);
            let nonce = self.nonce;
            out.send(
                target,
                &Message::Probe {
                    nonce,
                    mark: digest,
                },
            );
        }
    }

    /// Chooses the assigned follower for the first attempt, then any member: all followers may have
    /// been replaced while the data centre was unreachable.
    fn choose_target(
        &mut self,
        state: &ControlState,
        name: &DataCentre,
        attempts: usize,
    ) -> Option<Address> {
        if attempts == 0 {
            let followers = assigned_remote_followers(state);
            let is_in_data_centre = |peer: &&Address| {
                let entry = state.members.get(**peer);
                entry.is_some_and(|entry| entry.member.data_centre == *name)
            };
            return followers.iter().find(is_in_data_centre).copied();
        }
        let members = state.members.iter();
        let candidates: Vec<Address> = members
            .filter(|entry| entry.member.data_centre == *name)
            .map(|entry| entry.member.address())
            .collect();
        candidates.choose(&mut self.rng).copied()
    }

    fn handle_message(
        &mut self,
        state: &mut ControlState,
        from: Address,
        message: &Message,
        now: Instant,
        out: &mut Outbox,
    ) {
        let Some(entry) = state.members.get(from) else {
            return;
        };
        let Some(link) = self.links.get_mut(&entry.member.data_centre) else {
            return;
        };
        link.last_message = now;
        link.attempts = 0;
        state
            .unreachable_data_centres
            .remove(&entry.member.data_centre);
        if let Message::Answer { mark: digest, .. } = message {
            let own = state.digest();
            if digest.table != own.table {
                out.send(from, &Message::Compare { mark: own });
            }
        }
    }
}
