//! Settings of the `gullglade` process: flags and environment variables, checked before anything
//! starts.

mod check;
mod error;
mod raw;

pub use check::{ControlSettings, ProcessSettings, Role};
pub use error::SettingError;
pub use raw::{RawSettings, settings_parser};
