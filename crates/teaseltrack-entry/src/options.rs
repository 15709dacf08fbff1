//! Configuration options of an entry.

pub mod config;
