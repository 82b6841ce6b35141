//! Writing to the standard output.

use std::io::{ErrorKind, Write, stdout};

/// Writes `text`. A reader that has seen enough, such as `head`, ends the writing quietly, where
/// `print!` would panic; any other failure is told.
pub(super) fn write_out(text: &str) {
    let mut out = stdout().lock();
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Ok(()) => {}
        Err(error) if error.kind() == ErrorKind::BrokenPipe => {}
        Err(error) => eprintln!("gladectl: the output cannot be written: {error}"),
    }
}
