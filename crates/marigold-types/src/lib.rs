//! Identifiers, sizes and rates shared by the marigoldproxy crates.
//!
//! docs/GLOSSARY.md defines the terms.

mod address;
mod byte_size;
mod class;
mod digest;
mod incarnation;
mod instance_id;
mod interval;
mod log_offset;
mod names;
mod outcome;
mod parse_error;
mod rate;
mod record_time;
mod request_id;
mod slot_count;
mod version;

pub use address::Address;
pub use byte_size::ByteSize;
pub use class::Class;
pub use digest::Digest;
pub use incarnation::Incarnation;
pub use instance_id::InstanceId;
pub use interval::Interval;
pub use log_offset::LogOffset;
pub use names::{
    CallerName, DataCentre, OperatorName, Region, RouteName, ServiceName, WorkspaceName,
};
pub use outcome::Outcome;
pub use parse_error::ParseError;
pub use rate::Rate;
pub use record_time::RecordTime;
pub use request_id::RequestId;
pub use slot_count::SlotCount;
pub use version::Version;
