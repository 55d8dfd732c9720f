//! The state shared by the controllers of a daemon.

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

/// The maximum number of members in the table; no mesh is that large, so more indicate a fault.
const MAX_TABLE_MEMBERS: usize = 20_000;
/// How many poll intervals a complete read of the log counts as recent.
const RECENT_READ_POLLS: u32 = 4;
/// How many previous configurations are kept as bases for deltas.
const MAX_PREVIOUS_CONFIGS: usize = 32;

/// An update that is queued for gossip.
#[derive(Debug, Clone)]
pub struct PendingUpdate {
    /// The update.
    pub update: Update,
    /// The peer that sent it; absent if this daemon produced it.
    pub from: Option<Address>,
}

/// The latest report of a follower on the daemons below it in the fan-out tree.
#[derive(Debug, Clone)]
pub struct FollowerReport {
    /// The follower's incarnation and the report's sequence number; a greater pair replaces it.
    pub number: (Incarnation, u32),
    /// The reported versions.
    pub summary: VersionSummary,
    /// Since when each listed daemon has been behind, by this daemon's clock.
    pub behind_since: BTreeMap<Address, Instant>,
}

/// When this daemon last read the log, successfully or not.
#[derive(Debug, Clone, Default)]
pub struct LogReads {
    /// When the last read that reached the end of the log was sent.
    pub last_complete_read: Option<Instant>,
    /// When a read last failed.
    pub last_failed_read: Option<Instant>,
}

/// The state shared by the controllers: all of them read it, each writes its own part.
#[derive(Debug, Clone)]
pub struct ControlState {
    /// This daemon; written by the announcement controller.
    pub local: LocalInstance,
    /// The intervals and limits in use.
    pub options: ControlOptions,
    /// The known members; written through [`ControlState::merge_and_propagate`] and
    /// [`ControlState::merge_member`], and by the detector.
    pub members: MemberTable,
    /// The peers of this daemon; recomputed when the members change.
    pub topology: Topology,
    /// The updates to be sent; drained by the gossip controller.
    pub pending_updates: Vec<PendingUpdate>,
    /// Whether the pending updates are sent without waiting for the batch interval.
    pub urgent: bool,
    /// A record of this daemon that overrides its own announcement and has to be refuted.
    pub conflicting_record: Option<Member>,
    /// Peers with an outdated record of this daemon, which are to be sent the current one.
    pub outdated_peers: BTreeSet<Address>,
    /// Whether the members table has been received; written by the join controller.
    pub joined: bool,
    /// The data centres that this daemon, as a follower, cannot reach; written by the remote
    /// controller.
    pub unreachable_data_centres: BTreeSet<DataCentre>,
    /// The current configuration; written by the configuration and follower controllers.
    pub config: Arc<Config>,
    /// The first eight bytes of the digest of the current configuration.
    pub config_digest: u64,
    /// Previous configurations, oldest first.
    pub previous_configs: VecDeque<Arc<Config>>,
    /// Whether the daemon may serve requests; written by the configuration controller.
    pub serving_state: ServingState,
    /// Limits concurrent snapshot transfers; written by the fetch controller.
    pub fetch_limiter: FetchLimiter,
    /// When the log was last read; written by the follower controller.
    pub log: LogReads,
    /// The latest report of each follower; written by the report controller.
    pub reports: BTreeMap<Address, FollowerReport>,
    /// Whether a report has arrived that is not yet reflected in the members table.
    pub reports_changed: bool,
}

impl ControlState {
    /// Creates the state of a daemon that has just started.
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

    /// Returns the address of this daemon.
    #[must_use]
    pub fn address(&self) -> Address {
        self.local.instance.address
    }

