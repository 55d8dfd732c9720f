//! The callers' side: HTTP requests in, whole answers out.
//!
//! See docs/design/http.md and docs/OUTCOME-HEADERS.md.

pub mod call_options;
pub mod fields;
pub mod response;

mod answer_stream;
mod attempt_record;
mod call_record;
mod decisions;
mod guarded_io;
mod http_server;
mod ingress;
mod key_desk;
mod keyed;
mod limit_exchange;
mod meters;
mod peer_body;
mod remote_call;
mod replay_body;

pub use decisions::Decisions;
pub use guarded_io::GuardedIo;
pub use http_server::serve;
pub use ingress::Ingress;
pub use key_desk::{KEYS_PATH, KeyDesk};
pub use limit_exchange::share_limits;
pub use meters::CallMeters;
