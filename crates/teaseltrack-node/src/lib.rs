//! What entries and agents share: membership, configuration and control calls.
//!
//! [`node`] is the task that owns the membership and the configuration in force and publishes both.
//! [`gossip`] probes peers, [`configuration`] fetches changes from the store and from peers,
//! [`clients`] and [`control_server`] are the two ends of the control calls.

pub mod clients;
pub mod configuration;
pub mod control_server;
pub mod gossip;
pub mod node;
pub mod seeds;
pub mod settings;
pub mod start;
