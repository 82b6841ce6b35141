//! Requests that end the backend servers that run them.

mod print;

pub use print::{PrintKey, RequestPrint, RequestView};
