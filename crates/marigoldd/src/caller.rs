//! The ingress: serves HTTP requests of callers and forwards them to backend servers.
//!
//! See docs/design/http.md and docs/OUTCOME-HEADERS.md.

pub mod call_options;
pub mod fields;
pub mod response;

mod answer_stream;
mod attempt_record;
mod call_metrics;
mod call_record;
mod http_server;
mod ingress;
mod ingress_state;
mod key_handler;
mod keyed;
mod limit_exchange;
mod peer_body;
mod remote_call;
mod replay_body;
mod write_timeout_io;

pub use call_metrics::CallMetrics;
pub use http_server::serve;
pub use ingress::Ingress;
pub use ingress_state::IngressState;
pub use key_handler::{KEYS_PATH, KeyHandler};
pub use limit_exchange::share_limits;
pub use write_timeout_io::WriteTimeoutIo;
