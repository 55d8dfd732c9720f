//! Load scenarios: a discrete-event simulation of many ingresses and executors that uses the real routing
//! decisions. See docs/TESTING.md.

mod admission_scenarios;
mod class_stats;
mod daemon;
mod event_queue;
mod executor;
mod fluid_bound;
mod ingress;
mod placement_scenarios;
mod request;
mod request_class;
mod restart_scenarios;
mod scenario;
mod scenarios;
mod shifted_scenarios;
mod simulation;
mod workspace_scenarios;
