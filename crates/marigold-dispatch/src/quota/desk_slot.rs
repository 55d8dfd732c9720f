//! The requests of one slot that wait for a grant, and the vote of this daemon in it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use marigold_types::WorkspaceName;
use tokio::time::Instant;

use super::{
    GRANT_TTL, HomeStamp, MAX_WAIT, QuotaGrant, VOTE_TTL, Vote, WorkspaceAsk, WorkspaceGrant,
};

/// The vote is renewed this long after the last answer of the home, if no request was asked for.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
/// As [`RENEWAL_INTERVAL`], for a home that does not have the vote yet.
const CONTACT_INTERVAL: Duration = Duration::from_millis(200);
/// Delay after an answer of a home that has too few votes, while other daemons move theirs.
const UNTRUSTED_DELAY: Duration = Duration::from_millis(30);
/// A home that has not answered within this time may be paused or cut off.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// The daemons that can be homes of a slot. So a daemon that has started can find out quickly whether any of them has a
/// vote of its previous run; with eight, some is up unless nearly all daemons are lost.
pub(super) const MAX_RANK: usize = 8;

/// A request that waits for a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QuotaTicket(pub u64);

/// What became of a request that waited for a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaVerdict {
    /// The request is within the quota.
    Granted,
    /// It is over the quota.
    Refused {
        /// The time until it is likely to be granted.
        retry_after: Duration,
    },
    /// No home with enough votes was reached in time.
    Unsettled,
}

/// A waiting request.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    ticket: QuotaTicket,
    since: Instant,
    /// When a home expects a token for it, if it has been asked.
    due_at: Option<Instant>,
}

impl Waiting {
    fn is_due(&self, now: Instant) -> bool {
        self.due_at.is_none_or(|due_at| due_at <= now)
    }

    /// Returns the verdict on the request when it can wait no longer.
    fn expire(&self, now: Instant) -> Option<QuotaVerdict> {
        if now.saturating_duration_since(self.since) < MAX_WAIT {
            return None;
        }
        let refused = |due_at: Instant| QuotaVerdict::Refused {
            retry_after: due_at.saturating_duration_since(now).max(UNTRUSTED_DELAY),
        };
        Some(self.due_at.map_or(QuotaVerdict::Unsettled, refused))
    }
}

/// An ask without an answer yet.
#[derive(Debug)]
struct OpenAsk {
    number: u64,
    home: SocketAddr,
    sent_at: Instant,
    withdraws: bool,
    requests: Vec<(WorkspaceName, Vec<Waiting>)>,
}

/// The vote of this daemon.
#[derive(Debug, Clone, Copy)]
struct OwnVote {
    home: SocketAddr,
    /// The home no longer counts the vote from then on.
    ends_at: Instant,
}

/// The newest stamp of a home, and when it came.
#[derive(Debug, Clone, Copy)]
struct ReceivedStamp {
    home: SocketAddr,
    stamp: HomeStamp,
    received_at: Instant,
}

/// A daemon that may have the vote of the previous run of this one.
#[derive(Debug, Clone, Copy)]
struct FormerHome {
    home: SocketAddr,
    /// The ask that withdraws the vote, and when it was sent.
    asked: Option<(u64, Instant)>,
}

/// The run of a home that grants requests, which alone can take grants back.
#[derive(Debug, Clone, Copy)]
struct GrantSource {
    home: SocketAddr,
    run: u64,
    since: Instant,
}

/// An ask that is due.
#[derive(Debug)]
pub(super) struct DueAsk {
    pub(super) home: SocketAddr,
    pub(super) vote: Vote,
    pub(super) wanted: Vec<WorkspaceAsk>,
}

/// One slot of a [`QuotaDesk`](super::QuotaDesk).
#[derive(Debug)]
pub(super) struct DeskSlot {
    pub(super) ranking: Vec<SocketAddr>,
    vote: Option<OwnVote>,
    /// The daemons that have not confirmed yet that they don't count a vote of the previous run.
    former: Vec<FormerHome>,
    /// Those that have.
    cleared: BTreeSet<SocketAddr>,
    stamp: Option<ReceivedStamp>,
    open: Option<OpenAsk>,
    waiting: BTreeMap<WorkspaceName, VecDeque<Waiting>>,
    source: Option<GrantSource>,
    /// Grants of the source that were not used.
    returned: BTreeMap<WorkspaceName, u32>,
    /// No ask is sent earlier, after an answer of a home without enough votes.
    held_until: Instant,
    renew_at: Instant,
}

