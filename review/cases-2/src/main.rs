//! The cases of the second review. `review-case N FOLDER` plays case N and writes `record.txt` into FOLDER. It exits with 1 if
//! the rule was broken, with 0 if it held, and with 2 if the case could not run.

mod budgets;
mod copies;
mod http;
mod json;
mod plans;
mod pushed;
mod run;
mod standins;

use run::{Failure, Run, Verdict};
use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-case NAME FOLDER");
        std::process::exit(2);
    };
    let run = match Run::new(Path::new(folder)) {
        Ok(run) => run,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            std::process::exit(2);
        }
    };
    let play = || -> Result<Verdict, Failure> {
        match case.as_str() {
            "two-dividers" => budgets::two_dividers(&run),
            "shorter-lease" => budgets::shorter_lease(&run),
            "level" => budgets::level(&run),
            "clear-leaving" => plans::clear(&run, plans::Trouble::Leaving),
            "clear-restart" => plans::clear(&run, plans::Trouble::Restart),
            "same-id" => plans::same_id(&run),
            "copies" => copies::copies(&run),
            "pushed" => pushed::pushed(&run),
            other => Err(format!("there is no case {other}")),
        }
    };
    let ended = std::panic::catch_unwind(std::panic::AssertUnwindSafe(play));
    let ended = ended.unwrap_or_else(|_| Err("the program of the case panicked".to_owned()));
    let (code, text) = match ended {
        Ok(Verdict::Held) => (0, "the rule held".to_owned()),
        Ok(Verdict::Broken(what)) => (1, format!("the rule was broken: {what}")),
        Err(error) => (2, format!("the case could not run: {error}")),
    };
    run.record.note(&text);
    println!("{text}");
    run::end_all();
    std::process::exit(code);
}
