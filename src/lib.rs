//! The command line of gullglade: the `gullglade` process of each VM and the operators' tool
//! `gladectl`. The work is done by the libraries under `crates/`; this package parses settings,
//! checks them and puts the parts together.

pub mod commands;
pub mod process;
pub mod settings;
