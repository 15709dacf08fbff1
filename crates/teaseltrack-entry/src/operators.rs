//! HTTP service for operators: commands change records, queries read them.

pub mod archiver;
pub mod commands;
pub mod queries;
pub mod server;
