//! Reads batches on standard input and writes one reply each on standard output.
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = std::io::stdin().lock();
    let output = std::io::stdout().lock();
    match lilacwheel_sim::host::run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("lilacwheel-sim: {fault}");
            ExitCode::FAILURE
        }
    }
}
