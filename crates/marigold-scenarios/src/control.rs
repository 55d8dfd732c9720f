//! Scenarios of the control side.
