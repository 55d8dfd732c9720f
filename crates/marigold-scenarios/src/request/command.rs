//! The steps of a scenario.

use marigold_types::{Class, Interval};

/// One step; daemons are named `d1`, `d2` and so on, requests and keys as the scenario likes.
#[derive(Debug, goldenscript::Command)]
pub enum RequestCommand {
    /// Starts daemons with a backend server of `desk` beside each: `start d1 d2 dc=depot slots=2`.
    Start {
        /// The daemons.
        names: Vec<String>,
        /// Their data centre.
        #[arg(key)]
        dc: String,
        /// The slots of each backend server.
        #[arg(key, optional)]
        slots: Option<u32>,
    },
    /// Declares a route to `desk`: `route orders class=interactive idempotent=false deadline=1s`.
    Route {
        /// Its name.
        name: String,
        /// The class of its requests.
        #[arg(key)]
        class: Class,
        /// Whether they may run more than once.
        #[arg(key)]
        idempotent: bool,
        /// How long each may take.
        #[arg(key)]
        deadline: Interval,
    },
    /// Declares a limit on `desk`, in calls a second: `limit desk 10`.
    Limit {
        /// Its name.
        name: String,
        /// The calls a second.
        rate: u64,
    },
    /// Changes backend servers: `server d1 time=50ms mode=fails`; modes are `works`, `fails`, `cut`.
    Server {
        /// The daemons beside them.
        names: Vec<String>,
        /// How long each request takes.
        #[arg(key)]
        time: Option<Interval>,
        /// What they do.
        #[arg(key)]
        mode: Option<String>,
    },
    /// Makes a key at a daemon: `key k1 at=d3 executor=d1 witness=d2`.
    Key {
        /// The key's name.
        name: String,
        /// The daemon that makes it.
        #[arg(key)]
        at: String,
        /// The daemon that alone may run the request.
        #[arg(key)]
        executor: String,
        /// The daemon that witnesses it.
        #[arg(key)]
        witness: String,
    },
    /// Makes a key's text useless: `forge k1`.
    Forge {
        /// The key's name.
        name: String,
    },
    /// Sends requests: `call r1 r2 route=orders at=d3 key=k1 body=poison`; a body of `poison` crashes
    /// the backend server that runs it.
    Call {
        /// The requests' names.
        names: Vec<String>,
        /// The route.
        #[arg(key)]
        route: String,
        /// The daemon that takes them.
        #[arg(key)]
        at: String,
        /// The key.
        #[arg(key)]
        key: Option<String>,
        /// The body.
        #[arg(key)]
        body: Option<String>,
    },
    /// Sends many requests at a fixed rate: `load route=orders at=d3 rate=100 time=10s`.
    Load {
        /// The route.
        #[arg(key)]
        route: String,
        /// The daemon that takes them.
        #[arg(key)]
        at: String,
        /// Requests a second.
        #[arg(key)]
        rate: u64,
        /// How long.
        #[arg(key)]
        time: Interval,
    },
    /// Lets the callers of requests leave.
    Leave {
        /// The requests' names.
        names: Vec<String>,
    },
    /// Stops daemons with their backend servers at once.
    Crash {
        /// The daemons.
        names: Vec<String>,
    },
    /// Starts them again, with nothing kept.
    Restart {
        /// The daemons.
        names: Vec<String>,
    },
    /// Stops daemons for a while, whose backend servers go on.
    Pause {
        /// The daemons.
        names: Vec<String>,
    },
    /// Lets paused daemons go on.
    Resume {
        /// The daemons.
        names: Vec<String>,
    },
    /// Sends daemons the signal to end.
    Term {
        /// The daemons.
        names: Vec<String>,
    },
    /// Cuts daemons off from all others, as one group.
    Cut {
        /// The daemons.
        names: Vec<String>,
    },
    /// Ends every cut.
    Heal,
    /// Makes the connection that is open between two daemons silent for good.
    Mute {
        /// One daemon.
        one: String,
        /// The other.
        other: String,
    },
    /// Brings the next message of a kind from one daemon to another twice: `repeat call d3 d1`.
    Repeat {
        /// `call` or `start`.
        kind: String,
        /// The sender.
        from: String,
        /// The receiver.
        to: String,
    },
    /// Has every daemon see others as `ready`, `suspect` or `gone`.
    See {
        /// The daemons that are seen.
        names: Vec<String>,
        /// How.
        #[arg(key)]
        state: String,
    },
    /// Lets time pass and prints what callers are told meanwhile.
    Advance {
        /// How long.
        time: Interval,
    },
    /// Prints how often each request ran, and where.
    Runs,
    /// Prints how many backend servers crashed.
    Crashes,
    /// Prints the report on service-level burn.
    Burn,
}
