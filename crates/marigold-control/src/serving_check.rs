//! The check that a daemon passes before it serves requests.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use marigold_types::{Address, Version};
use tokio::time::Instant;

use crate::{ControlState, Message, Outbox};

/// How long an answer to a query is awaited before the next attempt.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// How many times a daemon is queried before it is skipped.
const MAX_ATTEMPTS: u32 = 3;
/// How long a complete read of the log is awaited if peers that serve have answered.
const LOG_READ_TIMEOUT: Duration = Duration::from_secs(3);
/// After this time without enough answers all peers are queried again.
const ROUND_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a daemon that was paused, and has kept its state, waits for answers before it serves.
const RESUME_TIMEOUT: Duration = Duration::from_secs(5);

/// A query that has not been answered.
#[derive(Debug, Clone, Copy)]
struct PendingQuery {
    next_attempt: Instant,
    attempts: u32,
}

/// Determines the newest version that this daemon's address has held before, from peers and the
/// log, so that a restarted daemon never serves an older one.
///
/// A daemon stores nothing across a restart; its version is remembered by the daemons that probe
/// it, those that it probes, its parent in the fan-out tree and the followers. It serves once each
/// of them has answered or is skipped, the log was read to its end if it is available, and its
/// configuration is at least the newest version in any answer. Answers of daemons that do not serve
/// yet do not replace reading the log, so that a mesh restarted as a whole waits for the log. See
/// docs/design/control.md.
#[derive(Debug)]
pub struct ServingCheck {
    is_resuming: bool,
    started: Option<Instant>,
    pending: BTreeMap<Address, PendingQuery>,
    required_version: Version,
    serving_peers: BTreeSet<Address>,
    recent_log_read: bool,
}

impl ServingCheck {
    /// Creates the check of a daemon that has just started and has no state.
    #[must_use]
    pub fn after_start() -> Self {
        Self {
            is_resuming: false,
            started: None,
            pending: BTreeMap::new(),
            required_version: Version::default(),
            serving_peers: BTreeSet::new(),
            recent_log_read: false,
        }
    }

    /// Creates the check of a daemon that was paused and may have missed newer versions.
    #[must_use]
    pub fn after_pause() -> Self {
        Self {
            is_resuming: true,
            ..Self::after_start()
        }
    }

    /// Queries the peers that have not answered.
    pub fn send_queries(&mut self, state: &ControlState, now: Instant, out: &mut Outbox) {
        if !state.joined {
            return;
        }
        let started = *self.started.get_or_insert_with(|| {
            self.pending = initial_queries(state, now);
            now
        });
        if now.duration_since(started) >= ROUND_TIMEOUT {
            self.started = None;
            return;
        }
        self.requery_followers(state, now);
        self.pending
            .retain(|_, query| query.attempts < MAX_ATTEMPTS || now < query.next_attempt);
        for (peer, query) in &mut self.pending {
            if now >= query.next_attempt {
                query.next_attempt = now + ANSWER_TIMEOUT;
                query.attempts += 1;
                out.send(*peer, &Message::Recall);
            }
        }
    }

    /// Records the answer of a peer.
    pub fn record_answer(&mut self, from: Address, message: &Message) {
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
        self.pending.remove(&from);
        self.required_version = self.required_version.max(*held).max(mark.version);
        self.recent_log_read |= *fresh;
        if *settled {
            self.serving_peers.insert(from);
        }
    }

    /// Returns whether the daemon may serve requests.
    #[must_use]
    pub fn passes(&self, state: &ControlState, now: Instant) -> bool {
        let Some(started) = self.started else {
            return false;
        };
        let elapsed = now.duration_since(started);
        if state.config.version < self.required_version {
            return false;
        }
        if self.is_resuming && elapsed >= RESUME_TIMEOUT {
            return true;
        }
        if !self.pending.is_empty() {
            return false;
        }
        let log_read = self.recent_log_read
            || state
                .log
                .last_complete_read
                .is_some_and(|read| read >= started);
        log_read || !self.serving_peers.is_empty() && elapsed >= LOG_READ_TIMEOUT
    }

    /// Queries the followers again until one of them has read the log to its end.
    fn requery_followers(&mut self, state: &ControlState, now: Instant) {
        if self.recent_log_read || !self.pending.is_empty() || state.topology.is_follower {
            return;
        }
        for follower in &state.topology.followers {
            let next_attempt = now + ANSWER_TIMEOUT;
            let attempts = MAX_ATTEMPTS - 1;
            self.pending.insert(
                *follower,
                PendingQuery {
                    next_attempt,
                    attempts,
                },
            );
        }
    }
}

fn initial_queries(state: &ControlState, now: Instant) -> BTreeMap<Address, PendingQuery> {
    let topology = &state.topology;
    let lists = [
        &topology.predecessors,
        &topology.successors,
        &topology.followers,
    ];
    let mut peers: BTreeSet<Address> = lists.into_iter().flatten().copied().collect();
    peers.extend(topology.parent);
    // The only daemon of a data centre queries the followers of the other ones.
    if peers.len() < 2 {
        peers.extend(topology.remote_followers.values().flatten());
    }
    peers.remove(&state.address());
    let query = PendingQuery {
        next_attempt: now,
        attempts: 0,
    };
    peers.into_iter().map(|peer| (peer, query)).collect()
}
