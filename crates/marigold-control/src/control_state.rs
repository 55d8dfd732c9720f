//! The blackboard of the control side.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use marigold_config::Config;
use marigold_types::{Address, DataCentre, Incarnation, Version};
use tokio::time::Instant;

use crate::member_table::MergeOutcome;
use crate::{
    ControlOptions, FetchLimiter, Liveness, LocalInstance, Member, MemberTable, ServingState,
    StateDigest, Topology, Update, VersionSummary,
};

/// The most members that are kept; a table beyond the mesh's size is an error somewhere.
const MAX_TABLE: usize = 20_000;
/// A read of the log counts as fresh for so many polls.
const FRESH_POLLS: u32 = 4;
/// How many earlier configurations are kept to answer with a delta.
const MAX_PAST: usize = 32;

/// A change to be passed on.
#[derive(Debug, Clone)]
pub struct PendingUpdate {
    /// The change.
    pub update: Update,
    /// Who told it; absent when this daemon found it out.
    pub from: Option<Address>,
}

/// What a follower said of the daemons below it.
#[derive(Debug, Clone)]
pub struct FollowerReport {
    /// The report's number; a later one overrides it.
    pub number: (Incarnation, u32),
    /// The counts.
    pub summary: VersionSummary,
    /// Since when each named daemon has been behind, by this daemon's clock.
    pub since: BTreeMap<Address, Instant>,
}

/// How the daemon stands towards the log.
#[derive(Debug, Clone, Default)]
pub struct LogReads {
    /// When the log was last read to its end.
    pub last_complete_read: Option<Instant>,
    /// When a read last failed.
    pub last_failed_read: Option<Instant>,
}

/// Everything the control side of a daemon knows; each controller writes its own part.
#[derive(Debug, Clone)]
pub struct ControlState {
    /// The daemon itself; written by the announcement controller.
    pub local: LocalInstance,
    /// What the control side is tuned by.
    pub options: ControlOptions,
    /// The members; written through [`ControlState::merge_and_propagate`] and the detector.
    pub members: MemberTable,
    /// Who talks to whom; worked out anew when the members change.
    pub topology: Topology,
    /// The changes to be passed on; taken by the gossip controller.
    pub pending_updates: Vec<PendingUpdate>,
    /// Whether the changes may not wait for the batch.
    pub urgent: bool,
    /// A record of this daemon by others that it has to override.
    pub conflicting_record: Option<Member>,
    /// Who holds something else of this daemon than it announces, and is to be told.
    pub outdated_peers: BTreeSet<Address>,
    /// Whether the members have been learnt; written by the join controller.
    pub joined: bool,
    /// The data centres that this daemon, as a follower, cannot reach; written by the remote one.
    pub unreachable_data_centres: BTreeSet<DataCentre>,
    /// The configuration held; written by the configuration controller.
    pub config: Arc<Config>,
    /// The first eight bytes of its digest.
    pub config_digest: u64,
    /// Earlier configurations, oldest first.
    pub previous_configs: VecDeque<Arc<Config>>,
    /// Whether the daemon may serve; written by the configuration controller.
    pub serving_state: ServingState,
    /// Bounds the whole states that are under way; written by the fetch controller.
    pub fetch_limiter: FetchLimiter,
    /// How the log stands; written by the follower controller.
    pub log: LogReads,
    /// What the followers report; written by the report controller.
    pub reports: BTreeMap<Address, FollowerReport>,
    /// Whether a report has come that has not been worked into the members.
    pub reports_changed: bool,
}

