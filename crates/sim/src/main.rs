//! Reads batches of messages from standard input and writes one reply per batch to standard output.
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = std::io::stdin().lock();
    let output = std::io::stdout().lock();
    match cometcroft_sim::host::run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cometcroft-sim: {error}");
            ExitCode::FAILURE
        }
    }
}
