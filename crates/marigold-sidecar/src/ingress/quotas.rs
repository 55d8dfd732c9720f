//! Keeps the quotas of workspaces together with the other daemons. See docs/design/quotas.md.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use marigold_dispatch::quota::{
    QuotaAsk, QuotaDesk, QuotaGrant, QuotaHome, QuotaTicket, QuotaVerdict,
};
use marigold_dispatch::{Workspace, WorkspaceTable};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

use crate::boot_clock::BootClock;
use crate::events::{EventLog, Severity};
use crate::link::QuotaHandler;

/// Interval at which votes are renewed and the answers of homes are checked for.
const IDLE_INTERVAL: Duration = Duration::from_millis(50);
/// As [`IDLE_INTERVAL`], while requests wait.
const WAITING_INTERVAL: Duration = Duration::from_millis(10);
/// This daemon answers its own asks at once, which can make others due. More rounds would not help.
const MAX_ROUNDS: usize = 3;

/// Sends an ask to another daemon; returns whether it is connected.
pub type AskSender = Box<dyn Fn(SocketAddr, QuotaAsk) -> bool>;

/// A request may not be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OverQuota {
    /// The workspace is over its quota.
    Refused {
        /// The time until the request is likely to be granted.
        retry_after: Duration,
    },
    /// No daemon could tell whether it is.
    Unsettled,
}

/// Asks other daemons about the requests of callers here, and answers their asks.
///
/// It does nothing unless a workspace has a quota.
pub struct Quotas {
    own: SocketAddr,
    clock: BootClock,
    events: Rc<EventLog>,
    send: AskSender,
    table: RefCell<Option<Arc<WorkspaceTable>>>,
    desk: RefCell<QuotaDesk>,
    home: RefCell<QuotaHome>,
    waiting: RefCell<HashMap<QuotaTicket, oneshot::Sender<QuotaVerdict>>>,
    is_running: Cell<bool>,
    daemons: RefCell<Vec<SocketAddr>>,
    is_directory_known: Cell<bool>,
    myself: Weak<Self>,
}

impl Quotas {
    /// Creates the quotas of the daemon at `own`, without workspaces.
    #[must_use]
    pub fn new(own: SocketAddr, events: Rc<EventLog>, send: AskSender) -> Rc<Self> {
        let clock = BootClock::new();
        let now = clock.now();
        let run = rand::random();
        Rc::new_cyclic(|myself| Self {
            own,
            clock,
            events,
            send,
            table: RefCell::default(),
            desk: RefCell::new(QuotaDesk::new(own, run, now)),
            home: RefCell::new(QuotaHome::new(run, now)),
            waiting: RefCell::default(),
            is_running: Cell::new(false),
            daemons: RefCell::default(),
            is_directory_known: Cell::new(false),
            myself: myself.clone(),
        })
    }

    /// Replaces the workspaces.
    pub fn install(&self, table: Option<Arc<WorkspaceTable>>) {
        let has_quotas = table.as_ref().is_some_and(|table| table.has_quotas());
        *self.table.borrow_mut() = table;
        if !has_quotas || self.is_running.replace(true) {
            return;
        }
        let myself = self.myself.clone();
        tokio::task::spawn_local(async move {
            while let Some(quotas) = myself.upgrade() {
                if !quotas.has_quotas() && !quotas.desk.borrow().is_waiting() {
                    quotas.is_running.set(false);
                    return;
                }
                quotas.poll();
                quotas.report();
                let is_waiting = quotas.desk.borrow().is_waiting();
                drop(quotas);
                sleep(if is_waiting {
                    WAITING_INTERVAL
                } else {
                    IDLE_INTERVAL
                })
                .await;
            }
        });
    }

    /// Replaces the known daemons. They don't count until [`confirm_directory`](Self::confirm_directory).
    pub fn set_daemons(&self, daemons: Vec<SocketAddr>) {
        *self.daemons.borrow_mut() = daemons;
        if self.is_directory_known.get() {
            self.apply_daemons();
        }
    }

    /// Records that all daemons are known. A daemon that knew only itself would trust its own vote.
    pub fn confirm_directory(&self) {
        if !self.is_directory_known.replace(true) {
            self.apply_daemons();
        }
    }

    fn apply_daemons(&self) {
        let daemons = self.daemons.borrow();
        let now = self.clock.now();
        self.desk.borrow_mut().set_daemons(&daemons, now);
        self.home.borrow_mut().set_daemons(daemons.len(), now);
    }