impl ControlState {
    /// Makes the board of a daemon that has just started.
    #[must_use]
    pub fn new(local: LocalInstance, options: ControlOptions, now: Instant) -> Self {
        let mut members = MemberTable::new();
        members.merge(&Member::announce(&local, 0), now);
        let config = Arc::new(Config::default());
        Self {
            config_digest: config.digest().prefix(),
            fetch_limiter: FetchLimiter::new(options.fetches),
            local,
            options,
            members,
            topology: Topology::default(),
            pending_updates: Vec::new(),
            urgent: false,
            conflicting_record: None,
            outdated_peers: BTreeSet::new(),
            joined: false,
            unreachable_data_centres: BTreeSet::new(),
            config,
            previous_configs: VecDeque::new(),
            serving_state: ServingState::Starting,
            log: LogReads::default(),
            reports: BTreeMap::new(),
            reports_changed: false,
        }
    }

    /// Returns the daemon's own address.
    #[must_use]
    pub fn address(&self) -> Address {
        self.local.instance.address
    }

    /// Returns whether the daemon may serve.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.serving_state == ServingState::Serving
    }

    /// Returns what the daemon holds, for others to compare with.
    #[must_use]
    pub fn digest(&self) -> StateDigest {
        StateDigest {
            version: self.config.version,
            config: self.config_digest,
            table: self.members.digest(),
        }
    }

    /// Takes in a record and has it passed on if it is new.
    pub fn merge_and_propagate(
        &mut self,
        member: &Member,
        from: Option<Address>,
        now: Instant,
    ) -> MergeOutcome {
        if member.address() == self.address() {
            self.note_outdated_peer(member, from);
        }
        let merge = self.merge_member(member, now);
        if merge == MergeOutcome::Newer {
            self.urgent |= member.draining;
            self.pending_updates.push(PendingUpdate {
                update: Update::Member(member.clone()),
                from,
            });
        }
        merge
    }

    /// Takes in a record without passing it on.
    pub fn merge_member(&mut self, member: &Member, now: Instant) -> MergeOutcome {
        if member.address() == self.address() {
            self.detect_conflict(member);
            return MergeOutcome::Same;
        }
        let known = self.members.get(member.address()).is_some();
        if !known && self.members.len() >= MAX_TABLE {
            return MergeOutcome::Same;
        }
        self.members.merge(member, now)
    }

    /// Takes in a follower's report and has it passed on if it is new.
    pub fn merge_follower_report(&mut self, update: &Update, from: Option<Address>, now: Instant) {
        let Update::Summary {
            follower,
            number,
            summary,
        } = update
        else {
            return;
        };
        // Only members report, so that the reports are bounded by the members.
        if self.members.get(*follower).is_none() {
            return;
        }
        let old = self.reports.get(follower);
        if old.is_some_and(|old| old.number >= *number) {
            return;
        }
        let known = |address: &Address| old.and_then(|old| old.since.get(address).copied());
        let behind = summary.behind.iter().map(|lag| lag.address);
        let since = behind.map(|address| (address, known(&address).unwrap_or(now)));
        let report = FollowerReport {
            number: *number,
            summary: summary.clone(),
            since: since.collect(),
        };
        self.reports.insert(*follower, report);
        self.reports_changed = true;
        let update = update.clone();
        self.pending_updates.push(PendingUpdate { update, from });
    }

    /// Replaces the configuration; only the configuration controller calls it.
    ///
    /// Returns whether it was taken: an older or equal one never is.
    pub fn replace_config(&mut self, config: Arc<Config>) -> bool {
        if config.version <= self.config.version {
            return false;
        }
        self.config_digest = config.digest().prefix();
        let old = std::mem::replace(&mut self.config, config);
        self.previous_configs.push_back(old);
        if self.previous_configs.len() > MAX_PAST {
            self.previous_configs.pop_front();
        }
        true
    }

    /// Returns the data centres that most of this data centre's followers cannot reach.
    #[must_use]
    pub fn majority_unreachable(&self) -> BTreeSet<DataCentre> {
        let followers = &self.topology.followers;
        let mut counts: BTreeMap<&DataCentre, usize> = BTreeMap::new();
        for entry in followers.iter().filter_map(|f| self.members.get(*f)) {
            for name in &entry.member.unreachable_data_centres {
                *counts.entry(name).or_default() += 1;
            }
        }
        let most = |count: usize| count * 2 > followers.len();
        let cut = counts.into_iter().filter(|(_, count)| most(*count));
        cut.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the newest version that anybody is known to hold.
    #[must_use]
    pub fn newest_version(&self) -> Version {
        let reported = self.reports.values().map(|report| report.summary.newest);
        reported.fold(self.config.version, Ord::max)
    }

    /// Returns whether the log was read to its end a moment ago.
    #[must_use]
    pub fn has_recent_log_read(&self, now: Instant) -> bool {
        let bound = self.options.poll * FRESH_POLLS;
        self.log
            .last_complete_read
            .is_some_and(|read| now.duration_since(read) <= bound)
    }

    /// Notes that the daemon's address is known to have lived as `life`.
    pub fn note_incarnation(&mut self, incarnation: Incarnation) {
        if incarnation <= self.local.instance.incarnation {
            return;
        }
        let mut member = Member::announce(&self.local, 0);
        member.instance.incarnation = incarnation;
        self.conflicting_record = Some(member);
    }

    /// Returns the followers of `data_centre`.
    #[must_use]
    pub fn followers_of(&self, data_centre: &DataCentre) -> &[Address] {
        if *data_centre == self.local.data_centre {
            return &self.topology.followers;
        }
        let remote = self.topology.remote_followers.get(data_centre);
        remote.map_or(&[], Vec::as_slice)
    }

    /// Returns the reports of the followers of `data_centre`.
    #[must_use]
    pub fn reports_of(&self, data_centre: &DataCentre) -> Vec<&FollowerReport> {
        let followers = self.followers_of(data_centre).iter();
        followers.filter_map(|f| self.reports.get(f)).collect()
    }

    /// Returns the version that every live daemon of `data_centre` holds at least, but for those
    /// that the followers name as behind; absent while they do not count everyone.
    #[must_use]
    pub fn reported_version(&self, data_centre: &DataCentre) -> Option<Version> {
        let reports = self.reports_of(data_centre);
        let counted: u32 = reports.iter().map(|report| report.summary.total).sum();
        let members = self.members.in_data_centre(data_centre);
        let alive = members.filter(|entry| entry.member.liveness == Liveness::Alive);
        let is_all = usize::try_from(counted).is_ok_and(|counted| counted >= alive.count());
        let is_exact = reports.iter().all(|report| report.summary.is_exact());
        if !is_all || !is_exact || reports.len() < self.followers_of(data_centre).len() {
            return None;
        }
        reports.iter().map(|report| report.summary.newest).min()
    }

    /// Remembers what the followers of `data_centre` say that each of its daemons holds.
    pub fn record_reported_version(&mut self, data_centre: &DataCentre) {
        let Some(version) = self.reported_version(data_centre) else {
            return;
        };
        let reports = self.reports_of(data_centre);
        let is_named = |at: Address| reports.iter().any(|r| r.summary.find(at).is_some());
        let members = self.members.in_data_centre(data_centre);
        let alive = members.filter(|entry| entry.member.liveness == Liveness::Alive);
        let holders = alive.map(|entry| entry.member.address());
        let holders: Vec<Address> = holders.filter(|at| !is_named(*at)).collect();
        for address in holders {
            self.members.note_held(address, version);
        }
    }

    /// Notes who holds something older or worse of this daemon: its own side may be all that hears
    /// its announcements.
    fn note_outdated_peer(&mut self, member: &Member, from: Option<Address>) {
        let own = self.members.get(self.address());
        if own.is_some_and(|own| own.member != *member) {
            self.outdated_peers.extend(from);
        }
    }

    fn detect_conflict(&mut self, member: &Member) {
        let own = self.members.get(self.address());
        let overrides = own.is_some_and(|own| member.rank() > own.member.rank());
        if overrides {
            self.conflicting_record = Some(member.clone());
        }
    }
}
