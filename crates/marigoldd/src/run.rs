//! Runs the daemon with a settings file until it exits.

use std::fmt::Display;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use marigold_log::HttpLog;
use marigold_settings::Settings;
use marigoldd::{Daemon, DaemonParts, Secrets, Sockets, install_logging};
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::cli::Arguments;

/// The threads of the tokio runtime; few, since the backend server runs on the same host.
const WORKER_THREADS: usize = 2;
/// The exit code for invalid settings or keys.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// The exit code of a daemon that failed to start or run.
const EXIT_FAILED: u8 = 1;

/// Runs the daemon, or only checks its settings with `--check`, and returns the exit code.
pub fn run(arguments: &Arguments) -> ExitCode {
    let parts = match prepare(&arguments.settings) {
        Ok(parts) => parts,
        Err(fault) => {
            eprintln!("{fault}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if arguments.check {
        println!("{}: no fault found", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    match start(parts) {
        Ok(code) => code,
        Err(error) => fail(&*error),
    }
}

/// Prints an error and returns the exit code for a failure.
pub fn fail(error: &dyn Display) -> ExitCode {
    eprintln!("marigoldd: {error}");
    ExitCode::from(EXIT_FAILED)
}

/// Reads the settings and the files that they name; the error is a message for the operator.
fn prepare(path: &Path) -> Result<(Settings, Secrets), String> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| format!("{file}: {error}"))?;
    let settings = Settings::parse(&file, &text).map_err(|faults| faults.to_string())?;
    let secrets = Secrets::read(&settings.tls).map_err(|error| error.to_string())?;
    secrets
        .check(settings.daemon.address)
        .map_err(|error| error.to_string())?;
    Ok((settings, secrets))
}

fn start((settings, secrets): (Settings, Secrets)) -> Result<ExitCode, Box<dyn std::error::Error>> {
    install_logging(&settings.logging)?;
    let sockets = Sockets::bind(&settings)?;
    let log = Arc::new(HttpLog::new(&settings.log.url));
    let runtime = build_runtime()?;
    let parts = DaemonParts {
        settings,
        sockets,
        secrets,
        log,
    };
    runtime.block_on(serve(parts))
}

fn build_runtime() -> std::io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
}

async fn serve(parts: DaemonParts) -> Result<ExitCode, Box<dyn std::error::Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let daemon = Daemon::start(parts)?;

    // An operator's drain request and a signal start the same shutdown.
    tokio::select! {
        () = next_signal(&mut terminate, &mut interrupt) => {}
        () = daemon.wait_for_drain() => {}
    }
    let stop = daemon.stop();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            code = &mut stop => return Ok(ExitCode::from(code.code())),
            () = next_signal(&mut terminate, &mut interrupt) => daemon.signal(),
        }
    }
}

async fn next_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
