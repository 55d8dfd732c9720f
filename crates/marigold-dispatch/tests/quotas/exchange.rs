//! Single asks and answers.

use std::net::SocketAddr;
use std::time::Duration;

use marigold_dispatch::quota::{
    GRANT_TTL, HomeStamp, QuotaAsk, QuotaDesk, QuotaGrant, QuotaHome, QuotaSlot, QuotaTicket,
    QuotaVerdict, VOTE_TTL, Vote, WorkspaceAsk,
};
use marigold_dispatch::{Precedence, RequestQuota, Workspace, WorkspaceTable};
use marigold_types::WorkspaceName;
use tokio::time::Instant;

const MOMENT: Duration = Duration::from_millis(1);

fn name() -> WorkspaceName {
    "acme".parse().expect("a name")
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7000))
}

fn table(rate: f64, burst: f64) -> WorkspaceTable {
    let mut table = WorkspaceTable::default();
    let workspace = Workspace {
        name: name(),
        precedence: Precedence::default(),
        quota: Some(RequestQuota { rate, burst }),
    };
    table.insert(workspace, []);
    table
}

/// A home that knows three daemons, of which the tests send asks.
struct Home {
    inner: QuotaHome,
    number: u64,
    began: Instant,
}

impl Home {
    fn new() -> Self {
        let began = Instant::now();
        let mut inner = QuotaHome::new(7, began);
        inner.set_daemons(3, began);
        let number = 0;
        Self {
            inner,
            number,
            began,
        }
    }

    fn ask(
        &mut self,
        from: u8,
        vote: Vote,
        requests: u32,
        table: &WorkspaceTable,
        now: Instant,
    ) -> QuotaGrant {
        self.number += 1;
        let wanted = WorkspaceAsk {
            workspace: name(),
            requests,
            returned: 0,
        };
        let ask = QuotaAsk {
            from: address(from),
            run: 1,
            number: self.number,
            slot: QuotaSlot::of(&name()),
            daemons: 3,
            vote,
            wanted: vec![wanted],
        };
        self.inner.answer(&ask, table, now).expect("an answer")
    }

    fn stamp(&self, now: Instant) -> HomeStamp {
        let millis = now.saturating_duration_since(self.began).as_millis();
        HomeStamp {
            run: 7,
            millis: u64::try_from(millis).expect("a short time"),
        }
    }

    fn vote_all(&mut self, table: &WorkspaceTable, now: Instant) {
        for from in 1..=3 {
            let vote = Vote::Cast(self.stamp(now));
            self.ask(from, vote, 0, table, now);
        }
    }
}

#[test]
fn votes_end_by_the_stamp_and_not_by_their_arrival() {
    let mut home = Home::new();
    let table = table(10.0, 10.0);
    let stamp = home.stamp(home.began);
    let late = home.began + VOTE_TTL - MOMENT;
    for from in 1..=3 {
        home.ask(from, Vote::Cast(stamp), 0, &table, late);
    }
    assert!(home.ask(1, Vote::Unchanged, 1, &table, late).is_trusted);
    let ended = home.began + VOTE_TTL;
    assert!(!home.ask(1, Vote::Unchanged, 1, &table, ended).is_trusted);
    // Delivered after a pause of the home.
    let grant = home.ask(1, Vote::Cast(stamp), 1, &table, ended);
    assert!(!grant.is_trusted);
}

#[test]
fn votes_with_stamps_of_another_run_are_not_counted() {
    let mut home = Home::new();
    let table = table(10.0, 10.0);
    for from in 1..=3 {
        let stamp = HomeStamp { run: 6, millis: 0 };
        assert!(
            !home
                .ask(from, Vote::Cast(stamp), 0, &table, home.began)
                .is_trusted
        );
    }
}

