//! Drivers that run the scenario files in `tests/scenarios/` against the production decision code.

pub mod control;
pub mod request;
