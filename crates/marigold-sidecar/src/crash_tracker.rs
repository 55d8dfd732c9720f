//! Tracks requests that crash backend servers, for the ingress and the executor of a daemon. See
//! docs/design/crashing-requests.md.

mod tracked_run;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use marigold_request::quarantine::{
    CrashRecord, EventNumber, Fingerprint, Quarantine, QuarantinePolicy, QuarantineStatus, RunToken,
};
use marigold_types::{Address, Incarnation, InstanceId, Interval};
use tokio::time::{Instant, sleep};

pub use self::tracked_run::TrackedRun;
use crate::events::{EventLog, Severity};
use crate::link::LinkServer;

/// When requests are suspected and refused; docs/design/crashing-requests.md gives the reasons.
const POLICY: QuarantinePolicy = QuarantinePolicy {
    crashes: 2,
    term: Interval::from_millis(30_000),
    max_term: Interval::from_millis(300_000),
    hold: Interval::from_millis(10_000),
    memory: Interval::from_millis(600_000),
};
/// Retry delay of a suspected request while another one runs on the backend server, or while that is not certain to be
/// alive.
pub(crate) const TRIAL_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Clearances within this time are sent to other daemons together, since a crash leads to many.
const CLEARANCE_DELAY: Duration = Duration::from_millis(200);

/// The [`Quarantine`] of a daemon, and its exchange with other daemons.
pub struct CrashTracker {
    quarantine: RefCell<Quarantine>,
    events: Rc<EventLog>,
    link_server: RefCell<Weak<LinkServer>>,
    /// Whether a suspected request runs on the backend server.
    is_trial_running: Cell<bool>,
    is_share_scheduled: Cell<bool>,
    myself: Weak<Self>,
}

impl CrashTracker {
    /// Creates the tracker of the daemon at `address`; `run_id` distinguishes it from earlier ones there.
    #[must_use]
    pub fn new(address: SocketAddr, run_id: u64, events: Rc<EventLog>) -> Rc<Self> {
        let local = InstanceId {
            address: Address(address),
            incarnation: Incarnation(run_id),
        };
        Rc::new_cyclic(|myself| Self {
            quarantine: RefCell::new(Quarantine::new(local, POLICY)),
            events,
            link_server: RefCell::default(),
            is_trial_running: Cell::new(false),
            is_share_scheduled: Cell::new(false),
            myself: myself.clone(),
        })
    }

    /// Sets the server that sends records to other daemons.
    pub fn set_link_server(&self, server: &Rc<LinkServer>) {
        *self.link_server.borrow_mut() = Rc::downgrade(server);
    }