#[test]
fn withdrawn_vote_is_not_counted_again_by_an_earlier_ask() {
    let mut home = Home::new();
    let table = table(10.0, 10.0);
    let now = home.began;
    home.vote_all(&table, now);
    for from in 1..=3 {
        home.ask(from, Vote::Withdrawn, 0, &table, now);
    }
    home.number = 0;
    home.vote_all(&table, now);
    home.number = 100;
    assert!(!home.ask(1, Vote::Unchanged, 1, &table, now).is_trusted);
}

#[test]
fn lowered_quota_takes_tokens_away_at_once() {
    let mut home = Home::new();
    let now = home.began;
    let before = table(100.0, 100.0);
    home.vote_all(&before, now);
    let later = now + VOTE_TTL - MOMENT;
    home.vote_all(&before, later);
    assert_eq!(
        home.ask(1, Vote::Unchanged, 1, &before, later).granted[0].requests,
        1
    );
    let grant = home.ask(1, Vote::Unchanged, 100, &table(1.0, 5.0), later);
    assert_eq!(grant.granted[0].requests, 5);
}

#[test]
fn requests_that_are_refused_together_are_told_to_return_one_after_the_other() {
    let mut home = Home::new();
    let table = table(10.0, 0.0);
    let now = home.began;
    home.vote_all(&table, now);
    let first = home.ask(1, Vote::Unchanged, 11, &table, now);
    let second = home.ask(2, Vote::Unchanged, 1, &table, now);
    let (first, second) = (&first.granted[0], &second.granted[0]);
    assert_eq!(first.requests, 1);
    assert_eq!(first.spacing, Duration::from_millis(100));
    assert!(second.retry_after >= first.retry_after + first.spacing * 10);
}

#[test]
fn workspace_in_another_slot_is_not_granted() {
    let mut home = Home::new();
    let table = table(10.0, 10.0);
    let now = home.began;
    let slot = QuotaSlot::all().find(|slot| *slot != QuotaSlot::of(&name()));
    let slot = slot.expect("several slots");
    for from in 1..=3 {
        let wanted = WorkspaceAsk {
            workspace: name(),
            requests: 1,
            returned: 0,
        };
        let ask = QuotaAsk {
            from: address(from),
            run: 1,
            number: u64::from(from),
            slot,
            daemons: 3,
            vote: Vote::Cast(home.stamp(now)),
            wanted: vec![wanted],
        };
        let grant = home.inner.answer(&ask, &table, now).expect("an answer");
        assert_eq!(grant.granted[0].requests, 0);
    }
}

/// Returns the desk of daemon 1 with a request, the open ask of it and its ticket.
fn desk_with_request(began: Instant) -> (QuotaDesk, SocketAddr, QuotaAsk, QuotaTicket) {
    let mut desk = QuotaDesk::new(address(1), 1, began);
    desk.set_daemons(&[address(2)], began);
    let ticket = desk.request(&name(), began);
    let mut asks = desk.poll(began).asks;
    asks.retain(|(_, ask)| !ask.wanted.is_empty());
    let (home, ask) = asks.pop().expect("an ask");
    (desk, home, ask, ticket)
}

fn grant_of(ask: &QuotaAsk) -> QuotaGrant {
    let mut home = Home::new();
    let table = table(10.0, 10.0);
    home.vote_all(&table, home.began);
    let answered = home.ask(1, Vote::Unchanged, 1, &table, home.began);
    QuotaGrant {
        number: ask.number,
        ..answered
    }
}

#[test]
fn late_grant_is_not_used() {
    let began = Instant::now();
    let (mut desk, home, ask, ticket) = desk_with_request(began);
    let grant = grant_of(&ask);
    // The asker was paused; it has not noticed yet that the ask is overdue.
    let now = began + GRANT_TTL + MOMENT;
    assert!(desk.on_grant(home, &grant, now).is_empty());
    let verdicts = desk.poll(now).verdicts;
    assert_eq!(verdicts, [(ticket, QuotaVerdict::Unsettled)]);
}

