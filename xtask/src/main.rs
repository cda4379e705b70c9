//! Maintenance tasks of the workspace: `cargo xtask generate`, `cargo xtask ablation` and
//! `cargo xtask compare DECISION`.

mod ablation;
mod comparison;
mod journal;

use std::path::Path;
use std::process::ExitCode;

use snafu::{ResultExt, Whatever};

const PROTO_DIR: &str = "crates/zinniadrift-proto/proto";
const PROTO_FILE: &str = "zinniadrift.proto";
const GENERATED_DIR: &str = "crates/zinniadrift-proto/src/generated";

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    let task = args.subcommand().ok().flatten();
    let result = match task.as_deref() {
        Some("generate") => generate(),
        Some("ablation") => ablation::Ablation::read().map(|a| a.print()),
        Some("compare") => match args.subcommand() {
            Ok(Some(decision)) => comparison::Comparison::read(&decision).map(|c| c.print()),
            _ => return usage(),
        },
        _ => return usage(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("xtask: {}", snafu::Report::from_error(e));
            ExitCode::FAILURE
        }
    }
}

fn usage() -> ExitCode {
    eprintln!("usage: cargo xtask generate|ablation|compare DECISION");
    ExitCode::from(2)
}

/// Generates the protobuf messages and tonic stubs into the committed directory.
fn generate() -> Result<(), Whatever> {
    let files = protox::compile([PROTO_FILE], [Path::new(PROTO_DIR)])
        .whatever_context("failed to compile the protobuf file")?;
    tonic_prost_build::configure()
        .out_dir(GENERATED_DIR)
        .compile_fds(files)
        .whatever_context("failed to generate the protobuf code")
}
