//! Tells who holds which version.

use std::collections::BTreeMap;

use marigold_types::{Address, Version};
use tokio::time::Instant;

use crate::controller::{Controller, Input};
use crate::{ControlState, Event, Message, Outbox, Update, VersionSummary};

/// After so many intervals a summary is sent again to the parent although nothing changed.
const REPEAT: u32 = 30;
/// After so many intervals a follower tells everybody again although nothing changed.
const REPEAT_ALL: u32 = 300;
/// For so many intervals after a change a follower waits for all below it, so that everybody is
/// told once, and of those that lag.
const LAG_GRACE: u32 = 5;

/// Counts the daemons below this one by version and tells its parent in the fan-out tree; a
/// follower, which has none, tells everybody.
///
/// Operators so learn from any daemon who lags, for a few bytes a change: see
/// docs/design/control.md.
#[derive(Debug, Default)]
pub struct Reports {
    below: BTreeMap<Address, VersionSummary>,
    next: Option<Instant>,
    last: Option<Sent>,
    number: u32,
    /// The newest version counted, and since when.
    newest: Option<(Version, Instant)>,
}

/// What was told, to whom and when.
#[derive(Debug, Clone)]
struct Sent {
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
            } => self.take(state, from, summary),
            Input::Event(Event::Tick) => self.tick(state, now, out),
            _ => {}
        }
    }
}

impl Reports {
    fn take(&mut self, state: &mut ControlState, from: Address, summary: &VersionSummary) {
        if state.topology.children.contains(&from) {
            self.below.insert(from, summary.clone());
        }
    }

    fn tick(&mut self, state: &mut ControlState, now: Instant, out: &mut Outbox) {
        let next = *self.next.get_or_insert(now);
        if now < next || !state.joined {
            return;
        }
        if std::mem::take(&mut state.reports_changed) {
            recount(state);
        }
        self.next = Some(now + state.options.report);
        let children = &state.topology.children;
        self.below.retain(|address, _| children.contains(address));
        let members = &state.members;
        state.reports.retain(|f, _| members.get(*f).is_some());
        let summary = self.count(state);
        let parent = state.topology.parent;
        let repeat = if parent.is_some() { REPEAT } else { REPEAT_ALL };
        let period = state.options.report * repeat;
        let known = self.last.as_ref().is_some_and(|last| {
            last.summary == summary && last.parent == parent && now - last.at < period
        });
        if known || parent.is_none() && self.expects_more(state, &summary, now) {
            return;
        }
        self.tell(state, parent, &summary, now, out);
        let at = now;
        self.last = Some(Sent {
            summary,
            parent,
            at,
        });
    }

    /// Returns whether a follower had better wait before it tells everybody: most of those below
    /// are just about to tell of a new version, or it has told a moment ago and only the count of
    /// daemons has changed, as it does all the time while a herd returns.
    fn expects_more(
        &mut self,
        state: &ControlState,
        summary: &VersionSummary,
        now: Instant,
    ) -> bool {
        let newest = self
            .newest
            .filter(|(version, _)| *version == summary.newest);
        let (_, since) = *self.newest.insert(newest.unwrap_or((summary.newest, now)));
        let grace = state.options.report * LAG_GRACE;
        let last = self.last.as_ref();
        let told = last.is_some_and(|last| now.duration_since(last.at) < grace);
        if summary.holders < summary.total {
            return told || now.duration_since(since) < grace;
        }
        told && last.is_some_and(|last| last.summary.newest == summary.newest)
    }

    fn count(&self, state: &ControlState) -> VersionSummary {
        let newest = self.below.values().map(|below| below.newest);
        let newest = newest.fold(state.config.version, Ord::max);
        let mut summary = VersionSummary {
            newest,
            ..VersionSummary::default()
        };
        summary.add(state.address(), &VersionSummary::of(state.config.version));
        for (address, below) in &self.below {
            summary.add(*address, below);
        }
        summary
    }

    fn tell(
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

/// Works the followers' reports into what is remembered of each address.
fn recount(state: &mut ControlState) {
    let mut centres = state.topology.other_data_centres.clone();
    centres.insert(state.local.data_centre.clone());
    for centre in &centres {
        state.record_reported_version(centre);
    }
}
