//! A deployment and what happens to it.

use std::time::Duration;

use super::class::Class;

/// A backend server with its daemon.
#[derive(Debug, Clone)]
pub struct Server {
    /// Its service.
    pub service: &'static str,
    /// Its data centre.
    pub place: usize,
    /// Requests that it runs at once.
    pub slots: u32,
    /// How long its runs take, as a multiple of the usual.
    pub slowness: f64,
}

/// Something that happens at a set time.
#[derive(Debug, Clone)]
pub enum Change {
    /// Callers of a data centre bring so many times as much as usual.
    Load(usize, f64),
    /// A server takes so many times as long as usual.
    Slow(usize, f64),
    /// A server turns this share of its requests away.
    Shed(usize, f64),
    /// A server fails this share of its requests.
    Fail(usize, f64),
    /// A server leaves for good.
    Leave(usize),
}

/// How callers act.
#[derive(Debug, Clone, Copy)]
pub struct Callers {
    /// How often one that was refused comes back.
    pub returns: u32,
    /// The share of them that come back at once, whatever they are told.
    pub pressing: f64,
}

/// A day.
#[derive(Debug, Clone)]
pub struct Day {
    /// Kinds of requests.
    pub classes: Vec<Class>,
    /// Backend servers; callers are beside each.
    pub servers: Vec<Server>,
    /// Data centres.
    pub places: usize,
    /// How callers act.
    pub callers: Callers,
    /// What happens, by time.
    pub changes: Vec<(Duration, Change)>,
    /// When callers stop.
    pub length: Duration,
    /// The cost of a kibibyte between data centres, as a part of the value of the most urgent answer.
    pub byte_cost: f64,
}
