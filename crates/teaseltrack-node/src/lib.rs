//! Functions shared by entries and agents: membership, configuration and control calls.
//!
//! [`node`] is the task that owns the membership and the active configuration and publishes both.
//! [`gossip`] probes peers, [`seeds`] finds the first ones, and [`configuration`] fetches changes
//! from the store and from peers. [`clients`] and [`control_server`] are the two ends of the
//! control calls, and [`start`] starts all of these tasks.

pub mod clients;
pub mod configuration;
pub mod control_server;
pub mod gossip;
pub mod node;
pub mod seeds;
pub mod settings;
pub mod start;
