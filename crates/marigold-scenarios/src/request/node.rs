//! One daemon: the real decisions of an ingress, an executor and a witness.

use std::collections::BTreeMap;

use marigold_request::admission::{AdmissionController, Permit, Ticket};
use marigold_request::at_most_once::{
    EntryKey, ExecutorLimits, ExecutorTable, KeyMint, WitnessTable,
};
use marigold_request::balance::TwoChoices;
use marigold_request::burn::BurnCounters;
use marigold_request::drain::{Drain, Phase};
use marigold_request::limits::Limiter;
use marigold_request::quarantine::{Fingerprint, Quarantine, RunToken};
use marigold_request::retry::RetryPolicy;
use marigold_request::router::Router;
use marigold_types::{Address, ByteSize, DataCentre, Incarnation, InstanceId, Interval, SlotCount};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::message::{AttemptId, NodeId, Request};
use super::server::Server;

const KEY_TTL: Interval = Interval::from_millis(120_000);
const QUARANTINE: Interval = Interval::from_millis(300_000);
const DRAIN: Interval = Interval::from_millis(30_000);
const RETRY_PERCENT: u32 = 10;
const ATTEMPTS: u8 = 3;
const QUEUE: u32 = 2;
const KEYS: usize = 1_000;
/// The port that every daemon listens on.
const PORT: u16 = 7000;

/// Whether a daemon's process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Process {
    /// It runs.
    Up,
    /// It stands still and will go on.
    Paused,
    /// It is gone.
    Down,
}

/// One attempt at the executor.
#[derive(Debug)]
pub struct Job {
    /// The ingress that waits for it.
    pub from: NodeId,
    /// The connection it came over.
    pub link: u64,
    /// The request.
    pub request: Request,
    /// When nobody waits for it any more.
    pub deadline: Instant,
    /// What it is known by when it comes again.
    pub print: Fingerprint,
    /// Its entry in the table of keys.
    pub entry: Option<EntryKey>,
    /// Its place in a line.
    pub ticket: Option<Ticket>,
    /// Its slot.
    pub permit: Option<Permit>,
    /// Its run, once it was handed to the backend server.
    pub run: Option<RunToken>,
}

/// A daemon with its backend server.
pub struct Node {
    /// This life.
    pub instance: InstanceId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// The slots of its backend server.
    pub slots: SlotCount,
    /// Whether it runs.
    pub process: Process,
    /// Chooses backend servers.
    pub router: Router,
    /// Passes calls by the limits.
    pub limiter: Limiter,
    /// Decides on retries.
    pub retry: RetryPolicy,
    /// Makes keys.
    pub mint: KeyMint,
    /// Draws.
    pub rng: ChaCha8Rng,
    /// Counts burn.
    pub burn: BurnCounters,
    /// Gives out the slots.
    pub gate: AdmissionController,
    /// Remembers keys as their executor.
    pub table: ExecutorTable,
    /// Remembers keys as their witness.
    pub witness: WitnessTable,
    /// Remembers what crashes backend servers.
    pub quarantine: Quarantine,
    /// Leads the shutdown.
    pub drain: Drain,
    /// The phase of the shutdown that was printed last.
    pub shown: Phase,
    /// The attempts at this executor.
    pub jobs: BTreeMap<AttemptId, Job>,
    /// The backend server.
    pub server: Server,
}

impl Node {
    /// Starts a daemon.
    pub fn new(id: NodeId, life: u64, centre: &DataCentre, slots: SlotCount, now: Instant) -> Self {
        let host = u8::try_from(id + 1).unwrap_or(u8::MAX);
        let instance = InstanceId {
            address: Address(([10, 0, 0, host], PORT).into()),
            incarnation: Incarnation(life),
        };
        let seed = 1_000 * life + u64::from(host);
        let region = "dyfed".parse().expect("a region's name");
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let router = Router::new(centre.clone(), region, Box::new(TwoChoices), rng.clone());
        let limits = ExecutorLimits {
            max_keys: KEYS,
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
            retry: RetryPolicy::new(RETRY_PERCENT, ATTEMPTS),
            mint: KeyMint::new(KEY_TTL),
            rng,
            burn: BurnCounters::new(centre.clone(), now),
            gate: AdmissionController::new(slots, QUEUE),
            table: ExecutorTable::new(instance, limits),
            witness: WitnessTable::new(instance, KEY_TTL, KEYS, now),
            quarantine: Quarantine::new(instance, QUARANTINE),
            drain: Drain::new(DRAIN),
            shown: Phase::Serving,
            jobs: BTreeMap::new(),
            server: Server::default(),
        }
    }
}
