//! Settings of an agent.

pub mod config;
