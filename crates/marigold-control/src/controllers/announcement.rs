//! What the daemon says of itself.

use std::time::Duration;

use marigold_types::Incarnation;
use tokio::time::Instant;

use crate::controller::{Controller, Input};
use crate::{ControlState, Event, Member, Message, Outbox, PendingUpdate, Update};

/// How soon one change of health may follow another.
const HEALTH_PERIOD: Duration = Duration::from_secs(3);

/// Announces the daemon and its backend server, and refutes what others wrongly hold of it.
#[derive(Debug, Default)]
pub struct Announcement {
    revision: u32,
    judged: Option<Instant>,
}

impl Controller for Announcement {
    fn name(&self) -> &'static str {
        "announcement"
    }

    fn handle(
        &mut self,
        state: &mut ControlState,
        input: Input<'_>,
        now: Instant,
        out: &mut Outbox,
    ) {
        if let Input::Event(event) = input {
            take_local(state, event);
        }
        self.answer_challenge(state);
        self.announce(state, now);
        tell_doubters(state, out);
    }
}

impl Announcement {
    /// Overrides a record of this daemon that somebody else wrote, or that an earlier life left.
    fn answer_challenge(&mut self, state: &mut ControlState) {
        let Some(held) = state.conflicting_record.take() else {
            return;
        };
        let own = &mut state.local.instance.incarnation;
        if held.instance.incarnation > *own {
            // The clock that numbers the starts stepped back; this life is the later one.
            *own = Incarnation(held.instance.incarnation.0.saturating_add(1));
            self.revision = 0;
        } else {
            self.revision = self.revision.max(held.revision.saturating_add(1));
        }
    }

    /// Holds a change of health back that follows too soon on the last, so that a health endpoint
    /// that wavers does not flood the mesh.
    fn damp(&mut self, told: bool, healthy: bool, now: Instant) -> bool {
        let soon = |at: Instant| now.duration_since(at) < HEALTH_PERIOD;
        if self.judged.is_some_and(soon) {
            return told;
        }
        self.judged = Some(now);
        healthy
    }

    fn announce(&mut self, state: &mut ControlState, now: Instant) {
        let mut member = Member::announce(&state.local, self.revision);
        member.unreachable_data_centres = state.unreachable_data_centres.iter().cloned().collect();
        let Some(entry) = state.members.get(member.address()) else {
            return;
        };
        if entry.member.healthy != member.healthy {
            member.healthy = self.damp(entry.member.healthy, member.healthy, now);
        }
        if entry.member == member {
            return;
        }
        if entry.member.rank() == member.rank() {
            self.revision += 1;
            member.revision = self.revision;
        }
        state.members.merge(&member, now);
        state.urgent |= member.draining;
        state.pending_updates.push(PendingUpdate {
            update: Update::Member(member),
            from: None,
        });
    }
}

/// Sends the daemon's own record to those that hold another one.
fn tell_doubters(state: &mut ControlState, out: &mut Outbox) {
    for doubter in std::mem::take(&mut state.outdated_peers) {
        if let Some(own) = state.members.get(state.address()) {
            let updates = vec![Update::Member(own.member.clone())];
            out.send(doubter, &Message::Gossip { updates });
        }
    }
}

fn take_local(state: &mut ControlState, event: &Event) {
    match event {
        Event::Announced {
            service,
            slots,
            healthy,
        } => {
            state.local.service = Some(service.clone());
            state.local.slots = *slots;
            state.local.healthy = *healthy;
        }
        Event::Draining => state.local.draining = true,
        _ => {}
    }
}
