//! Days of high load, played on a clock of their own with the real decisions of many ingresses and
//! executors. See docs/TESTING.md.

mod class;
mod client;
mod executor;
mod fluid;
mod ingress;
mod options;
mod play;
mod replays;
mod tally;
mod world;
