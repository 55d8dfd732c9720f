//! The daemon that asks for grants.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use marigold_types::WorkspaceName;
use tokio::time::Instant;

use super::desk_slot::{DeskSlot, MAX_RANK, QuotaTicket, QuotaVerdict};
use super::recent_max::RecentMax;
use super::{QuotaAsk, QuotaGrant, QuotaSlot, VOTE_TTL, Vote};

/// Interval at which a daemon that did not answer is asked again.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// What to do after an event.
#[derive(Debug, Default)]
pub struct DeskActions {
    /// Asks to send, and the homes to send them to.
    pub asks: Vec<(SocketAddr, QuotaAsk)>,
    /// Requests that no longer wait.
    pub verdicts: Vec<(QuotaTicket, QuotaVerdict)>,
    /// Homes that have not answered in time.
    pub silent: Vec<SocketAddr>,
}

/// Asks the homes for grants for the requests of this daemon, and gives them its votes.
///
/// There is at most one open ask for each slot. Requests that come meanwhile are part of the next one.
#[derive(Debug)]
pub struct QuotaDesk {
    own: SocketAddr,
    run: u64,
    /// Until then, votes of the previous run of this daemon may count, unless their homes have confirmed the contrary.
    votes_from: Instant,
    is_member: bool,
    daemons: RecentMax,
    slots: Vec<DeskSlot>,
    /// Daemons that are not reached, and when they are asked again.
    suspects: HashMap<SocketAddr, Instant>,
    next_number: u64,
    next_ticket: u64,
}

impl QuotaDesk {
    /// Creates the desk of the daemon at `own`. `run` tells this run of the daemon from others.
    #[must_use]
    pub fn new(own: SocketAddr, run: u64, now: Instant) -> Self {
        Self {
            own,
            run,
            votes_from: now + VOTE_TTL,
            is_member: false,
            daemons: RecentMax::default(),
            slots: QuotaSlot::all().map(|_| DeskSlot::new(now)).collect(),
            suspects: HashMap::new(),
            next_number: 1,
            next_ticket: 0,
        }
    }

    /// Replaces the known daemons.
    pub fn set_daemons(&mut self, daemons: &[SocketAddr], now: Instant) {
        self.is_member = daemons.contains(&self.own);
        self.daemons.record(daemons.len(), now);
        self.suspects.retain(|address, _| daemons.contains(address));
        for (slot, state) in QuotaSlot::all().zip(&mut self.slots) {
            state.set_ranking(slot.rank(daemons));
        }
    }

    /// Lets a request of `workspace` wait for a grant; [`poll`](Self::poll) asks for it.
    pub fn request(&mut self, workspace: &WorkspaceName, now: Instant) -> QuotaTicket {
        let ticket = QuotaTicket(self.next_ticket);
        self.next_ticket += 1;
        if let Some(index) = QuotaSlot::of(workspace).index() {
            self.slots[index].enqueue(workspace, ticket, now);
        }
        ticket
    }

    /// Gives the grant of a request back that has not run, for which it waited until `granted_at`.
    pub fn give_back(&mut self, workspace: &WorkspaceName, granted_at: Instant) {
        if let Some(index) = QuotaSlot::of(workspace).index() {
            self.slots[index].give_back(workspace, granted_at);
        }
    }

    /// Returns whether any request waits.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        self.slots.iter().any(DeskSlot::is_waiting)
    }

    /// Returns what is due. Call it after each event, and at an interval shorter than the time limits of requests.
    pub fn poll(&mut self, now: Instant) -> DeskActions {
        let mut actions = DeskActions::default();
        for state in &mut self.slots {
            if let Some(home) = state.take_overdue(now) {
                actions.silent.push(home);
                self.suspects.entry(home).or_insert(now + PROBE_INTERVAL);
            }
            actions.verdicts.extend(state.take_expired(now));
        }
        self.probe(&mut actions, now);
        let is_old = now >= self.votes_from;
        if !is_old {
            self.withdraw_former(&mut actions, now);
        }
        let daemons = u32::try_from(self.daemons.get(now)).unwrap_or(u32::MAX);
        for (slot, state) in QuotaSlot::all().zip(&mut self.slots) {
            let number = self.next_number;
            let may_vote = self.is_member && (is_old || state.is_cleared());
            let is_suspect = |home: &SocketAddr| self.suspects.contains_key(home);
            let Some(due) = state.next_ask(number, is_suspect, may_vote, now) else {
                continue;
            };
            self.next_number += 1;
            let ask = QuotaAsk {
                from: self.own,
                run: self.run,
                number,
                slot,
                daemons,
                vote: due.vote,
                wanted: due.wanted,
            };
            actions.asks.push((due.home, ask));
        }
        actions
    }

    /// Applies the answer of the daemon at `from` and returns the verdicts on the requests that it was for.
    pub fn on_grant(
        &mut self,
        from: SocketAddr,
        grant: &QuotaGrant,
        now: Instant,
    ) -> Vec<(QuotaTicket, QuotaVerdict)> {
        self.suspects.remove(&from);
        let Some(index) = grant.slot.index() else {
            return Vec::new();
        };
        let state = &mut self.slots[index];
        state.clear(from, Some(grant.number));
        state.apply(from, grant, now).unwrap_or_default()
    }

    /// Records that the daemon at `address` is connected.
    pub fn on_connected(&mut self, address: SocketAddr) {
        self.suspects.remove(&address);
        for state in &mut self.slots {
            state.retry_former(address);
        }
    }

    /// Records that the daemon at `address` is not reached. If its process `has_ended`, it has forgotten its votes.
    pub fn on_unreachable(&mut self, address: SocketAddr, has_ended: bool, now: Instant) {
        self.suspects.entry(address).or_insert(now + PROBE_INTERVAL);
        for state in &mut self.slots {
            state.reopen(address);
            if has_ended {
                state.forget(address);
            }
        }
    }

    /// Withdraws the votes of the previous run of this daemon.
    fn withdraw_former(&mut self, actions: &mut DeskActions, now: Instant) {
        for (slot, state) in QuotaSlot::all().zip(&mut self.slots) {
            for (home, number) in state.take_former(&mut self.next_number, now) {
                let ask = QuotaAsk {
                    from: self.own,
                    run: self.run,
                    number,
                    slot,
                    daemons: 0,
                    vote: Vote::Withdrawn,
                    wanted: Vec::new(),
                };
                actions.asks.push((home, ask));
            }
        }
    }

    /// Asks the daemons that would be homes if they were reached.
    fn probe(&mut self, actions: &mut DeskActions, now: Instant) {
        for (slot, state) in QuotaSlot::all().zip(&self.slots) {
            for home in state.ranking.iter().take(MAX_RANK) {
                let Some(probe_at) = self.suspects.get_mut(home) else {
                    break;
                };
                if *probe_at > now {
                    continue;
                }
                *probe_at = now + PROBE_INTERVAL;
                let ask = QuotaAsk {
                    from: self.own,
                    run: self.run,
                    number: self.next_number,
                    slot,
                    daemons: 0,
                    vote: Vote::Unchanged,
                    wanted: Vec::new(),
                };
                self.next_number += 1;
                actions.asks.push((*home, ask));
            }
        }
    }
}
