//! The evidence on a version, from the counts of all backend servers of its service.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use super::VersionCounts;
use super::server_evidence::ServerEvidence;
use super::window_counts::WindowCounts;
use crate::{CallKind, ServerVersion};

/// The windows that are judged: short ones show a fault that began late.
const WINDOWS: [Option<Duration>; 3] = [
    Some(Duration::from_millis(1_500)),
    Some(Duration::from_secs(4)),
    None,
];
/// Responses that a server must have given to be judged.
const MIN_SERVER_RESPONSES: f64 = 3.0;
/// Servers that must be judged, if the version has so many: a single one may fail for reasons of its own.
const MIN_SERVERS: usize = 4;
/// Failures below which a version is not judged.
const MIN_FAILURES: f64 = 5.0;
/// The ratio of failures that is accepted whatever other versions do.
const ACCEPTED_FAILURES: f64 = 0.06;
/// The ratio of failures that is accepted, relative to that of other versions.
const RELATIVE_FAILURES: f64 = 2.0;
/// Responses without failure that are assumed of other versions in addition, in case they gave few.
const PRIOR_RESPONSES: f64 = 10.0;
/// Failures among the assumed responses.
const PRIOR_FAILURES: f64 = 0.3;
/// Runs are slow from this multiple of the run time on other versions. Servers of one version differ less, and less
/// than this when nearly full.
const SLOW_RATIO: f64 = 2.5;
/// Runs below which the speed of a server, of the version, or of other versions is not judged.
const MIN_SERVER_RUNS: f64 = 2.0;
const MIN_TARGET_RUNS: f64 = 8.0;
const MIN_OTHER_RUNS: f64 = 10.0;
/// Runs so much shorter than this are not worth a verdict on speed, since transport and scheduling dominate.
const MIN_JUDGED_RUN_S: f64 = 0.005;
/// Responses without which a version is not trusted, over all kinds and of each kind.
const ENOUGH_RESPONSES: f64 = 30.0;
const ENOUGH_KIND_RESPONSES: f64 = 5.0;
/// The responses of a kind that are enough, relative to those of other versions: less than half the share of a canary,
/// so that rare kinds do not prevent a roll-out.
const ENOUGH_KIND_RATIO: f64 = 0.015;
/// Counts that are older do not show that a server is idle.
const MAX_IDLE_AGE: Duration = Duration::from_secs(1);

/// The counts of all backend servers of a service during the roll-out of a version.
#[derive(Debug)]
pub struct RolloutEvidence {
    target: ServerVersion,
    servers: BTreeMap<SocketAddr, ServerEvidence>,
}

impl RolloutEvidence {
    /// Starts without any counts.
    #[must_use]
    pub fn new(target: ServerVersion) -> Self {
        Self {
            target,
            servers: BTreeMap::new(),
        }
    }

    /// Applies the counts of the server beside the daemon at `address`.
    pub fn update(&mut self, address: SocketAddr, counts: VersionCounts, now: Instant) {
        let is_target = counts.version == self.target;
        match self.servers.get_mut(&address) {
            Some(server) if *server.version() == counts.version => server.update(counts, now),
            _ => {
                let server = ServerEvidence::new(counts, is_target, now);
                self.servers.insert(address, server);
            }
        }
    }

    /// Returns how responses of the version fail in comparison, or `None` if they do not, or it is not clear yet.
    #[must_use]
    pub fn failing(&self, now: Instant) -> Option<String> {
        let kinds = self.kinds();
        let all = kinds.iter().collect::<Vec<_>>();
        let each = kinds.iter().map(|kind| vec![kind]);
        let groups = std::iter::once(all).chain(each).collect::<Vec<_>>();
        WINDOWS.iter().find_map(|window| {
            let since = window.and_then(|length| now.checked_sub(length));
            groups
                .iter()
                .find_map(|group| self.failing_in(group, since))
        })
    }

    fn failing_in(&self, group: &[&CallKind], since: Option<Instant>) -> Option<String> {
        let others = sum(self.others(), group, since);
        let ratio = (others.failed + PRIOR_FAILURES) / (others.ended + PRIOR_RESPONSES);
        let limit = ACCEPTED_FAILURES + RELATIVE_FAILURES * ratio;
        let judged: Vec<_> = self
            .targets()
            .map(|server| sum_kinds(server, group, since))
            .filter(|counts| counts.ended >= MIN_SERVER_RESPONSES)
            .collect();
        if judged.len() < self.needed_servers() {
            return None;
        }
        let is_failing =
            |counts: &&WindowCounts| counts.failed > 0.0 && counts.failed >= limit * counts.ended;
        let failing = judged.iter().filter(is_failing).count();
        let (total, rest) = with_and_without_worst(&judged, |counts| counts.failed);
        let rest = if judged.len() == 1 { total } else { rest };
        let is_bad = failing * 2 > judged.len()
            && total.failed >= MIN_FAILURES
            && rest.failed >= limit * rest.ended;
        is_bad.then(|| {
            format!(
                "{} of {} on {failing} of {} servers, others {} of {}, kinds {}",
                total.failed,
                total.ended,
                judged.len(),
                others.failed,
                others.ended,
                names(group),
            )
        })
    }

    /// Returns how runs on the version are slow in comparison, or `None` if they are not, or it is not clear yet.
    #[must_use]
    pub fn slow(&self, now: Instant) -> Option<String> {
        let kinds = self.kinds();
        WINDOWS.iter().find_map(|window| {
            let since = window.and_then(|length| now.checked_sub(length));
            kinds.iter().find_map(|kind| self.slow_in(kind, since))
        })
    }

