//! What the daemon says of itself.

use std::time::Duration;

use marigold_types::Incarnation;
use tokio::time::Instant;

use crate::controller::{Controller, Input};
use crate::{Board, Event, Member, Message, News, Outbox, Update};

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

    fn handle(&mut self, board: &mut Board, input: Input<'_>, now: Instant, out: &mut Outbox) {
        if let Input::Event(event) = input {
            take_local(board, event);
        }
        self.answer_challenge(board);
        self.announce(board, now);
        tell_doubters(board, out);
    }
}

impl Announcement {
    /// Overrides a record of this daemon that somebody else wrote, or that an earlier life left.
    fn answer_challenge(&mut self, board: &mut Board) {
        let Some(held) = board.challenge.take() else {
            return;
        };
        let own = &mut board.local.instance.incarnation;
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

    fn announce(&mut self, board: &mut Board, now: Instant) {
        let mut member = Member::announce(&board.local, self.revision);
        member.cut = board.unreached.iter().cloned().collect();
        let Some(entry) = board.members.get(member.address()) else {
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
        board.members.merge(&member, now);
        board.urgent |= member.draining;
        board.news.push(News {
            update: Update::Member(member),
            from: None,
        });
    }
}

/// Sends the daemon's own record to those that hold another one.
fn tell_doubters(board: &mut Board, out: &mut Outbox) {
    for doubter in std::mem::take(&mut board.doubters) {
        if let Some(own) = board.members.get(board.address()) {
            let updates = vec![Update::Member(own.member.clone())];
            out.send(doubter, &Message::Gossip { updates });
        }
    }
}

fn take_local(board: &mut Board, event: &Event) {
    match event {
        Event::Announced {
            service,
            slots,
            healthy,
        } => {
            board.local.service = Some(service.clone());
            board.local.slots = *slots;
            board.local.healthy = *healthy;
        }
        Event::Draining => board.local.draining = true,
        _ => {}
    }
}
