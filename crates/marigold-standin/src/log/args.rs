//! Arguments of `marigold-standin log`.

use std::net::SocketAddr;

use clap::Args;
use marigold_types::{ByteSize, Interval, Rate};

use super::{LogLimits, LogServer};
use crate::{StandinError, range};

/// Runs a stand-in of the platform's log until it is ended.
#[derive(Debug, Clone, Args)]
pub struct LogArgs {
    /// Where to listen.
    #[arg(long, default_value = "127.0.0.1:9000")]
    listen: SocketAddr,
    /// The most appends a second.
    #[arg(long, default_value = "300/s", value_parser = range::rate)]
    rate: Rate,
    /// The largest record.
    #[arg(long, default_value = "1MB", value_parser = range::size)]
    record: ByteSize,
    /// How long a record is kept.
    #[arg(long, default_value = "7d", value_parser = range::interval)]
    retention: Interval,
}

impl LogArgs {
    /// Serves requests until the process ends.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn run(&self) -> Result<(), StandinError> {
        let limits = LogLimits {
            rate: self.rate,
            max_record: self.record,
            retention: self.retention,
            ..LogLimits::default()
        };
        let server = LogServer::start(self.listen, limits)?;
        println!(
            "platform log stand-in at {}, up to {} appends",
            server.url(),
            self.rate
        );
        server.join();
        Ok(())
    }
}