    /// Returns whether no request is recorded, so that the status of every request is clear.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.quarantine.borrow().is_empty()
    }

    /// Returns whether a request may run now.
    #[must_use]
    pub fn status(&self, fingerprint: &Fingerprint) -> QuarantineStatus {
        let now = Instant::now();
        self.quarantine.borrow_mut().status(fingerprint, now)
    }

    /// Returns the delay after which to retry a request that may not run on the backend server now.
    #[must_use]
    pub fn refusal(&self, fingerprint: &Fingerprint) -> Option<Duration> {
        match self.status(fingerprint) {
            QuarantineStatus::Suspect if self.is_trial_running.get() => Some(TRIAL_RETRY_DELAY),
            QuarantineStatus::Clear | QuarantineStatus::Suspect => None,
            QuarantineStatus::Refused(refusal) => {
                Some(refusal.retry_after.unwrap_or(POLICY.term).duration())
            }
        }
    }

    /// Records that a request is sent to the backend server.
    ///
    /// # Errors
    ///
    /// If it may not run now. The error is the delay after which to retry.
    pub fn start(self: &Rc<Self>, fingerprint: Fingerprint) -> Result<TrackedRun, Duration> {
        if let Some(delay) = self.refusal(&fingerprint) {
            return Err(delay);
        }
        let is_trial = self.status(&fingerprint) == QuarantineStatus::Suspect;
        if is_trial {
            self.is_trial_running.set(true);
            let fields = [("fingerprint", fingerprint.to_string().into())];
            self.events.emit("trial_started", Severity::Warn, &fields);
        }
        let run = self
            .quarantine
            .borrow_mut()
            .record_start(fingerprint, is_trial);
        Ok(TrackedRun::new(self.clone(), run, is_trial))
    }

    /// Records that the backend server has crashed.
    pub fn record_crash(&self) {
        let records = self.quarantine.borrow_mut().record_crash(Instant::now());
        metrics::counter!("marigold_backend_crashes_total").increment(1);
        let fields = [("fingerprints", fingerprints(&records).into())];
        self.events.emit("backend_crashed", Severity::Warn, &fields);
        for record in records {
            if let Some(left) = record.refused_for(&POLICY) {
                let fields = [
                    ("fingerprint", record.fingerprint.to_string().into()),
                    ("trials", record.trials.into()),
                    ("left_s", left.as_secs().into()),
                ];
                self.events
                    .emit("request_quarantined", Severity::Warn, &fields);
            }
        }
        self.share();
    }

    /// Records that nothing is heard from the backend server any more.
    pub fn record_silence(&self) {
        let records = self.quarantine.borrow_mut().record_silence(Instant::now());
        metrics::counter!("marigold_backend_silences_total").increment(1);
        let fields = [("fingerprints", fingerprints(&records).into())];
        self.events.emit("backend_silent", Severity::Warn, &fields);
        self.share();
    }

    /// Returns the number of the latest event at the backend server, for [`Self::record_alive`].
    #[must_use]
    pub fn latest_event(&self) -> EventNumber {
        self.quarantine.borrow().latest_event()
    }

    /// Records that the backend server has outlived the exchanges that broke before `event`.
    pub fn record_alive(&self, event: EventNumber) {
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.record_alive(event, Instant::now());
        drop(quarantine);
        self.share_soon();
    }

    /// Records that the backend server is heard again after a silence.
    pub fn record_sound(&self) {
        self.quarantine.borrow_mut().record_sound(Instant::now());
        self.events.emit("backend_heard", Severity::Info, &[]);
        self.share_soon();
    }

    /// Merges the records of another daemon, and sends on what is new if `forward` is set.
    pub fn receive(&self, records: &[CrashRecord], forward: bool) {
        // What is pending comes from this daemon and is sent in any case.
        self.share();
        let now = Instant::now();
        self.quarantine.borrow_mut().receive(records, now);
        if !forward {
            self.quarantine.borrow_mut().take_updates(now);
        } else if records.iter().all(CrashRecord::is_cleared) {
            self.share_soon();
        } else {
            self.share();
        }
        self.record_size();
    }

    /// Returns all records, for a daemon that connects.
    #[must_use]
    pub fn records(&self) -> Vec<CrashRecord> {
        self.quarantine.borrow_mut().records(Instant::now())
    }

    /// Records that the exclusive run of a request is over for this daemon, and how.
    fn end_trial(&self, fingerprint: &Fingerprint, outcome: &'static str) {
        self.is_trial_running.set(false);
        let fields = [
            ("fingerprint", fingerprint.to_string().into()),
            ("outcome", outcome.into()),
        ];
        self.events.emit("trial_ended", Severity::Warn, &fields);
    }

    fn record_answer(&self, run: RunToken) {
        self.quarantine
            .borrow_mut()
            .record_answer(run, Instant::now());
        self.share_soon();
    }

    /// Sends changed records to the daemons that are connected to this one.
    fn share(&self) {
        let updates = self.quarantine.borrow_mut().take_updates(Instant::now());
        if let Some(server) = self.link_server.borrow().upgrade() {
            server.broadcast_crash_records(&updates);
        }
        self.record_size();
    }

    fn share_soon(&self) {
        if !self.quarantine.borrow().has_updates() || self.is_share_scheduled.replace(true) {
            return;
        }
        let tracker = self.myself.clone();
        tokio::task::spawn_local(async move {
            sleep(CLEARANCE_DELAY).await;
            if let Some(tracker) = tracker.upgrade() {
                tracker.is_share_scheduled.set(false);
                tracker.share();
            }
        });
    }

    fn record_size(&self) {
        let mut quarantine = self.quarantine.borrow_mut();
        #[expect(clippy::cast_precision_loss, reason = "a gauge is a float")]
        metrics::gauge!("marigold_crash_records").set(quarantine.len() as f64);
        let dropped = quarantine.take_dropped();
        if dropped > 0 {
            let fields = [("records", dropped.into())];
            self.events
                .emit("crash_records_dropped", Severity::Warn, &fields);
        }
    }
}

fn fingerprints(records: &[CrashRecord]) -> Vec<String> {
    let prints = records.iter().map(|record| record.fingerprint.to_string());
    prints.collect()
}
