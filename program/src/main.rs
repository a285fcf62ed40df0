//! Entry point of the `valetrack` executable, which includes the managed platform.

use std::process::ExitCode;

use valetrack_platform::ManagedPlatform;

fn main() -> ExitCode {
    valetrack::cli::main(&[&ManagedPlatform])
}
