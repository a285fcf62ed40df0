//! Starts valetrack.

use std::process::ExitCode;

fn main() -> ExitCode {
    valetrack::cli::main()
}
