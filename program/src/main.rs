//! Starts valetrack on whichever platform its settings name.

use std::process::ExitCode;

use valetrack_platform::ManagedPlatform;

fn main() -> ExitCode {
    valetrack::cli::main(&[&ManagedPlatform])
}
