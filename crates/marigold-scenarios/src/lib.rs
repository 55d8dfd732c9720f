//! Runs the scenario files of `tests/scenarios/` over the real decision code.

pub mod control;
pub mod request;
