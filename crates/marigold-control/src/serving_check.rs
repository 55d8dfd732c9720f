//! The questions that a daemon has answered before it serves.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use marigold_types::{Address, Version};
use tokio::time::Instant;

use crate::{ControlState, Message, Outbox};

/// How long one answer is waited for.
const PATIENCE: Duration = Duration::from_secs(1);
/// After so many questions a daemon is given up.
const TRIES: u32 = 3;
/// How long the log's word is waited for, once the peers have answered.
const LOG_PATIENCE: Duration = Duration::from_secs(3);
/// After so long without enough answers everybody is asked again.
const ROUND: Duration = Duration::from_secs(10);
/// How long a daemon that was paused, and so has lost nothing, waits for its peers.
const PAUSE_PATIENCE: Duration = Duration::from_secs(5);

/// A question under way.
#[derive(Debug, Clone, Copy)]
struct Asked {
    at: Instant,
    tries: u32,
}

/// Gathers what the peers and the log say of the version that this daemon's address has held.
///
/// A daemon keeps nothing across a restart, so its neighbours keep it: those that probe it, those
/// that it probes, its parent in the fan-out tree and the followers. It serves once every one of
/// them has answered or is given up, the log was read to its end if it could be, and it holds at
/// least the newest version that any answer named. A daemon that has itself just started counts
/// for nothing, so that a mesh restarted as a whole waits for the log. See docs/design/control.md.
#[derive(Debug)]
pub struct ServingCheck {
    paused: bool,
    began: Option<Instant>,
    waiting: BTreeMap<Address, Asked>,
    floor: Version,
    serving_peers: BTreeSet<Address>,
    recent_log_read: bool,
}

impl ServingCheck {
    /// Makes the check of a daemon that holds nothing.
    #[must_use]
    pub fn after_start() -> Self {
        Self {
            paused: false,
            began: None,
            waiting: BTreeMap::new(),
            floor: Version::default(),
            serving_peers: BTreeSet::new(),
            recent_log_read: false,
        }
    }

    /// Makes the check of a daemon that was paused and may have been overtaken.
    #[must_use]
    pub fn after_pause() -> Self {
        Self {
            paused: true,
            ..Self::after_start()
        }
    }

    /// Asks those that have not answered.
    pub fn ask(&mut self, state: &ControlState, now: Instant, out: &mut Outbox) {
        if !state.joined {
            return;
        }
        let began = *self.began.get_or_insert_with(|| {
            self.waiting = first_questions(state, now);
            now
        });
        if now.duration_since(began) >= ROUND {
            self.began = None;
            return;
        }
        self.repeat_to_followers(state, now);
        self.waiting
            .retain(|_, asked| asked.tries < TRIES || now < asked.at);
        for (peer, asked) in &mut self.waiting {
            if now >= asked.at {
                asked.at = now + PATIENCE;
                asked.tries += 1;
                out.send(*peer, &Message::Recall);
            }
        }
    }

    /// Takes in an answer.
    pub fn take(&mut self, from: Address, message: &Message) {
        let Message::Recalled {
            held,
            settled,
            fresh,
            mark,
            ..
        } = message
        else {
            return;
        };
        self.waiting.remove(&from);
        self.floor = self.floor.max(*held).max(mark.version);
        self.recent_log_read |= *fresh;
        if *settled {
            self.serving_peers.insert(from);
        }
    }

    /// Returns whether the daemon may serve.
    #[must_use]
    pub fn passes(&self, state: &ControlState, now: Instant) -> bool {
        let Some(began) = self.began else {
            return false;
        };
        let waited = now.duration_since(began);
        if state.config.version < self.floor {
            return false;
        }
        if self.paused && waited >= PAUSE_PATIENCE {
            return true;
        }
        if !self.waiting.is_empty() {
            return false;
        }
        let log_read = self.recent_log_read
            || state
                .log
                .last_complete_read
                .is_some_and(|read| read >= began);
        log_read || !self.serving_peers.is_empty() && waited >= LOG_PATIENCE
    }

    /// Asks the followers again while the log has not spoken: their next read may reach it.
    fn repeat_to_followers(&mut self, state: &ControlState, now: Instant) {
        if self.recent_log_read || !self.waiting.is_empty() || state.topology.is_follower {
            return;
        }
        for follower in &state.topology.followers {
            let at = now + PATIENCE;
            let tries = TRIES - 1;
            self.waiting.insert(*follower, Asked { at, tries });
        }
    }
}

fn first_questions(state: &ControlState, now: Instant) -> BTreeMap<Address, Asked> {
    let topology = &state.topology;
    let lists = [
        &topology.predecessors,
        &topology.successors,
        &topology.followers,
    ];
    let mut peers: BTreeSet<Address> = lists.into_iter().flatten().copied().collect();
    peers.extend(topology.parent);
    // A data centre of one asks the followers of the others.
    if peers.len() < 2 {
        peers.extend(topology.remote_followers.values().flatten());
    }
    peers.remove(&state.address());
    let asked = Asked { at: now, tries: 0 };
    peers.into_iter().map(|peer| (peer, asked)).collect()
}
