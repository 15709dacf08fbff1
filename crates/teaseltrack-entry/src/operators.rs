//! The operators' port: commands change records, queries read them.

pub mod archivist;
pub mod commands;
pub mod queries;
pub mod server;
