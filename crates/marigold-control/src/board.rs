//! The blackboard of the control side.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use marigold_config::Config;
use marigold_types::{Address, DataCentre, Incarnation, Version};
use tokio::time::Instant;

use crate::member_table::Merge;
use crate::{
    ControlOptions, FetchLimiter, Gate, Local, Mark, Member, MemberTable, Standing, Summary,
    Topology, Update,
};

/// The most members that are kept; a table beyond the mesh's size is an error somewhere.
const MAX_TABLE: usize = 20_000;
/// A read of the log counts as fresh for so many polls.
const FRESH_POLLS: u32 = 4;
/// How many earlier configurations are kept to answer with a delta.
const MAX_PAST: usize = 32;

/// A change to be passed on.
#[derive(Debug, Clone)]
pub struct News {
    /// The change.
    pub update: Update,
    /// Who told it; absent when this daemon found it out.
    pub from: Option<Address>,
}

/// What a follower said of the daemons below it.
#[derive(Debug, Clone)]
pub struct Report {
    /// The report's number; a later one overrides it.
    pub number: (Incarnation, u32),
    /// The counts.
    pub summary: Summary,
    /// Since when each named daemon has been behind, by this daemon's clock.
    pub since: BTreeMap<Address, Instant>,
}

/// How the daemon stands towards the log.
#[derive(Debug, Clone, Default)]
pub struct LogPart {
    /// When the log was last read to its end.
    pub fresh: Option<Instant>,
    /// When a read last failed.
    pub failed: Option<Instant>,
}

/// Everything the control side of a daemon knows; each controller writes its own part.
#[derive(Debug, Clone)]
pub struct Board {
    /// The daemon itself; written by the announcement controller.
    pub local: Local,
    /// What the control side is tuned by.
    pub options: ControlOptions,
    /// The members; written through [`Board::learn`] and the detector.
    pub members: MemberTable,
    /// Who talks to whom; worked out anew when the members change.
    pub topology: Topology,
    /// The changes to be passed on; taken by the gossip controller.
    pub news: Vec<News>,
    /// Whether the changes may not wait for the batch.
    pub urgent: bool,
    /// A record of this daemon by others that it has to override.
    pub challenge: Option<Member>,
    /// Who holds something else of this daemon than it announces, and is to be told.
    pub doubters: BTreeSet<Address>,
    /// Whether the members have been learnt; written by the join controller.
    pub joined: bool,
    /// The data centres that this daemon, as a follower, cannot reach; written by the remote one.
    pub unreached: BTreeSet<DataCentre>,
    /// The configuration held; written by the configuration controller.
    pub config: Arc<Config>,
    /// The first eight bytes of its digest.
    pub digest: u64,
    /// Earlier configurations, oldest first.
    pub past: VecDeque<Arc<Config>>,
    /// Whether the daemon may serve; written by the configuration controller.
    pub gate: Gate,
    /// Bounds the whole states that are under way; written by the fetch controller.
    pub limiter: FetchLimiter,
    /// How the log stands; written by the follower controller.
    pub log: LogPart,
    /// What the followers report; written by the report controller.
    pub reports: BTreeMap<Address, Report>,
    /// Whether a report has come that has not been worked into the members.
    pub recount: bool,
}

