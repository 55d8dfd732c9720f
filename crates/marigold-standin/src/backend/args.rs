//! Arguments of `marigold-standin backend`.

use std::net::SocketAddr;

use clap::Args;
use marigold_types::{Interval, ServiceName, SlotCount};

use super::{BackendExit, BackendPlan, BackendStandin, ServiceTime};
use crate::{StandinError, range};

/// Runs a stand-in of a backend server until it is ended or crashed by a request.
#[derive(Debug, Clone, Args)]
pub struct BackendArgs {
    /// The service that it runs.
    #[arg(long)]
    service: ServiceName,
    /// Where to take requests.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// The operators' side of the daemon beside it, which it announces itself to.
    #[arg(long, value_name = "ADDRESS")]
    daemon: Option<SocketAddr>,
    /// Requests that run at once.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u32).range(1..=10_000))]
    slots: u32,
    /// Connections that are accepted.
    #[arg(long, default_value_t = 120, value_parser = clap::value_parser!(u32).range(1..=100_000))]
    connections: u32,
    /// What a new connection costs.
    #[arg(long, default_value = "1ms", value_parser = range::interval)]
    connect_delay: Interval,
    /// How long a request runs: fixed:5ms or exponential:5ms.
    #[arg(long, default_value = "exponential:5ms")]
    time: ServiceTime,
    /// The seed of the times drawn.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How long after its start it refuses work.
    #[arg(long, default_value = "0ms", value_parser = range::interval)]
    cold_start: Interval,
    /// How long after a crash it starts again; without it, a crash ends the process.
    #[arg(long, value_parser = range::interval)]
    restart: Option<Interval>,
    /// The callers' side of a daemon, for paths that call on.
    #[arg(long, value_name = "ADDRESS")]
    egress: Option<SocketAddr>,
}

impl BackendArgs {
    /// Serves requests until a request crashes the stand-in or the user interrupts it.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound, a request crashed the stand-in without a restart, or the daemon does
    /// not accept the withdrawal.
    pub async fn run(self) -> Result<(), StandinError> {
        let plan = BackendPlan {
            service: self.service.clone(),
            listen: self.listen,
            slots: SlotCount(self.slots),
            connections: self.connections,
            connect_delay: self.connect_delay,
            time: self.time,
            seed: self.seed,
            cold_start: self.cold_start,
            restart: self.restart,
            egress: self.egress,
        };
        let mut standin = BackendStandin::start(plan).await?;
        println!("{} stand-in at {}", self.service, standin.address());
        if let Some(admin) = self.daemon {
            standin.announce_to(admin);
        }

        let exit = tokio::select! {
            exit = standin.ended() => exit,
            _ = tokio::signal::ctrl_c() => return standin.drain().await,
        };
        match exit {
            BackendExit::Crashed => Err(StandinError::new(
                "run",
                &self.service,
                &"crashed by a request",
            )),
            BackendExit::Failed(error) => Err(error),
        }
    }
}
