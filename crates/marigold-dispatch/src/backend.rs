//! What is known of the backend server beside a daemon. See docs/design/draining.md and docs/design/crashing-requests.md.

mod announcement;
mod backend_state;
mod departure;
mod server_version;
mod silence_detector;
mod trial;

pub use announcement::{Announcement, ServingState};
pub use backend_state::{AnnouncementOutcome, BackendInstance, BackendState, NamedLimit};
pub use departure::Departure;
pub use server_version::ServerVersion;
pub use silence_detector::{SilenceDetector, WatchedRun};
pub use trial::select_trial_executor;
