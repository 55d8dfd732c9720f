//! Runs the scenario files of `tests/scenarios/` over the real decision code.
