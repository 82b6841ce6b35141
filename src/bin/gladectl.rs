//! The operators' and experimenters' tool.

use {gullglade::commands::tool_parser, std::process::ExitCode};

fn main() -> ExitCode {
    tool_parser().run().run()
}