impl DeskSlot {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            ranking: Vec::new(),
            vote: None,
            former: Vec::new(),
            cleared: BTreeSet::new(),
            stamp: None,
            open: None,
            waiting: BTreeMap::new(),
            source: None,
            returned: BTreeMap::new(),
            held_until: now,
            renew_at: now,
        }
    }

    /// Replaces the order of homes. Votes go to the first [`MAX_RANK`] only.
    pub(super) fn set_ranking(&mut self, ranking: Vec<SocketAddr>) {
        let candidates = ranking.iter().take(MAX_RANK).copied();
        let unknown = candidates.filter(|home| !self.cleared.contains(home));
        let earlier = std::mem::take(&mut self.former);
        self.former = unknown
            .map(|home| {
                let known = earlier.iter().find(|former| former.home == home);
                let asked = known.and_then(|former| former.asked);
                FormerHome { home, asked }
            })
            .collect();
        self.ranking = ranking;
    }

    /// Returns whether no daemon has a vote of the previous run.
    pub(super) fn is_cleared(&self) -> bool {
        !self.ranking.is_empty() && self.former.is_empty()
    }

    /// Returns the daemons to withdraw the vote of the previous run from now.
    pub(super) fn take_former(
        &mut self,
        next_number: &mut u64,
        now: Instant,
    ) -> Vec<(SocketAddr, u64)> {
        let mut due = Vec::new();
        for former in &mut self.former {
            let is_asked =
                |(_, at): (u64, Instant)| now.saturating_duration_since(at) < ANSWER_TIMEOUT;
            if former.asked.is_some_and(is_asked) {
                continue;
            }
            former.asked = Some((*next_number, now));
            due.push((former.home, *next_number));
            *next_number += 1;
        }
        due
    }

    /// Lets `home` be asked again, which was not connected before.
    pub(super) fn retry_former(&mut self, home: SocketAddr) {
        let former = self.former.iter_mut().filter(|former| former.home == home);
        former.for_each(|former| former.asked = None);
    }

    /// Records that `home` counts no vote of the previous run: it has answered the ask with `number`, or ended.
    pub(super) fn clear(&mut self, home: SocketAddr, number: Option<u64>) {
        let is_cleared = |former: &FormerHome| {
            former.home == home
                && number
                    .is_none_or(|number| former.asked.is_some_and(|(asked, _)| asked == number))
        };
        if self.former.iter().any(is_cleared) {
            self.former.retain(|former| former.home != home);
            self.cleared.insert(home);
            self.renew_at = self.held_until;
        }
    }

    /// Adds a request to those that wait.
    pub(super) fn enqueue(&mut self, workspace: &WorkspaceName, ticket: QuotaTicket, now: Instant) {
        let queue = self.waiting.entry(workspace.clone());
        queue.or_default().push_back(Waiting {
            ticket,
            since: now,
            due_at: None,
        });
    }

    /// Returns whether any request waits.
    pub(super) fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
            || self
                .open
                .as_ref()
                .is_some_and(|open| !open.requests.is_empty())
    }

    /// Returns the home that has not answered in time, whose requests wait again.
    pub(super) fn take_overdue(&mut self, now: Instant) -> Option<SocketAddr> {
        let open = self.open.as_ref()?;
        let is_overdue = now.saturating_duration_since(open.sent_at) >= ANSWER_TIMEOUT;
        let home = is_overdue.then_some(open.home)?;
        self.reopen(home);
        Some(home)
    }

    /// Lets the requests wait again that an unanswered ask to `home` was for.
    pub(super) fn reopen(&mut self, home: SocketAddr) {
        if let Some(open) = self.open.take_if(|open| open.home == home) {
            self.requeue(open.requests);
        }
    }

    /// Handles the end of the process of `home`, which has forgotten its votes.
    pub(super) fn forget(&mut self, home: SocketAddr) {
        self.clear(home, None);
        self.vote.take_if(|vote| vote.home == home);
        self.stamp.take_if(|stamp| stamp.home == home);
    }

    /// Removes the requests that have waited for too long, and returns the verdicts on them.
    pub(super) fn take_expired(&mut self, now: Instant) -> Vec<(QuotaTicket, QuotaVerdict)> {
        let mut expired = Vec::new();
        self.waiting.retain(|_, queue| {
            queue.retain(|waiting| {
                let verdict = waiting.expire(now);
                expired.extend(verdict.map(|verdict| (waiting.ticket, verdict)));
                verdict.is_none()
            });
            !queue.is_empty()
        });
        expired
    }

    /// Gives a grant back that came at `granted_at`, unless another home or run may have made it.
    pub(super) fn give_back(&mut self, workspace: &WorkspaceName, granted_at: Instant) {
        if self.source.is_some_and(|source| source.since <= granted_at) {
            *self.returned.entry(workspace.clone()).or_default() += 1;
        }
    }

    /// Records that `home` grants requests.
    fn record_source(&mut self, home: SocketAddr, run: u64, now: Instant) {
        let is_same = |source: &GrantSource| (source.home, source.run) == (home, run);
        if !self.source.as_ref().is_some_and(is_same) {
            let since = now;
            self.source = Some(GrantSource { home, run, since });
            self.returned.clear();
        }
    }

    /// Removes the grants to give back to `home`, and adds them to what is `wanted` of it.
    fn take_returned(&mut self, home: SocketAddr, wanted: &mut Vec<WorkspaceAsk>) {
        if self.source.is_none_or(|source| source.home != home) {
            return;
        }
        for (workspace, returned) in std::mem::take(&mut self.returned) {
            let known = wanted.iter_mut().find(|ask| ask.workspace == workspace);
            match known {
                Some(ask) => ask.returned = returned,
                None => wanted.push(WorkspaceAsk {
                    workspace,
                    requests: 0,
                    returned,
                }),
            }
        }
    }

    /// Removes the requests to ask for now.
    fn take_due(&mut self, now: Instant) -> Vec<(WorkspaceName, Vec<Waiting>)> {
        let mut due = Vec::new();
        self.waiting.retain(|workspace, queue| {
            let all = std::mem::take(queue).into_iter();
            let (now_due, later): (VecDeque<_>, VecDeque<_>) =
                all.partition(|waiting: &Waiting| waiting.is_due(now));
            if !now_due.is_empty() {
                due.push((workspace.clone(), Vec::from(now_due)));
            }
            *queue = later;
            !queue.is_empty()
        });
        due
    }

    /// Returns the ask to send now, if one is due. `may_vote` tells whether this daemon has a vote.
    pub(super) fn next_ask(
        &mut self,
        number: u64,
        is_suspect: impl Fn(&SocketAddr) -> bool,
        may_vote: bool,
        now: Instant,
    ) -> Option<DueAsk> {
        let has_due = || {
            let mut all = self.waiting.values().flatten();
            now >= self.held_until && all.any(|waiting| waiting.is_due(now))
        };
        if self.open.is_some() || !(now >= self.renew_at || has_due()) {
            return None;
        }
        self.vote.take_if(|vote| vote.ends_at <= now);
        let mut candidates = self.ranking.iter().take(MAX_RANK);
        let best = *candidates.find(|home| !is_suspect(home))?;
        let (home, vote) = match self.vote {
            // The vote moves only when the former home has confirmed that it no longer counts it, or can't.
            Some(vote) if vote.home != best && !is_suspect(&vote.home) => {
                (vote.home, Vote::Withdrawn)
            }
            Some(vote) if vote.home != best => (best, Vote::Unchanged),
            _ if may_vote => (best, self.cast(best, now)),
            _ => (best, Vote::Unchanged),
        };
        let requests = self.take_due(now);
        let wanted = requests.iter().map(|(workspace, queue)| WorkspaceAsk {
            workspace: workspace.clone(),
            requests: u32::try_from(queue.len()).unwrap_or(u32::MAX),
            returned: 0,
        });
        let mut wanted = wanted.collect();
        self.take_returned(home, &mut wanted);
        self.open = Some(OpenAsk {
            number,
            home,
            sent_at: now,
            withdraws: vote == Vote::Withdrawn,
            requests,
        });
        self.renew_at = now + RENEWAL_INTERVAL;
        Some(DueAsk { home, vote, wanted })
    }

    /// Gives the vote to `home`, if it has sent a stamp that still counts.
    fn cast(&mut self, home: SocketAddr, now: Instant) -> Vote {
        let fresh = self.stamp.filter(|stamp| stamp.home == home);
        let fresh = fresh.filter(|stamp| stamp.received_at + VOTE_TTL > now);
        let Some(stamp) = fresh else {
            return Vote::Unchanged;
        };
        // The home made the stamp before it came here.
        let ends_at = stamp.received_at + VOTE_TTL;
        self.vote = Some(OwnVote { home, ends_at });
        Vote::Cast(stamp.stamp)
    }

    /// Applies an answer of `home` and returns the verdicts, or `None` if it is not the answer to the open ask.
    pub(super) fn apply(
        &mut self,
        home: SocketAddr,
        grant: &QuotaGrant,
        now: Instant,
    ) -> Option<Vec<(QuotaTicket, QuotaVerdict)>> {
        let is_open = |open: &mut OpenAsk| open.home == home && open.number == grant.number;
        let open = self.open.take_if(is_open)?;
        let is_first_stamp = self
            .stamp
            .is_none_or(|former| (former.home, former.stamp.run) != (home, grant.stamp.run));
        let stamp = ReceivedStamp {
            home,
            stamp: grant.stamp,
            received_at: now,
        };
        self.stamp = Some(stamp);
        if open.withdraws {
            self.vote = None;
        }
        let has_vote = self.vote.is_some_and(|vote| vote.home == home);
        // With the first stamp, and once the former home has let it go, the vote can be cast.
        let delay = match (open.withdraws || is_first_stamp, has_vote) {
            (true, false) => Duration::ZERO,
            (false, false) => CONTACT_INTERVAL,
            (_, true) => RENEWAL_INTERVAL,
        };
        self.renew_at = now + delay;
        let is_late = now.saturating_duration_since(open.sent_at) > GRANT_TTL;
        if is_late || !grant.is_trusted {
            self.held_until = now + delay.min(UNTRUSTED_DELAY);
            self.requeue(open.requests);
            return Some(Vec::new());
        }
        self.record_source(home, grant.stamp.run, now);
        let mut verdicts = Vec::new();
        for (workspace, queue) in open.requests {
            let mut answers = grant.granted.iter();
            let answer = answers.find(|grant| grant.workspace == workspace);
            self.judge(workspace, queue, answer, now, &mut verdicts);
        }
        Some(verdicts)
    }

    /// Adds the verdicts on the requests of a workspace. Those that are expected to be granted soon wait on.
    fn judge(
        &mut self,
        workspace: WorkspaceName,
        queue: Vec<Waiting>,
        answer: Option<&WorkspaceGrant>,
        now: Instant,
        verdicts: &mut Vec<(QuotaTicket, QuotaVerdict)>,
    ) {
        let granted = answer.map_or(0, |answer| answer.requests);
        let first = answer.map_or(UNTRUSTED_DELAY, |answer| answer.retry_after);
        let spacing = answer.map_or(Duration::ZERO, |answer| answer.spacing);
        let mut kept = Vec::new();
        for (index, mut waiting) in (0_u32..).zip(queue) {
            if index < granted {
                verdicts.push((waiting.ticket, QuotaVerdict::Granted));
                continue;
            }
            let retry_after = first + spacing.saturating_mul(index - granted);
            let due_at = now + retry_after;
            waiting.due_at = Some(due_at);
            if due_at < waiting.since + MAX_WAIT {
                kept.push(waiting);
            } else {
                verdicts.push((waiting.ticket, QuotaVerdict::Refused { retry_after }));
            }
        }
        if !kept.is_empty() {
            self.requeue(vec![(workspace, kept)]);
        }
    }

    fn requeue(&mut self, requests: Vec<(WorkspaceName, Vec<Waiting>)>) {
        for (workspace, earlier) in requests {
            let queue = self.waiting.entry(workspace).or_default();
            for waiting in earlier.into_iter().rev() {
                queue.push_front(waiting);
            }
        }
    }
}
