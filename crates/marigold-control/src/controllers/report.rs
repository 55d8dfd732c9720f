//! Reports of the versions held by the daemons.

use std::collections::BTreeMap;

use marigold_types::{Address, Version};
use tokio::time::Instant;

use crate::controller::{Controller, Input};
use crate::{ControlState, Event, Message, Outbox, Update, VersionSummary};

/// The number of report intervals after which an unchanged summary is sent to the parent again.
const PARENT_REFRESH_INTERVALS: u32 = 30;
/// The number of report intervals after which a follower gossips an unchanged summary again.
const GOSSIP_REFRESH_INTERVALS: u32 = 300;
/// The number of report intervals that a follower waits after a change for the daemons below it, so
/// that it gossips one summary, which lists only the daemons that are still behind.
const GOSSIP_DELAY_INTERVALS: u32 = 5;

/// Counts the daemons below this one by version and reports to its parent in the fan-out tree; a
/// follower, which has no parent, gossips its report.
///
/// Any daemon can thus show operators which daemons are behind, at a cost of a few bytes per
/// change; see docs/design/control.md.
#[derive(Debug, Default)]
pub struct Reports {
    child_summaries: BTreeMap<Address, VersionSummary>,
    next_report: Option<Instant>,
    last_report: Option<SentReport>,
    number: u32,
    /// The newest version counted, and when it was first counted.
    newest: Option<(Version, Instant)>,
}

/// The report sent last.
#[derive(Debug, Clone)]
struct SentReport {
    summary: VersionSummary,
    parent: Option<Address>,
    at: Instant,
}

impl Controller for Reports {
    fn name(&self) -> &'static str {
        "report"
    }

    fn handle(
        &mut self,
        state: &mut ControlState,
        input: Input<'_>,
        now: Instant,
        out: &mut Outbox,
    ) {
        match input {
            Input::Message {
                from,
                message: Message::Ack { summary },
            } => self.record_summary(state, from, summary),
            Input::Event(Event::Tick) => self.tick(state, now, out),
            _ => {}
        }
    }
}

impl Reports {
    fn record_summary(
        &mut self,
        state: &mut ControlState,
        from: Address,
        summary: &VersionSummary,
    ) {
        if state.topology.children.contains(&from) {
            self.child_summaries.insert(from, summary.clone());
        }
    }

    fn tick(&mut self, state: &mut ControlState, now: Instant, out: &mut Outbox) {
        let next = *self.next_report.get_or_insert(now);
        if now < next || !state.joined {
            return;
        }
        if std::mem::take(&mut state.reports_changed) {
            record_reported_versions(state);
        }
        self.next_report = Some(now + state.options.report);
        let children = &state.topology.children;
        self.child_summaries
            .retain(|address, _| children.contains(address));
        let members = &state.members;
        state.reports.retain(|f, _| members.get(*f).is_some());
        let summary = self.count(state);
        let parent = state.topology.parent;
        let intervals = if parent.is_some() {
            PARENT_REFRESH_INTERVALS
        } else {
            GOSSIP_REFRESH_INTERVALS
        };
        let refresh_interval = state.options.report * intervals;
        let is_unchanged = self.last_report.as_ref().is_some_and(|last| {
            last.summary == summary && last.parent == parent && now - last.at < refresh_interval
        });
        if is_unchanged || parent.is_none() && self.should_wait(state, &summary, now) {
            return;
        }
        self.send(state, parent, &summary, now, out);
        let at = now;
        self.last_report = Some(SentReport {
            summary,
            parent,
            at,
        });
    }

    /// Returns whether a follower should wait before it gossips a summary: because most daemons
    /// below are about to report a new version, or because it sent one recently and only the number
    /// of daemons has changed, as it does constantly while many daemons restart.
    fn should_wait(
        &mut self,
        state: &ControlState,
        summary: &VersionSummary,
        now: Instant,
    ) -> bool {
        let newest = self
            .newest
            .filter(|(version, _)| *version == summary.newest);
        let (_, since) = *self.newest.insert(newest.unwrap_or((summary.newest, now)));
        let delay = state.options.report * GOSSIP_DELAY_INTERVALS;
        let last = self.last_report.as_ref();
        let is_recent = last.is_some_and(|last| now.duration_since(last.at) < delay);
        if summary.holders < summary.total {
            return is_recent || now.duration_since(since) < delay;
        }
        is_recent && last.is_some_and(|last| last.summary.newest == summary.newest)
    }

    fn count(&self, state: &ControlState) -> VersionSummary {
        let newest = self.child_summaries.values().map(|below| below.newest);
        let newest = newest.fold(state.config.version, Ord::max);
        let mut summary = VersionSummary {
            newest,
            ..VersionSummary::default()
        };
        summary.add(state.address(), &VersionSummary::of(state.config.version));
        for (address, below) in &self.child_summaries {
            summary.add(*address, below);
        }
        summary
    }

    fn send(
        &mut self,
        state: &mut ControlState,
        parent: Option<Address>,
        summary: &VersionSummary,
        now: Instant,
        out: &mut Outbox,
    ) {
        let summary = summary.clone();
        if let Some(parent) = parent {
            out.send(parent, &Message::Ack { summary });
            return;
        }
        if state.topology.is_follower {
            self.number += 1;
            let update = Update::Summary {
                follower: state.address(),
                number: (state.local.instance.incarnation, self.number),
                summary,
            };
            state.merge_follower_report(&update, None, now);
        }
    }
}

/// Records the versions in the followers' reports in the members table.
fn record_reported_versions(state: &mut ControlState) {
    let mut centres = state.topology.other_data_centres.clone();
    centres.insert(state.local.data_centre.clone());
    for centre in &centres {
        state.record_reported_version(centre);
    }
}