impl Board {
    /// Makes the board of a daemon that has just started.
    #[must_use]
    pub fn new(local: Local, options: ControlOptions, now: Instant) -> Self {
        let mut members = MemberTable::new();
        members.merge(&Member::announce(&local, 0), now);
        let config = Arc::new(Config::default());
        Self {
            digest: config.digest().prefix(),
            limiter: FetchLimiter::new(options.fetches),
            local,
            options,
            members,
            topology: Topology::default(),
            news: Vec::new(),
            urgent: false,
            challenge: None,
            doubters: BTreeSet::new(),
            joined: false,
            unreached: BTreeSet::new(),
            config,
            past: VecDeque::new(),
            gate: Gate::Starting,
            log: LogPart::default(),
            reports: BTreeMap::new(),
            recount: false,
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
        self.gate == Gate::Open
    }

    /// Returns what the daemon holds, for others to compare with.
    #[must_use]
    pub fn mark(&self) -> Mark {
        Mark {
            version: self.config.version,
            config: self.digest,
            table: self.members.digest(),
        }
    }

    /// Takes in a record and has it passed on if it is new.
    pub fn learn(&mut self, member: &Member, from: Option<Address>, now: Instant) -> Merge {
        if member.address() == self.address() {
            self.notice_doubt(member, from);
        }
        let merge = self.import(member, now);
        if merge == Merge::Newer {
            self.urgent |= member.draining;
            self.news.push(News {
                update: Update::Member(member.clone()),
                from,
            });
        }
        merge
    }

    /// Takes in a record without passing it on.
    pub fn import(&mut self, member: &Member, now: Instant) -> Merge {
        if member.address() == self.address() {
            self.notice_challenge(member);
            return Merge::Same;
        }
        let known = self.members.get(member.address()).is_some();
        if !known && self.members.len() >= MAX_TABLE {
            return Merge::Same;
        }
        self.members.merge(member, now)
    }

    /// Takes in a follower's report and has it passed on if it is new.
    pub fn learn_summary(&mut self, update: &Update, from: Option<Address>, now: Instant) {
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
        let report = Report {
            number: *number,
            summary: summary.clone(),
            since: since.collect(),
        };
        self.reports.insert(*follower, report);
        self.recount = true;
        let update = update.clone();
        self.news.push(News { update, from });
    }

    /// Replaces the configuration; only the configuration controller calls it.
    ///
    /// Returns whether it was taken: an older or equal one never is.
    pub fn replace_config(&mut self, config: Arc<Config>) -> bool {
        if config.version <= self.config.version {
            return false;
        }
        self.digest = config.digest().prefix();
        let old = std::mem::replace(&mut self.config, config);
        self.past.push_back(old);
        if self.past.len() > MAX_PAST {
            self.past.pop_front();
        }
        true
    }

    /// Returns the data centres that most of this data centre's followers cannot reach.
    #[must_use]
    pub fn cut(&self) -> BTreeSet<DataCentre> {
        let followers = &self.topology.followers;
        let mut counts: BTreeMap<&DataCentre, usize> = BTreeMap::new();
        for entry in followers.iter().filter_map(|f| self.members.get(*f)) {
            for name in &entry.member.cut {
                *counts.entry(name).or_default() += 1;
            }
        }
        let most = |count: usize| count * 2 > followers.len();
        let cut = counts.into_iter().filter(|(_, count)| most(*count));
        cut.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the newest version that anybody is known to hold.
    #[must_use]
    pub fn newest(&self) -> Version {
        let reported = self.reports.values().map(|report| report.summary.newest);
        reported.fold(self.config.version, Ord::max)
    }

    /// Returns whether the log was read to its end a moment ago.
    #[must_use]
    pub fn is_fresh(&self, now: Instant) -> bool {
        let bound = self.options.poll * FRESH_POLLS;
        self.log
            .fresh
            .is_some_and(|fresh| now.duration_since(fresh) <= bound)
    }

    /// Notes that the daemon's address is known to have lived as `life`.
    pub fn notice_life(&mut self, life: Incarnation) {
        if life <= self.local.instance.incarnation {
            return;
        }
        let mut member = Member::announce(&self.local, 0);
        member.instance.incarnation = life;
        self.challenge = Some(member);
    }

    /// Returns the followers of `data_centre`.
    #[must_use]
    pub fn followers_of(&self, data_centre: &DataCentre) -> &[Address] {
        if *data_centre == self.local.data_centre {
            return &self.topology.followers;
        }
        let remote = self.topology.remote.get(data_centre);
        remote.map_or(&[], Vec::as_slice)
    }

    /// Returns the reports of the followers of `data_centre`.
    #[must_use]
    pub fn reports_of(&self, data_centre: &DataCentre) -> Vec<&Report> {
        let followers = self.followers_of(data_centre).iter();
        followers.filter_map(|f| self.reports.get(f)).collect()
    }

    /// Returns the version that every live daemon of `data_centre` holds at least, but for those
    /// that the followers name as behind; absent while they do not count everyone.
    #[must_use]
    pub fn reported(&self, data_centre: &DataCentre) -> Option<Version> {
        let reports = self.reports_of(data_centre);
        let counted: u32 = reports.iter().map(|report| report.summary.total).sum();
        let members = self.members.local(data_centre);
        let alive = members.filter(|entry| entry.member.standing == Standing::Alive);
        let is_all = usize::try_from(counted).is_ok_and(|counted| counted >= alive.count());
        let is_exact = reports.iter().all(|report| report.summary.is_exact());
        if !is_all || !is_exact || reports.len() < self.followers_of(data_centre).len() {
            return None;
        }
        reports.iter().map(|report| report.summary.newest).min()
    }

    /// Remembers what the followers of `data_centre` say that each of its daemons holds.
    pub fn note_reported(&mut self, data_centre: &DataCentre) {
        let Some(version) = self.reported(data_centre) else {
            return;
        };
        let reports = self.reports_of(data_centre);
        let is_named = |at: Address| reports.iter().any(|r| r.summary.find(at).is_some());
        let members = self.members.local(data_centre);
        let alive = members.filter(|entry| entry.member.standing == Standing::Alive);
        let holders = alive.map(|entry| entry.member.address());
        let holders: Vec<Address> = holders.filter(|at| !is_named(*at)).collect();
        for address in holders {
            self.members.note_held(address, version);
        }
    }

    /// Notes who holds something older or worse of this daemon: its own side may be all that hears
    /// its announcements.
    fn notice_doubt(&mut self, member: &Member, from: Option<Address>) {
        let own = self.members.get(self.address());
        if own.is_some_and(|own| own.member != *member) {
            self.doubters.extend(from);
        }
    }

    fn notice_challenge(&mut self, member: &Member) {
        let own = self.members.get(self.address());
        let overrides = own.is_some_and(|own| member.rank() > own.member.rank());
        if overrides {
            self.challenge = Some(member.clone());
        }
    }
}
