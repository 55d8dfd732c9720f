//! The commands of request scenarios.

use marigold_types::{Class, Interval};

/// One command; daemons are named `d1`, `d2` and so on, requests and keys have any name.
#[derive(Debug, goldenscript::Command)]
pub enum RequestCommand {
    /// Starts daemons, each with one backend server of `desk`: `start d1 d2 dc=depot slots=2`.
    Start {
        /// The daemons.
        names: Vec<String>,
        /// The data centre of the daemons.
        #[arg(key)]
        dc: String,
        /// The slots of each backend server; 2 if absent.
        #[arg(key, optional)]
        slots: Option<u32>,
    },
    /// Declares a route to `desk`: `route orders class=interactive idempotent=false deadline=1s`.
    Route {
        /// The route's name.
        name: String,
        /// The class of its requests.
        #[arg(key)]
        class: Class,
        /// Whether its requests may run more than once.
        #[arg(key)]
        idempotent: bool,
        /// The deadline of each request, from its arrival.
        #[arg(key)]
        deadline: Interval,
    },
    /// Declares a rate limit on `desk`: `limit desk 10`.
    Limit {
        /// The limit's name.
        name: String,
        /// Calls per second.
        rate: u64,
    },
    /// Configures backend servers: `server d1 time=50ms mode=fails`; the modes are `works`, `fails`
    /// and `cut`, which truncates answers.
    Server {
        /// The daemons of the backend servers.
        names: Vec<String>,
        /// The processing time of each request; unchanged if absent.
        #[arg(key)]
        time: Option<Interval>,
        /// The mode; unchanged if absent.
        #[arg(key)]
        mode: Option<String>,
    },
    /// Creates a request key at a daemon: `key k1 at=d3 executor=d1 witness=d2`.
    Key {
        /// The key's name.
        name: String,
        /// The daemon that creates it.
        #[arg(key)]
        at: String,
        /// The only daemon that may run requests with the key.
        #[arg(key)]
        executor: String,
        /// The daemon that is the key's witness.
        #[arg(key)]
        witness: String,
    },
    /// Invalidates a key by changing its text: `forge k1`.
    Forge {
        /// The key's name.
        name: String,
    },
    /// Sends requests: `call r1 r2 route=orders at=d3 key=k1 body=poison`; a body of `poison`
    /// crashes the backend server that runs it.
    Call {
        /// The requests' names.
        names: Vec<String>,
        /// The route.
        #[arg(key)]
        route: String,
        /// The daemon that receives them.
        #[arg(key)]
        at: String,
        /// The key, if any.
        #[arg(key)]
        key: Option<String>,
        /// The body; the name of the key or else of the request if absent.
        #[arg(key)]
        body: Option<String>,
    },
    /// Sends requests at a fixed rate and shows the number of calls by outcome:
    /// `load route=orders at=d3 rate=100 time=10s`.
    Load {
        /// The route.
        #[arg(key)]
        route: String,
        /// The daemon that receives them.
        #[arg(key)]
        at: String,
        /// Requests per second.
        #[arg(key)]
        rate: u64,
        /// The duration.
        #[arg(key)]
        time: Interval,
    },
    /// Disconnects the callers of requests.
    Leave {
        /// The requests' names.
        names: Vec<String>,
    },
    /// Kills daemons and their backend servers.
    Crash {
        /// The daemons.
        names: Vec<String>,
    },
    /// Restarts daemons and their backend servers, without any state from before.
    Restart {
        /// The daemons.
        names: Vec<String>,
    },
    /// Pauses daemons; their backend servers keep running.
    Pause {
        /// The daemons.
        names: Vec<String>,
    },
    /// Resumes paused daemons.
    Resume {
        /// The daemons.
        names: Vec<String>,
    },
    /// Sends daemons a termination signal.
    Term {
        /// The daemons.
        names: Vec<String>,
    },
    /// Partitions a group of daemons from all others.
    Cut {
        /// The daemons.
        names: Vec<String>,
    },
    /// Removes all partitions.
    Heal,
    /// Makes the open connections between two daemons drop all messages, permanently.
    Mute {
        /// One daemon.
        one: String,
        /// The other.
        other: String,
    },
    /// Delivers the next message of a kind from one daemon to another twice: `repeat call d3 d1`.
    Repeat {
        /// The kind: `call` or `start`.
        kind: String,
        /// The sender.
        from: String,
        /// The receiver.
        to: String,
    },
    /// Sets the state of backend servers in the view of all daemons: `ready`, `suspect` or `gone`.
    See {
        /// The daemons of the backend servers.
        names: Vec<String>,
        /// The state.
        #[arg(key)]
        state: String,
    },
    /// Advances the simulated time and shows the events and the results of calls meanwhile.
    Advance {
        /// The duration.
        time: Interval,
    },
    /// Shows the daemons at which each request or key ran.
    Runs,
    /// Shows the number of backend server crashes.
    Crashes,
    /// Shows the error budget of each service.
    Burn,
}
