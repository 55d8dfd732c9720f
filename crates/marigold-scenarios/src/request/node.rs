//! A simulated daemon with the production logic of ingress, executor and witness.

use std::collections::BTreeMap;

use marigold_request::admission::{AdmissionController, Permit, Ticket};
use marigold_request::at_most_once::{
    EntryKey, ExecutorLimits, ExecutorTable, KeyMint, WitnessTable,
};
use marigold_request::balance::TwoChoices;
use marigold_request::burn::BurnCounters;
use marigold_request::drain::{Drain, Phase};
use marigold_request::limits::Limiter;
use marigold_request::quarantine::{Fingerprint, Quarantine, QuarantinePolicy, RunToken};
use marigold_request::retry::RetryPolicy;
use marigold_request::router::Router;
use marigold_types::{Address, ByteSize, DataCentre, Incarnation, InstanceId, Interval, SlotCount};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::message::{AttemptId, NodeId, Request};
use super::server::Server;

const KEY_TTL: Interval = Interval::from_millis(120_000);
const QUARANTINE_DURATION: Interval = Interval::from_millis(300_000);
const DRAIN_TIMEOUT: Interval = Interval::from_millis(30_000);
const RETRY_BUDGET_PERCENT: u32 = 10;
const MAX_ATTEMPTS: u8 = 3;
const MAX_QUEUE_PER_SLOT: u32 = 2;
const MAX_KEYS: usize = 1_000;
/// The port of every daemon.
const PORT: u16 = 7000;

/// The state of a daemon's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Process {
    /// Running.
    Up,
    /// Paused; events for it are delayed until it is resumed.
    Paused,
    /// Stopped.
    Down,
}

/// An attempt at its executor.
#[derive(Debug)]
pub struct Job {
    /// The ingress that sent it.
    pub from: NodeId,
    /// The connection it arrived on.
    pub link: u64,
    /// The request.
    pub request: Request,
    /// The deadline of the request.
    pub deadline: Instant,
    /// Identifies the request in the quarantine.
    pub fingerprint: Fingerprint,
    /// Its entry in the executor table, unless it has no key or waits for another run.
    pub entry: Option<EntryKey>,
    /// Its place in the admission queue, while it waits.
    pub ticket: Option<Ticket>,
    /// Its slot, once admitted.
    pub permit: Option<Permit>,
    /// Whether it runs exclusively.
    pub exclusive: bool,
    /// Its run, once forwarded to the backend server.
    pub run: Option<RunToken>,
}

/// A daemon and its backend server.
pub struct Node {
    /// The running instance.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The slots of its backend server.
    pub slots: SlotCount,
    /// The state of its process.
    pub process: Process,
    /// Chooses backend servers.
    pub router: Router,
    /// Enforces the rate limits.
    pub limiter: Limiter,
    /// Decides whether to retry a failed attempt.
    pub retry: RetryPolicy,
    /// Creates request keys.
    pub mint: KeyMint,
    /// Random numbers for request keys.
    pub rng: ChaCha8Rng,
    /// Counts errors against the service level objectives.
    pub burn: BurnCounters,
    /// Admits requests to the slots of the backend server.
    pub admission: AdmissionController,
    /// The keys whose executor this daemon is.
    pub executor_table: ExecutorTable,
    /// The keys whose witness this daemon is.
    pub witness_table: WitnessTable,
    /// Requests that are suspected or known to crash backend servers.
    pub quarantine: Quarantine,
    /// The graceful shutdown.
    pub drain: Drain,
    /// The shutdown phase that was printed last.
    pub reported_phase: Phase,
    /// The attempts that this executor holds.
    pub jobs: BTreeMap<AttemptId, Job>,
    /// The backend server.
    pub server: Server,
}

impl Node {
    /// Creates a running daemon with the given incarnation number.
    pub fn new(
        id: NodeId,
        incarnation: u64,
        centre: &DataCentre,
        slots: SlotCount,
        now: Instant,
    ) -> Self {
        let host = u8::try_from(id + 1).unwrap_or(u8::MAX);
        let instance = InstanceId {
            address: Address(([10, 0, 0, host], PORT).into()),
            incarnation: Incarnation(incarnation),
        };
        let seed = 1_000 * incarnation + u64::from(host);
        let region = "dyfed".parse().expect("a valid region name");
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let router = Router::new(centre.clone(), region, Box::new(TwoChoices), rng.clone());
        let limits = ExecutorLimits {
            max_keys: MAX_KEYS,
            max_total_bytes: ByteSize(1 << 20),
            max_answer_bytes: ByteSize(1 << 10),
        };
        Self {
            instance,
            data_centre: centre.clone(),
            slots,
            process: Process::Up,
            router,
            limiter: Limiter::new(instance.address, now),
            retry: RetryPolicy::new(RETRY_BUDGET_PERCENT, MAX_ATTEMPTS),
            mint: KeyMint::new(KEY_TTL),
            rng,
            burn: BurnCounters::new(centre.clone(), now),
            admission: AdmissionController::new(slots, MAX_QUEUE_PER_SLOT),
            executor_table: ExecutorTable::new(instance, limits),
            witness_table: WitnessTable::new(instance, KEY_TTL, MAX_KEYS, now),
            quarantine: Quarantine::new(instance, QuarantinePolicy::fixed(QUARANTINE_DURATION)),
            drain: Drain::new(DRAIN_TIMEOUT),
            reported_phase: Phase::Serving,
            jobs: BTreeMap::new(),
            server: Server::default(),
        }
    }
}
