//! The commands of control-plane scenarios.

/// One command; daemons are named `d1`, `d2` and so on.
#[derive(Debug, goldenscript::Command)]
pub enum ControlCommand {
    /// Starts new daemons: `start d1 d2 dc=depot region=dyfed service=desk`.
    Start {
        /// The daemons.
        names: Vec<String>,
        /// The data centre of the daemons.
        #[arg(key)]
        dc: String,
        /// The region of the data centre.
        #[arg(key)]
        region: String,
        /// The service of their backend servers, which are announced at once.
        #[arg(key, optional)]
        service: Option<String>,
    },
    /// Announces backend servers to their daemons: `announce d1 service=desk healthy=false`.
    Announce {
        /// The daemons whose backend servers are announced.
        names: Vec<String>,
        /// The service.
        #[arg(key)]
        service: String,
        /// Whether their health probes succeed.
        #[arg(key)]
        healthy: bool,
    },
    /// Starts a graceful shutdown of daemons.
    Drain {
        /// The daemons.
        names: Vec<String>,
    },
    /// Kills daemons without a shutdown.
    Crash {
        /// The daemons.
        names: Vec<String>,
    },
    /// Restarts daemons, without any state from before.
    Restart {
        /// The daemons.
        names: Vec<String>,
    },
    /// Pauses daemons.
    Pause {
        /// The daemons.
        names: Vec<String>,
    },
    /// Resumes paused daemons.
    Resume {
        /// The daemons.
        names: Vec<String>,
    },
    /// Partitions a group of data centres from all others.
    Cut {
        /// The data centres.
        centres: Vec<String>,
    },
    /// Partitions a group of daemons from all others, as a failed switch does.
    Split {
        /// The daemons.
        names: Vec<String>,
    },
    /// Removes all partitions.
    Heal,
    /// Sets the state of the log: `down`, `up`, `loses-answers` or `keeps-answers`.
    Log {
        /// The new state.
        change: String,
    },
    /// Trims the configuration stream to its last `keep` records.
    Trim {
        /// The number of records to keep.
        #[arg(key)]
        keep: u64,
    },
    /// Sets the rate at which messages are lost at random.
    Loss {
        /// Lost messages per million.
        million: u32,
    },
    /// Drops all messages of some kinds that are sent to a daemon: `deaf d1 delta whole`.
    Deaf {
        /// The daemon.
        name: String,
        /// The kinds of messages; none to deliver all again.
        #[arg(optional)]
        kinds: Vec<String>,
    },
    /// Creates an operator with a new key: `operator ann`.
    Operator {
        /// The operator.
        name: String,
    },
    /// Appends a signed plan to the log: `plan p1 "service desk" "route desk /desk desk" by=ann`.
    Plan {
        /// The plan's name in the scenario.
        name: String,
        /// The changes.
        changes: Vec<String>,
        /// The operator who signs it; `root` if absent.
        #[arg(key, optional)]
        by: Option<String>,
    },
    /// Confirms a plan and shows the verdict; a repeat appends the same record again.
    Confirm {
        /// The plan.
        name: String,
        /// The operator who confirms it; `root` if absent.
        #[arg(key, optional)]
        by: Option<String>,
    },
    /// Shows the verdict on a plan.
    Verdict {
        /// The plan.
        name: String,
    },
    /// Sends a daemon a configuration that another daemon held earlier: `replay d1 from=d2 back=1`.
    Replay {
        /// The daemon that receives it.
        to: String,
        /// The daemon that held the configuration and sends it.
        #[arg(key)]
        from: String,
        /// The number of versions to go back.
        #[arg(key)]
        back: usize,
    },
    /// Sends a daemon a delta with a missing service or a wrong digest:
    /// `garble d1 from=d2 fault=service`.
    Garble {
        /// The daemon that receives it.
        to: String,
        /// The daemon given as the sender.
        #[arg(key)]
        from: String,
        /// The fault: `service` or `digest`.
        #[arg(key)]
        fault: String,
    },
    /// Advances the simulated time and checks the invariants at regular intervals.
    Advance {
        /// The duration, for example `5s`.
        time: String,
    },
    /// Advances the simulated time until every running daemon serves and holds the newest version
    /// in the log; fails if that takes longer than the bound: `converge within=11s`.
    Converge {
        /// The maximum time.
        #[arg(key)]
        within: String,
    },
    /// Shows the version, routes and endpoints of daemons; daemons with equal state share a line.
    Show {
        /// The daemons; all if absent.
        #[arg(optional)]
        names: Vec<String>,
    },
    /// Shows the status of the mesh as one daemon reports it.
    Status {
        /// The daemon that reports it.
        name: String,
    },
}
