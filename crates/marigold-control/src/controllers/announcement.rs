//! Announcements of this daemon and its backend server.

use std::time::Duration;

use marigold_types::Incarnation;
use tokio::time::Instant;

use crate::controller::{Controller, Input};
use crate::{ControlState, Event, Member, Message, Outbox, PendingUpdate, Update};

/// The minimum time between two announced changes of health.
const MIN_HEALTH_CHANGE_INTERVAL: Duration = Duration::from_secs(3);

/// Announces the daemon and its backend server, and refutes records of it that are wrong.
#[derive(Debug, Default)]
pub struct Announcement {
    revision: u32,
    last_health_change: Option<Instant>,
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
            apply_local_event(state, event);
        }
        self.refute_conflict(state);
        self.announce(state, now);
        update_outdated_peers(state, out);
    }
}

impl Announcement {
    /// Overrides a record of this daemon that another daemon wrote, or that an earlier incarnation
    /// left behind.
    fn refute_conflict(&mut self, state: &mut ControlState) {
        let Some(conflicting) = state.conflicting_record.take() else {
            return;
        };
        let own = &mut state.local.instance.incarnation;
        if conflicting.instance.incarnation > *own {
            // Incarnations are taken from the clock, which has stepped back since the last start.
            *own = Incarnation(conflicting.instance.incarnation.0.saturating_add(1));
            self.revision = 0;
        } else {
            self.revision = self.revision.max(conflicting.revision.saturating_add(1));
        }
    }

    /// Delays a change of health that follows too soon after the previous one, so that a flapping
    /// health endpoint does not flood the mesh with updates.
    fn debounce_health(&mut self, announced: bool, healthy: bool, now: Instant) -> bool {
        let is_recent = |at: Instant| now.duration_since(at) < MIN_HEALTH_CHANGE_INTERVAL;
        if self.last_health_change.is_some_and(is_recent) {
            return announced;
        }
        self.last_health_change = Some(now);
        healthy
    }

    fn announce(&mut self, state: &mut ControlState, now: Instant) {
        let mut member = Member::announce(&state.local, self.revision);
        member.unreachable_data_centres = state.unreachable_data_centres.iter().cloned().collect();
        let Some(entry) = state.members.get(member.address()) else {
            return;
        };
        if entry.member.healthy != member.healthy {
            member.healthy = self.debounce_health(entry.member.healthy, member.healthy, now);
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

/// Sends the daemon's own record to peers that have an outdated one.
fn update_outdated_peers(state: &mut ControlState, out: &mut Outbox) {
    for peer in std::mem::take(&mut state.outdated_peers) {
        if let Some(own) = state.members.get(state.address()) {
            let updates = vec![Update::Member(own.member.clone())];
            out.send(peer, &Message::Gossip { updates });
        }
    }
}

fn apply_local_event(state: &mut ControlState, event: &Event) {
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
