//! An INI parser that keeps the line number of each setting.
//!
//! Settings and intents are both validated as a whole: all [`Faults`] of a file are collected and
//! reported together, so that an operator can fix them in one pass.

mod document;
mod entry;
mod fault;
mod faults;
mod section;

pub use document::Document;
pub use entry::Entry;
pub use fault::Fault;
pub use faults::Faults;
pub use section::Section;
