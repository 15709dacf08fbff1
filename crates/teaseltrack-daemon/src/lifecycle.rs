//! From the command line to a running daemon and back.

use std::{fmt::Display, future::Future, net::SocketAddr, process::ExitCode};

use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;

use crate::{args::DaemonArgs, settings::SettingsError, shutdown::Shutdown};

/// Exit code for bad settings.
const EXIT_BAD_SETTINGS: u8 = 2;
/// Exit code for a daemon that couldn't start.
const EXIT_NOT_STARTED: u8 = 1;

/// Why a daemon didn't start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StartError {
    /// An address can't be bound.
    #[snafu(display("{key}: {address} can't be bound: {source}"))]
    Bind {
        /// Key of the address in the settings.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// Metrics can't be sent.
    #[snafu(display("observation.metrics.statsd_address: {source}"))]
    Metrics {
        /// Cause.
        source: std::io::Error,
    },
}

/// Binds the address of a key in the settings; the address is the bound one, its port never 0.
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

/// Checks the settings, and runs the daemon until it is asked to stop.
///
/// With 0 worker threads everything runs on the calling thread. `start` returns once the daemon serves; the future it returns ends with the planned stop.
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
        println!("{}: good", args.settings.display());
        return ExitCode::SUCCESS;
    }
    let runtime = match worker_threads {
        0 => tokio::runtime::Builder::new_current_thread().enable_all().build(),
        count => {
            tokio::runtime::Builder::new_multi_thread().worker_threads(count).enable_all().build()
        }
    };
    let Ok(runtime) = runtime else {
        eprintln!("the runtime can't start");
        return ExitCode::from(EXIT_NOT_STARTED);
    };
    runtime.block_on(async {
        let shutdown = Shutdown::new();
        if let Err(error) = shutdown.drain_on_signal() {
            eprintln!("signals: {error}");
            return ExitCode::from(EXIT_NOT_STARTED);
        }
        match start(settings, shutdown).await {
            Ok(waiting) => {
                waiting.await;
                ExitCode::SUCCESS
            }
            Err(error) => {
                eprintln!("{error}");
                ExitCode::from(EXIT_NOT_STARTED)
            }
        }
    })
}
