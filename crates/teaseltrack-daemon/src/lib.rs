//! Shared runtime of the teaseltrack daemons.
//!
//! [`args`] and [`settings`] parse the command line and the settings file, [`lifecycle`] runs a
//! daemon until its graceful shutdown in [`shutdown`], and [`logs`], [`metrics`] and [`spans`]
//! provide observability, and [`odd_entries`] reports entries that can't be read. [`http_server`]
//! and [`http_client`] implement HTTP, [`problem`] encodes refusals, [`health`] serves the platform's
//! probes, [`byte_count`] counts traffic, and [`boot_clock`] is a clock that includes suspensions.

pub mod args;
pub mod boot_clock;
pub mod byte_count;
pub mod health;
pub mod http_client;
pub mod http_server;
pub mod lifecycle;
pub mod logs;
pub mod metrics;
pub mod odd_entries;
pub mod problem;
pub mod settings;
pub mod shutdown;
pub mod spans;