    /// Returns whether the daemon may serve requests.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.serving_state == ServingState::Serving
    }

    /// Returns the digest that peers compare with their own.
    #[must_use]
    pub fn digest(&self) -> StateDigest {
        StateDigest {
            version: self.config.version,
            config: self.config_digest,
            table: self.members.digest(),
        }
    }

    /// Merges a member record and queues it for gossip if it is new.
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

    /// Merges a member record without queueing it for gossip.
    pub fn merge_member(&mut self, member: &Member, now: Instant) -> MergeOutcome {
        if member.address() == self.address() {
            self.detect_conflict(member);
            return MergeOutcome::Same;
        }
        let known = self.members.get(member.address()).is_some();
        if !known && self.members.len() >= MAX_TABLE_MEMBERS {
            return MergeOutcome::Same;
        }
        self.members.merge(member, now)
    }

    /// Stores a follower's report and queues it for gossip if it is new.
    pub fn merge_follower_report(&mut self, update: &Update, from: Option<Address>, now: Instant) {
        let Update::Summary {
            follower,
            number,
            summary,
        } = update
        else {
            return;
        };
        // Reports of unknown daemons are ignored, so that the members bound the number of reports.
        if self.members.get(*follower).is_none() {
            return;
        }
        let old = self.reports.get(follower);
        if old.is_some_and(|old| old.number >= *number) {
            return;
        }
        let known = |address: &Address| old.and_then(|old| old.behind_since.get(address).copied());
        let behind = summary.behind.iter().map(|lag| lag.address);
        let behind_since = behind.map(|address| (address, known(&address).unwrap_or(now)));
        let report = FollowerReport {
            number: *number,
            summary: summary.clone(),
            behind_since: behind_since.collect(),
        };
        self.reports.insert(*follower, report);
        self.reports_changed = true;
        let update = update.clone();
        self.pending_updates.push(PendingUpdate { update, from });
    }

    /// Replaces the configuration; only called by the controllers that receive configurations.
    ///
    /// Returns whether it was replaced: an older or equal version is ignored.
    pub fn replace_config(&mut self, config: Arc<Config>) -> bool {
        if config.version <= self.config.version {
            return false;
        }
        self.config_digest = config.digest().prefix();
        let old = std::mem::replace(&mut self.config, config);
        self.previous_configs.push_back(old);
        if self.previous_configs.len() > MAX_PREVIOUS_CONFIGS {
            self.previous_configs.pop_front();
        }
        true
    }

    /// Returns the data centres that a majority of this data centre's followers cannot reach.
    #[must_use]
    pub fn majority_unreachable(&self) -> BTreeSet<DataCentre> {
        let followers = &self.topology.followers;
        let mut counts: BTreeMap<&DataCentre, usize> = BTreeMap::new();
        for entry in followers.iter().filter_map(|f| self.members.get(*f)) {
            for name in &entry.member.unreachable_data_centres {
                *counts.entry(name).or_default() += 1;
            }
        }
        let is_majority = |count: usize| count * 2 > followers.len();
        let unreachable = counts.into_iter().filter(|(_, count)| is_majority(*count));
        unreachable.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the newest version that any daemon is known to hold.
    #[must_use]
    pub fn newest_version(&self) -> Version {
        let reported = self.reports.values().map(|report| report.summary.newest);
        reported.fold(self.config.version, Ord::max)
    }

    /// Returns whether this daemon read the log to its end within the last few poll intervals.
    #[must_use]
    pub fn has_recent_log_read(&self, now: Instant) -> bool {
        let bound = self.options.poll * RECENT_READ_POLLS;
        self.log
            .last_complete_read
            .is_some_and(|read| now.duration_since(read) <= bound)
    }

    /// Notes that peers know `incarnation` for this daemon's address; if it is later than the
    /// daemon's own, it has to be refuted.
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

    /// Returns the minimum version held by the live daemons of `data_centre` that its followers do
    /// not list as behind; `None` unless the reports account for every live daemon.
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

    /// Records the reported version for each live daemon of `data_centre` that is not listed as
    /// behind.
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

    /// Notes a peer with an outdated record of this daemon: during a partition, gossip may carry
    /// the announcements of this daemon to its own side only.
    fn note_outdated_peer(&mut self, member: &Member, from: Option<Address>) {
        let own = self.members.get(self.address());
        if own.is_some_and(|own| own.member != *member) {
            self.outdated_peers.extend(from);
        }
    }

    /// Keeps a record of this daemon that ranks above its own, to be refuted.
    fn detect_conflict(&mut self, member: &Member) {
        let own = self.members.get(self.address());
        let overrides = own.is_some_and(|own| member.rank() > own.member.rank());
        if overrides {
            self.conflicting_record = Some(member.clone());
        }
    }
}
