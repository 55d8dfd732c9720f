//! Scenarios of the request side.