    fn slow_in(&self, kind: &CallKind, since: Option<Instant>) -> Option<String> {
        let expected_s = self.expected_s(kind, since)?;
        let limit_s = SLOW_RATIO * expected_s;
        let with_overdue = |server: &ServerEvidence| {
            let mut counts = server.window(kind, since);
            counts.add_given_up(&server.given_up(kind, since), expected_s);
            if let Some(latest) = server.latest(kind) {
                counts.add_overdue(&latest.open, limit_s);
            }
            counts
        };
        let judged: Vec<_> = self
            .targets()
            .map(with_overdue)
            .filter(|counts| counts.timed >= MIN_SERVER_RUNS)
            .collect();
        if judged.len() < self.needed_servers() {
            return None;
        }
        let is_slow = |counts: &&WindowCounts| counts.mean_s() >= limit_s;
        let slow = judged.iter().filter(is_slow).count();
        let (total, _) = with_and_without_worst(&judged, |counts| counts.run_s);
        let is_bad =
            slow * 2 > judged.len() && total.timed >= MIN_TARGET_RUNS && total.mean_s() >= limit_s;
        is_bad.then(|| {
            format!(
                "{:.3} s on {slow} of {} servers, others {expected_s:.3} s, kind {kind}",
                total.mean_s(),
                judged.len(),
            )
        })
    }

    /// Returns the average run time of `kind` on other versions in seconds, or `None` if it is not known. Runs are given up
    /// there as well: callers leave, and responses are lost.
    fn expected_s(&self, kind: &CallKind, since: Option<Instant>) -> Option<f64> {
        let (mut others, mut since) = (sum(self.others(), &[kind], since), since);
        if others.timed < MIN_OTHER_RUNS {
            (others, since) = (sum(self.others(), &[kind], None), None);
        }
        let answered_s = others.mean_s();
        if others.timed < MIN_OTHER_RUNS || answered_s < MIN_JUDGED_RUN_S {
            return None;
        }
        for server in self.others() {
            others.add_given_up(&server.given_up(kind, since), answered_s);
        }
        Some(others.mean_s())
    }

    /// Returns whether there are enough responses to trust the version if none speaks against it.
    #[must_use]
    pub fn is_enough(&self) -> bool {
        let kinds = self.kinds();
        let all: Vec<_> = kinds.iter().collect();
        let judged = self
            .targets()
            .filter(|server| sum_kinds(server, &all, None).ended >= MIN_SERVER_RESPONSES)
            .count();
        let total = sum(self.targets(), &all, None).ended;
        judged > 0
            && judged >= self.needed_servers()
            && total >= ENOUGH_RESPONSES
            && kinds.iter().all(|kind| {
                let others = sum(self.others(), &[kind], None).ended;
                let needed = (others * ENOUGH_KIND_RATIO)
                    .floor()
                    .min(ENOUGH_KIND_RESPONSES);
                sum(self.targets(), &[kind], None).ended >= needed
            })
    }

    /// Returns whether no server of another version runs a request, as recently reported by all that report.
    #[must_use]
    pub fn are_others_idle(&self, now: Instant) -> bool {
        self.others().all(|server| {
            let age = now.saturating_duration_since(server.received_at());
            age < MAX_IDLE_AGE && !server.is_busy()
        })
    }

    /// Returns the responses and failures of the version, and of other versions, since the beginning.
    #[must_use]
    pub fn totals(&self) -> [f64; 4] {
        let kinds = self.kinds();
        let all: Vec<_> = kinds.iter().collect();
        let target = sum(self.targets(), &all, None);
        let others = sum(self.others(), &all, None);
        [target.ended, target.failed, others.ended, others.failed]
    }

    fn needed_servers(&self) -> usize {
        self.targets().count().clamp(1, MIN_SERVERS)
    }

    fn targets(&self) -> impl Iterator<Item = &ServerEvidence> {
        self.servers
            .values()
            .filter(|server| *server.version() == self.target)
    }

    fn others(&self) -> impl Iterator<Item = &ServerEvidence> {
        self.servers
            .values()
            .filter(|server| *server.version() != self.target)
    }

    fn kinds(&self) -> BTreeSet<CallKind> {
        let servers = self.servers.values();
        servers.flat_map(ServerEvidence::kinds).cloned().collect()
    }
}

fn sum<'a>(
    servers: impl Iterator<Item = &'a ServerEvidence>,
    group: &[&CallKind],
    since: Option<Instant>,
) -> WindowCounts {
    let mut total = WindowCounts::default();
    for server in servers {
        total.add(&sum_kinds(server, group, since));
    }
    total
}

fn sum_kinds(server: &ServerEvidence, group: &[&CallKind], since: Option<Instant>) -> WindowCounts {
    let mut total = WindowCounts::default();
    for kind in group {
        total.add(&server.window(kind, since));
    }
    total
}

/// Returns the sum of all counts, and of all but those that are greatest by `badness`.
fn with_and_without_worst(
    judged: &[WindowCounts],
    badness: impl Fn(&WindowCounts) -> f64,
) -> (WindowCounts, WindowCounts) {
    let worst =
        (0..judged.len()).max_by(|a, b| badness(&judged[*a]).total_cmp(&badness(&judged[*b])));
    let (mut total, mut rest) = (WindowCounts::default(), WindowCounts::default());
    for (index, counts) in judged.iter().enumerate() {
        total.add(counts);
        if Some(index) != worst {
            rest.add(counts);
        }
    }
    (total, rest)
}

fn names(group: &[&CallKind]) -> String {
    let names: Vec<_> = group.iter().map(ToString::to_string).collect();
    names.join(" ")
}
