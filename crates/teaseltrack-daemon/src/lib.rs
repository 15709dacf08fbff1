//! What every process of teaseltrack has.
//!
//! [`args`] and [`settings`] read the command line and the settings file, [`logs`], [`metrics`] and
//! [`spans`] say what the process does, [`http_server`] and [`http_client`] carry HTTP, [`problem`]
//! writes refusals, [`boot_clock`] counts suspensions, [`health`] answers the platform's probes, and [`shutdown`] is the planned stop.

pub mod args;
pub mod boot_clock;
pub mod byte_count;
pub mod health;
pub mod http_client;
pub mod http_server;
pub mod lifecycle;
pub mod logs;
pub mod metrics;
pub mod problem;
pub mod settings;
pub mod shutdown;
pub mod spans;
