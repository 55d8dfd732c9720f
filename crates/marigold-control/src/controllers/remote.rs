//! Keeps in touch with the other data centres.

use std::collections::BTreeMap;
use std::time::Duration;

use marigold_types::{Address, DataCentre};
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::controller::{Controller, Input};
use crate::controllers::gossip::remote_links;
use crate::{ControlState, Event, Message, Outbox};

/// A data centre is probed at least so often, also where bytes are favoured: it may be the only way
/// to a new version when this data centre's followers cannot reach the log.
const MAX_PERIOD: Duration = Duration::from_secs(5);
/// A data centre is held unreachable after so many intervals without a sign from it.
const MISSED_ROUNDS: u32 = 3;

/// What a follower knows of its link to one other data centre.
#[derive(Debug, Clone, Copy)]
struct Link {
    heard: Instant,
    next: Instant,
    tries: usize,
}

/// Has a follower probe one daemon of each other data centre, and say which it cannot reach.
///
/// The members of a data centre that cannot be reached are kept, and only suspected: who lives
/// there is for its own daemons to say.
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
            Input::Message { from, message } => self.hear(state, from, message, now, out),
        }
    }
}

impl Remote {
    /// Makes the controller, which draws its numbers from `rng`.
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
        let period = state.options.compare.min(MAX_PERIOD);
        let spread = period.mul_f64(self.rng.random_range(0.8..1.2));
        let link = self.links.entry(name.clone()).or_insert(Link {
            heard: now,
            next: now + spread / 4,
            tries: 0,
        });
        if now < link.next {
            return;
        }
        link.next = now + spread;
        let tries = link.tries;
        link.tries += 1;
        if now.duration_since(link.heard) >= period * MISSED_ROUNDS {
            state.unreachable_data_centres.insert(name.clone());
        }
        if let Some(target) = self.pick(state, name, tries) {
            let digest = state.digest();
            self.nonce = self.nonce.wrapping_add(1);
            let nonce = self.nonce;
            out.send(target, &Message::Probe { nonce, digest });
        }
    }

    /// Takes the follower of the same rank first, then any member: they may all have been replaced
    /// while the data centre was out of reach.
    fn pick(&mut self, state: &ControlState, name: &DataCentre, tries: usize) -> Option<Address> {
        if tries == 0 {
            let links = remote_links(state);
            let at_home = |peer: &&Address| {
                let entry = state.members.get(**peer);
                entry.is_some_and(|entry| entry.member.data_centre == *name)
            };
            return links.iter().find(at_home).copied();
        }
        let members = state.members.iter();
        let there: Vec<Address> = members
            .filter(|entry| entry.member.data_centre == *name)
            .map(|entry| entry.member.address())
            .collect();
        there.choose(&mut self.rng).copied()
    }

    fn hear(
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
        link.heard = now;
        link.tries = 0;
        state
            .unreachable_data_centres
            .remove(&entry.member.data_centre);
        if let Message::Answer { digest, .. } = message {
            let own = state.digest();
            if digest.table != own.table {
                out.send(from, &Message::Compare { digest: own });
            }
        }
    }
}
