//! The steps of a scenario.

/// One step; daemons are named `d1`, `d2` and so on.
#[derive(Debug, goldenscript::Command)]
pub enum ControlCommand {
    /// Starts new daemons: `start d1 d2 dc=depot region=dyfed service=desk`.
    Start {
        /// The daemons.
        names: Vec<String>,
        /// Their data centre.
        #[arg(key)]
        dc: String,
        /// The region of the data centre.
        #[arg(key)]
        region: String,
        /// The service of their backend servers, which announce themselves at once.
        #[arg(key, optional)]
        service: Option<String>,
    },
    /// Has backend servers announce themselves: `announce d1 service=desk healthy=false`.
    Announce {
        /// The daemons beside them.
        names: Vec<String>,
        /// The service.
        #[arg(key)]
        service: String,
        /// Whether they answer their health probes.
        #[arg(key)]
        healthy: bool,
    },
    /// Begins a graceful shutdown.
    Drain {
        /// The daemons.
        names: Vec<String>,
    },
    /// Stops processes at once.
    Crash {
        /// The daemons.
        names: Vec<String>,
    },
    /// Starts processes again, with nothing kept.
    Restart {
        /// The daemons.
        names: Vec<String>,
    },
    /// Stops the clock of processes.
    Pause {
        /// The daemons.
        names: Vec<String>,
    },
    /// Lets paused processes go on.
    Resume {
        /// The daemons.
        names: Vec<String>,
    },
    /// Cuts data centres off from all others, as one group.
    Cut {
        /// The data centres.
        centres: Vec<String>,
    },
    /// Cuts daemons off from all others, as one group behind a broken switch.
    Split {
        /// The daemons.
        names: Vec<String>,
    },
    /// Ends every cut.
    Heal,
    /// Changes the log: `down`, `up`, `loses-answers` or `keeps-answers`.
    Log {
        /// The change.
        change: String,
    },
    /// Drops all records of the configuration stream but the last `keep`.
    Trim {
        /// How many stay.
        #[arg(key)]
        keep: u64,
    },
    /// Loses some of a million messages.
    Loss {
        /// How many.
        million: u32,
    },
    /// Keeps a kind of message from a daemon: `deaf d1 delta whole`.
    Deaf {
        /// The daemon.
        name: String,
        /// The kinds; none to end it.
        #[arg(optional)]
        kinds: Vec<String>,
    },
    /// Makes an operator's key: `operator ann`.
    Operator {
        /// The operator.
        name: String,
    },
    /// Plans changes: `plan p1 "service desk" "route desk /desk desk" by=ann`.
    Plan {
        /// The plan's name in the scenario.
        name: String,
        /// The changes.
        changes: Vec<String>,
        /// The author.
        #[arg(key, optional)]
        by: Option<String>,
    },
    /// Confirms a plan and reads the verdict back.
    Confirm {
        /// The plan.
        name: String,
        /// Who confirms it.
        #[arg(key, optional)]
        by: Option<String>,
    },
    /// Asks what became of a plan.
    Verdict {
        /// The plan.
        name: String,
    },
    /// Sends a daemon a configuration that another one held before: `replay d1 from=d2 back=1`.
    Replay {
        /// The daemon that gets it.
        to: String,
        /// The daemon whose earlier configuration it is.
        #[arg(key)]
        from: String,
        /// How many versions back.
        #[arg(key)]
        back: usize,
    },
    /// Sends a daemon a step to a next version that lacks a service or has a wrong digest:
    /// `garble d1 from=d2 fault=service`.
    Garble {
        /// The daemon that gets it.
        to: String,
        /// The daemon that it seems to come from.
        #[arg(key)]
        from: String,
        /// What is wrong: `service` or `digest`.
        #[arg(key)]
        fault: String,
    },
    /// Lets time pass, and checks at each tick what must always hold.
    Advance {
        /// How long, as `5s`.
        time: String,
    },
    /// Lets time pass until every running daemon holds one version and serves, and tells whether
    /// that was within a bound: `converge within=11s`.
    Converge {
        /// The bound.
        #[arg(key)]
        within: String,
    },
    /// Shows what the daemons hold and route to; those that agree stand on one line.
    Show {
        /// The daemons; all when absent.
        #[arg(optional)]
        names: Vec<String>,
    },
    /// Shows who holds which version, as one daemon tells operators.
    Status {
        /// The daemon that is asked.
        name: String,
    },
}