    /// Waits until a request of `workspace` may be sent.
    ///
    /// # Errors
    ///
    /// If the workspace is over its quota, or no daemon can tell.
    pub async fn admit(&self, workspace: &Workspace) -> Result<(), OverQuota> {
        if workspace.quota.is_none() {
            return Ok(());
        }
        let began = Instant::now();
        let (sender, receiver) = oneshot::channel();
        let now = self.clock.now();
        let ticket = self.desk.borrow_mut().request(&workspace.name, now);
        self.waiting.borrow_mut().insert(ticket, sender);
        self.poll();
        let verdict = receiver.await.unwrap_or(QuotaVerdict::Unsettled);
        let (result, label) = match verdict {
            QuotaVerdict::Granted => (Ok(()), "granted"),
            QuotaVerdict::Refused { retry_after } => {
                (Err(OverQuota::Refused { retry_after }), "refused")
            }
            QuotaVerdict::Unsettled => (Err(OverQuota::Unsettled), "unsettled"),
        };
        metrics::counter!("marigold_quota_requests_total", "verdict" => label).increment(1);
        metrics::histogram!("marigold_quota_wait_seconds").record(began.elapsed().as_secs_f64());
        result
    }

    /// Returns the time by the clock that grants are dated by.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Gives the grant of a request of `workspace` back that was admitted at `granted_at` and has not run.
    pub fn give_back(&self, workspace: &Workspace, granted_at: Instant) {
        if workspace.quota.is_some() {
            let mut desk = self.desk.borrow_mut();
            desk.give_back(&workspace.name, granted_at);
        }
    }

    /// Applies the answer of the daemon at `from`.
    pub fn on_grant(&self, from: SocketAddr, grant: &QuotaGrant) {
        let now = self.clock.now();
        let verdicts = self.desk.borrow_mut().on_grant(from, grant, now);
        self.settle(verdicts);
        self.poll();
    }

    /// Records that the daemon at `address` is connected.
    pub fn on_connected(&self, address: SocketAddr) {
        self.desk.borrow_mut().on_connected(address);
    }

    /// Records that the daemon at `address` is not reached, and whether its process `has_ended`.
    pub fn on_unreachable(&self, address: SocketAddr, has_ended: bool) {
        let now = self.clock.now();
        let mut desk = self.desk.borrow_mut();
        desk.on_unreachable(address, has_ended, now);
    }

    fn has_quotas(&self) -> bool {
        let table = self.table.borrow();
        table.as_ref().is_some_and(|table| table.has_quotas())
    }

    fn report(&self) {
        let slots = self.home.borrow().trusted_slots(self.clock.now());
        let slots = u32::try_from(slots).unwrap_or(u32::MAX);
        metrics::gauge!("marigold_quota_slots").set(f64::from(slots));
    }

    /// Sends the asks that are due.
    fn poll(&self) {
        for _ in 0..MAX_ROUNDS {
            let now = self.clock.now();
            let actions = self.desk.borrow_mut().poll(now);
            for home in actions.silent {
                let home = home.to_string().into();
                self.events
                    .emit("quota_home_silent", Severity::Warn, &[("home", home)]);
            }
            self.settle(actions.verdicts);
            let mut is_answered = false;
            for (home, ask) in actions.asks {
                if home == self.own {
                    is_answered |= self.answer_own(&ask);
                } else if !(self.send)(home, ask) {
                    let mut desk = self.desk.borrow_mut();
                    desk.on_unreachable(home, false, now);
                }
            }
            if !is_answered {
                return;
            }
        }
    }

    fn answer_own(&self, ask: &QuotaAsk) -> bool {
        let Some(grant) = self.answer(ask) else {
            return false;
        };
        let now = self.clock.now();
        let verdicts = self.desk.borrow_mut().on_grant(self.own, &grant, now);
        self.settle(verdicts);
        true
    }

    fn settle(&self, verdicts: Vec<(QuotaTicket, QuotaVerdict)>) {
        let mut waiting = self.waiting.borrow_mut();
        for (ticket, verdict) in verdicts {
            // The caller may be gone; then the grant is not used.
            if let Some(sender) = waiting.remove(&ticket) {
                sender.send(verdict).ok();
            }
        }
    }
}

impl QuotaHandler for Quotas {
    fn answer(&self, ask: &QuotaAsk) -> Option<QuotaGrant> {
        let now = self.clock.now();
        // Without a configuration it would refuse requests that are within their quota.
        let table = self.table.borrow().clone()?;
        let mut home = self.home.borrow_mut();
        home.answer(ask, &table, now)
    }
}