#[test]
fn grant_in_time_is_used_once() {
    let began = Instant::now();
    let (mut desk, home, ask, ticket) = desk_with_request(began);
    let grant = grant_of(&ask);
    let granted = [(ticket, QuotaVerdict::Granted)];
    assert_eq!(desk.on_grant(home, &grant, began), granted);
    assert!(desk.on_grant(home, &grant, began).is_empty());
}

/// Returns when a daemon that starts gives its first vote to daemon 2, the only one besides it. Daemon 1, which may have
/// its former vote, answers if `is_answering`.
fn first_vote(is_answering: bool) -> Duration {
    let began = Instant::now();
    let mut desk = QuotaDesk::new(address(2), 1, began);
    desk.set_daemons(&[address(1), address(2)], began);
    let mut homes = [Home::new(), Home::new()];
    let table = table(10.0, 10.0);
    let mut step = began;
    loop {
        for (to, ask) in desk.poll(step).asks {
            let is_own = to == address(2);
            if matches!(ask.vote, Vote::Cast(_)) {
                return step - began;
            }
            let home = &mut homes[usize::from(is_own)].inner;
            let grant = home
                .answer(&ask, &table, step)
                .filter(|_| is_own || is_answering);
            if let Some(grant) = grant {
                desk.on_grant(to, &grant, step);
            }
        }
        step += Duration::from_millis(10);
    }
}

#[test]
fn daemon_that_has_started_votes_when_its_former_vote_is_gone() {
    assert!(first_vote(true) < VOTE_TTL / 10);
    assert!(first_vote(false) >= VOTE_TTL);
}

#[test]
fn vote_of_the_previous_run_is_not_counted_after_it_was_withdrawn() {
    let mut home = Home::new();
    let table = table(10.0, 10.0);
    let now = home.began;
    for from in 1..=3 {
        let ask = QuotaAsk {
            from: address(from),
            run: 2,
            number: 1,
            slot: QuotaSlot::of(&name()),
            daemons: 0,
            vote: Vote::Withdrawn,
            wanted: Vec::new(),
        };
        home.inner.answer(&ask, &table, now).expect("an answer");
    }
    home.vote_all(&table, now);
    assert!(!home.ask(1, Vote::Unchanged, 1, &table, now).is_trusted);
}

