//! Command-line options.

pub mod args;
