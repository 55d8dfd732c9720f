//! Accounting of the bytes that a daemon holds for others, and their limit.
//!
//! There is one budget for a process, since the parts of it (bodies that arrive, requests at work, calls, replies, responses
//! that wait for a reader) could each stay within a limit and together exceed the memory of the instance. What is held is
//! counted before it is read. See docs/design/http.md.

mod budget;
mod charge;
mod holders;

pub use budget::{MemoryBudget, OutOfMemory, ShrinkableCache};
pub use charge::Charge;
pub use holders::{EvictionCause, HolderKey, Holders, Share};
