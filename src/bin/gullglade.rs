//! The process that runs on each VM.

use {
    bpaf::Parser,
    gullglade::{
        process::run_process,
        settings::{ProcessSettings, settings_parser},
    },
    gullglade_platform::{PlatformRole, run_on_platform},
    std::{fmt::Display, process::ExitCode},
};

/// The exit status for settings that are refused.
const BAD_SETTINGS: u8 = 2;

/// The command that runs a process on the users' platform, whose own settings file says the rest.
const PLATFORM_COMMAND: &str = "on-platform";

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    if arguments.next().as_deref() == Some(PLATFORM_COMMAND) {
        return run_there(arguments.next().as_deref());
    }
    let raw = settings_parser()
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Runs the gateway or control role of gullglade on this VM")
        .footer("Every flag has an environment variable; see docs/operators/settings.md")
        .run();
    let only_check = raw.check;
    let settings = match ProcessSettings::try_from(raw) {
        Ok(settings) => settings,
        Err(error) => return fail(&error, ExitCode::from(BAD_SETTINGS)),
    };
    if only_check {
        println!("settings are good: {} in {}", settings.name, settings.region);
        return ExitCode::SUCCESS;
    }
    match run_process(&settings) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => fail(&"requests were cut off; raise --drain-limit-ms", ExitCode::FAILURE),
        Err(error) => fail(&error, ExitCode::FAILURE),
    }
}

fn run_there(role: Option<&str>) -> ExitCode {
    let role = match role {
        Some("gateway") => PlatformRole::Gateway,
        Some("control") => PlatformRole::Control,
        _ => {
            let usage = format!("usage: gullglade {PLATFORM_COMMAND} gateway|control");
            return fail(&usage, ExitCode::from(BAD_SETTINGS));
        }
    };
    match run_on_platform(role) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => fail(&"requests were cut off; give the stop more time", ExitCode::FAILURE),
        Err(error) => fail(&error, ExitCode::FAILURE),
    }
}

fn fail(error: &dyn Display, code: ExitCode) -> ExitCode {
    eprintln!("gullglade: {error}");
    code
}
