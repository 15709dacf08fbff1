//! What an operator gives on the command line.

pub mod args;
