//! What an operator sets for an agent.

pub mod config;