/// Plays a desk that has voted for the first home of a slot, after that home was lost. Returns the time until it votes for
/// another one, and whether it withdrew the vote first.
fn next_vote(loss: Loss) -> (Duration, bool) {
    let began = Instant::now();
    let daemons = [address(1), address(2), address(3)];
    let slot = QuotaSlot::of(&name());
    let ranking = slot.rank(&daemons);
    let first = ranking[0];
    let mut desk = QuotaDesk::new(ranking[2], 1, began);
    desk.set_daemons(&daemons, began);
    let mut homes: Vec<_> = daemons.iter().map(|_| Home::new()).collect();
    let table = table(10.0, 10.0);
    let lost_at = began + VOTE_TTL * 3;
    let mut has_withdrawn = false;
    let mut step = began;
    loop {
        if step == lost_at {
            match loss {
                Loss::Silent => desk.on_unreachable(first, false, step),
                Loss::Ended => desk.on_unreachable(first, true, step),
                Loss::Removed => {
                    let others: Vec<_> =
                        daemons.into_iter().filter(|home| *home != first).collect();
                    desk.set_daemons(&others, step);
                }
            }
        }
        for (to, ask) in desk.poll(step).asks {
            let is_lost = step >= lost_at && loss != Loss::Removed && to == first;
            if step >= lost_at && ask.slot == slot {
                has_withdrawn |= to == first && ask.vote == Vote::Withdrawn;
                if to != first && matches!(ask.vote, Vote::Cast(_)) {
                    return (step - lost_at, has_withdrawn);
                }
            }
            let index = daemons
                .iter()
                .position(|home| *home == to)
                .expect("a daemon");
            let grant = homes[index].inner.answer(&ask, &table, step);
            if let Some(grant) = grant.filter(|_| !is_lost) {
                desk.on_grant(to, &grant, step);
            }
        }
        step += Duration::from_millis(10);
        assert!(step < lost_at + VOTE_TTL * 5, "no vote after {loss:?}");
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    Silent,
    Ended,
    Removed,
}

#[test]
fn vote_moves_only_when_the_former_home_no_longer_counts_it() {
    // The last answer came at most one renewal before the loss.
    let (silent, _) = next_vote(Loss::Silent);
    assert!(silent > VOTE_TTL / 2, "{silent:?}");
    let (ended, _) = next_vote(Loss::Ended);
    assert!(ended < VOTE_TTL / 4, "{ended:?}");
    let (removed, has_withdrawn) = next_vote(Loss::Removed);
    assert!(has_withdrawn, "{removed:?}");
}

/// A daemon that is alone in its mesh, and so its own home.
struct Alone {
    desk: QuotaDesk,
    home: QuotaHome,
    table: WorkspaceTable,
    now: Instant,
}

impl Alone {
    fn new(table: WorkspaceTable) -> Self {
        let now = Instant::now();
        let mut desk = QuotaDesk::new(address(1), 1, now);
        desk.set_daemons(&[address(1)], now);
        let mut alone = Self {
            desk,
            home: QuotaHome::new(7, now),
            table,
            now,
        };
        alone.home.set_daemons(1, now);
        // The vote of a previous run has ended by then, and the bucket is full.
        for _ in 0..100 {
            alone.pass(VOTE_TTL / 20);
        }
        alone
    }

    fn pass(&mut self, time: Duration) -> Vec<(QuotaTicket, QuotaVerdict)> {
        self.now += time;
        let mut actions = self.desk.poll(self.now);
        let mut verdicts = std::mem::take(&mut actions.verdicts);
        for (home, ask) in actions.asks {
            let grant = self.home.answer(&ask, &self.table, self.now);
            let grant = grant.expect("an answer");
            verdicts.extend(self.desk.on_grant(home, &grant, self.now));
        }
        verdicts
    }

    /// Returns how many of `requests` that come one after another are granted. Each is refused elsewhere and gives its
    /// grant back if `give_back`.
    fn granted(&mut self, requests: u32, give_back: bool) -> u32 {
        let mut granted = 0;
        for _ in 0..requests {
            let ticket = self.desk.request(&name(), self.now);
            let verdicts = self.pass(MOMENT);
            if verdicts.contains(&(ticket, QuotaVerdict::Granted)) {
                granted += 1;
                if give_back {
                    self.desk.give_back(&name(), self.now);
                }
            }
        }
        granted
    }
}

#[test]
fn requests_that_were_refused_elsewhere_use_up_the_quota() {
    let mut alone = Alone::new(table(1.0, 10.0));
    assert_eq!(alone.granted(60, true), 60);
    // The last one is given back with the next ask.
    assert_eq!(alone.granted(60, false), 10);
}

#[test]
fn grants_given_back_go_beyond_the_burst() {
    let mut alone = Alone::new(table(1.0, 10.0));
    for _ in 0..50 {
        alone.desk.give_back(&name(), alone.now);
    }
    assert_eq!(alone.granted(60, false), 10);
}

#[test]
fn another_run_of_the_home_takes_grants_back() {
    let mut alone = Alone::new(table(1.0, 10.0));
    assert_eq!(alone.granted(10, false), 10);
    let granted_at = alone.now;
    alone.home = QuotaHome::new(8, alone.now);
    alone.home.set_daemons(1, alone.now);
    for _ in 0..20 {
        alone.pass(VOTE_TTL / 20);
    }
    let taken = alone.granted(10, false);
    for _ in 0..10 {
        alone.desk.give_back(&name(), granted_at);
    }
    assert!(taken < 10, "{taken}");
    assert_eq!(alone.granted(10, false), 0);
}
