//! What a developer gives on the command line.

pub mod args;
