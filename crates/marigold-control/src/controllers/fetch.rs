//! Answers requests for snapshots and deltas.

use marigold_types::{Address, Version};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::controller::{Controller, Input};
use crate::fetch_limiter::FetchDecision;
use crate::message::MAX_MEMBERS;
use crate::{ControlState, Member, Message, Outbox, SnapshotKind};

/// The base of the randomized delay after which a deferred daemon asks again, in milliseconds.
const RETRY_DELAY_MILLIS: u32 = 500;

/// Answers requests for the configuration and the members table, within the limit on concurrent
/// transfers.
#[derive(Debug)]
pub struct Fetch {
    rng: ChaCha8Rng,
}

impl Controller for Fetch {
    fn name(&self) -> &'static str {
        "fetch"
    }

    fn handle(
        &mut self,
        state: &mut ControlState,
        input: Input<'_>,
        now: Instant,
        out: &mut Outbox,
    ) {
        let Input::Message { from, message } = input else {
            return;
        };
        match message {
            Message::Fetch { held } => self.send_config(state, from, *held, now, out),
            Message::Join { member } if member.address() == from => {
                self.send_members(state, from, member, now, out);
            }
            Message::Holding {
                subject: snapshot, ..
            } => state.fetch_limiter.release(from, *snapshot, now),
            Message::Recall => answer_recall(state, from, now, out),
            _ => {}
        }
    }
}

impl Fetch {
    /// Creates the controller.
    #[must_use]
    pub fn new(rng: ChaCha8Rng) -> Self {
        Self { rng }
    }

    /// Sends the delta from the held version, or the whole configuration if that version is
    /// unknown.
    fn send_config(
        &mut self,
        state: &mut ControlState,
        from: Address,
        held: Version,
        now: Instant,
        out: &mut Outbox,
    ) {
        if held >= state.config.version {
            return;
        }
        let base = state
            .previous_configs
            .iter()
            .find(|config| config.version == held);
        if let Some(base) = base.filter(|base| !base.declarations().is_empty()) {
            let delta = base.delta_to(&state.config);
            out.send(from, &Message::Delta { delta });
            return;
        }
        if self.admit(state, from, SnapshotKind::Config, now, out) {
            let config = state.config.as_ref().clone();
            let digest = state.config_digest;
            out.send(from, &Message::Whole { config, digest });
        }
    }

    fn send_members(
        &mut self,
        state: &mut ControlState,
        from: Address,
        member: &Member,
        now: Instant,
        out: &mut Outbox,
    ) {
        state.merge_and_propagate(member, Some(from), now);
        if !self.admit(state, from, SnapshotKind::Members, now, out) {
            return;
        }
        let members: Vec<Member> = state.members.iter().map(|e| e.member.clone()).collect();
        let parts = members.chunks(MAX_MEMBERS);
        let count = parts.len();
        for (index, part) in parts.enumerate() {
            let members = part.to_vec();
            let last = index + 1 == count;
            let table = Message::Table {
                members,
                last,
                joined: state.joined,
            };
            out.send(from, &table);
        }
    }

    fn admit(
        &mut self,
        state: &mut ControlState,
        from: Address,
        snapshot: SnapshotKind,
        now: Instant,
        out: &mut Outbox,
    ) -> bool {
        let FetchDecision::Deferred { other } = state.fetch_limiter.admit(from, snapshot, now)
        else {
            return true;
        };
        out.counters.deferred += 1;
        let retry_after_millis = self
            .rng
            .random_range(RETRY_DELAY_MILLIS / 2..RETRY_DELAY_MILLIS * 2);
        let busy = Message::Busy {
            subject: snapshot,
            retry: retry_after_millis,
            other,
        };
        out.send(from, &busy);
        false
    }
}

/// Reports the version and incarnation that the sender's address is known to have had: a restarted
/// daemon has no record of them.
fn answer_recall(state: &ControlState, from: Address, now: Instant, out: &mut Outbox) {
    let entry = state.members.get(from);
    let recalled = Message::Recalled {
        held: entry.map_or_else(Version::default, |entry| entry.held),
        life: entry.map_or_else(Default::default, |entry| entry.member.instance.incarnation),
        settled: state.is_serving(),
        fresh: state.has_recent_log_read(now),
        mark: state.digest(),
    };
    out.send(from, &recalled);
}
