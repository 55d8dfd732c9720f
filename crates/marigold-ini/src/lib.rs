//! INI documents that remember where each setting stands.
//!
//! Settings and intents are both checked as a whole: a reader collects every [`Fault`] before it
//! gives up, so that an operator mends a file once.

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
