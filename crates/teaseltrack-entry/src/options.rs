//! What an operator sets for an entry.

pub mod config;
