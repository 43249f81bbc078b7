//! Reads batches on standard input and writes one reply each on standard output.
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = std::io::stdin().lock();
    let output = std::io::stdout().lock();
    match cometcroft_sim::host::run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("cometcroft-sim: {fault}");
            ExitCode::FAILURE
        }
    }
}
