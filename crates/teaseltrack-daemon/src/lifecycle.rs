//! Startup and shutdown of a daemon.

use std::{fmt::Display, future::Future, net::SocketAddr, process::ExitCode};

use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;

use crate::{args::DaemonArgs, settings::SettingsError, shutdown::Shutdown};

/// Exit code for invalid settings.
const EXIT_BAD_SETTINGS: u8 = 2;
/// Exit code for a failed start.
const EXIT_NOT_STARTED: u8 = 1;

/// Failure to start a daemon.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StartError {
    /// A listen address can't be bound.
    #[snafu(display("{key}: {address} can't be bound: {source}"))]
    Bind {
        /// Dotted path of the address in the settings.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The socket for sending metrics can't be opened.
    #[snafu(display("observation.metrics.statsd_address: {source}"))]
    Metrics {
        /// Cause.
        source: std::io::Error,
    },
}

/// Binds the listen address configured under `key`; returns the bound address, whose port is never
/// 0.
///
/// # Errors
///
/// The address can't be bound.
pub async fn bind(
    key: &'static str,
    address: SocketAddr,
) -> Result<(TcpListener, SocketAddr), StartError> {
    let listener = TcpListener::bind(address).await.context(BindSnafu { key, address })?;
    let bound = listener.local_addr().context(BindSnafu { key, address })?;
    Ok((listener, bound))
}

/// Validates the settings, and runs the daemon until it has shut down.
///
/// With 0 worker threads, everything runs on the calling thread. `start` returns once the daemon
/// serves; the future that it returns completes at the end of the graceful shutdown.
pub fn run_daemon<S, F, E, W>(
    args: &DaemonArgs,
    worker_threads: usize,
    settings: Result<S, SettingsError>,
    start: impl FnOnce(S, Shutdown) -> F,
) -> ExitCode
where
    F: Future<Output = Result<W, E>>,
    E: Display,
    W: Future<Output = ()>,
{
    let settings = match settings {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    if args.is_check {
        println!("{}: valid", args.settings.display());
        return ExitCode::SUCCESS;
    }
    let runtime = match worker_threads {
        0 => tokio::runtime::Builder::new_current_thread().enable_all().build(),
        count => {
            tokio::runtime::Builder::new_multi_thread().worker_threads(count).enable_all().build()
        }
    };
    let Ok(runtime) = runtime else {
        eprintln!("the async runtime failed to start");
        return ExitCode::from(EXIT_NOT_STARTED);
    };
    runtime.block_on(async {
        let shutdown = Shutdown::new();
        if let Err(error) = shutdown.drain_on_signal() {
            eprintln!("signal handlers can't be installed: {error}");
            return ExitCode::from(EXIT_NOT_STARTED);
        }
        match start(settings, shutdown).await {
            Ok(serving) => {
                serving.await;
                ExitCode::SUCCESS
            }
            Err(error) => {
                eprintln!("{error}");
                ExitCode::from(EXIT_NOT_STARTED)
            }
        }
    })
}
