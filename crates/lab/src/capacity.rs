//! `capacity`: measures fleets of several sizes and generates part of `docs/CAPACITY.md` from the results.

mod measure;
mod module;
mod record;

use clap::Subcommand;
use cometcroft_capacity::data::{Dataset, Moment};
use cometcroft_capacity::page;
use cometcroft_capacity::target::Target;
use std::error::Error;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Subcommand)]
pub enum Capacity {
    /// Run fleets of several sizes on the virtual clock and write their resource use as JSON.
    Measure {
        /// Numbers of members, separated by commas.
        #[arg(long, value_delimiter = ',', required = true, value_parser = clap::value_parser!(u16).range(1..=4000))]
        sizes: Vec<u16>,
        /// Range of seeds as A..B, both included.
        #[arg(long, value_parser = crate::parse_seeds, default_value = "1..3")]
        seeds: RangeInclusive<u64>,
        /// Moments, separated by commas; all by default.
        #[arg(long, value_delimiter = ',', value_parser = parse_moment)]
        moments: Vec<Moment>,
        /// Directory with a script for each moment.
        #[arg(long, default_value = "docs/capacity/scripts", value_name = "DIR")]
        scripts: PathBuf,
        /// Number of fleets run in parallel.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=16))]
        jobs: u16,
        /// Data file; existing records of the same moment, size and seed are replaced, all others are kept.
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Write the results of the module's benchmarks `list` and `list_memory` to a data file.
    Module {
        /// Output directory of criterion.
        #[arg(long, default_value = "target/criterion", value_name = "DIR")]
        criterion: PathBuf,
        /// File with the output of `list_memory`.
        #[arg(long, value_name = "FILE")]
        heap: PathBuf,
        /// Data file; it is overwritten.
        #[arg(long, default_value = "docs/capacity/module.json", value_name = "FILE")]
        out: PathBuf,
    },
    /// Update the generated part of the page.
    Page {
        /// Target file.
        #[arg(long, default_value = "docs/capacity/target.toml", value_name = "FILE")]
        target: PathBuf,
        /// Directory whose `*.json` files hold the data.
        #[arg(long, default_value = "docs/capacity", value_name = "DIR")]
        data: PathBuf,
        /// Page to update.
        #[arg(long, default_value = "docs/CAPACITY.md", value_name = "FILE")]
        page: PathBuf,
        /// Only check; exit code 1 if the page differs from what target and data generate.
        #[arg(long)]
        check: bool,
    },
}

fn parse_moment(text: &str) -> Result<Moment, String> {
    let names: Vec<&str> = Moment::ALL.iter().map(|moment| moment.name()).collect();
    let known = Moment::ALL.into_iter().find(|moment| moment.name() == text);
    known.ok_or_else(|| format!("the moments are {}", names.join(", ")))
}

pub fn run(command: Capacity) -> Result<ExitCode, Box<dyn Error>> {
    match command {
        Capacity::Measure { sizes, seeds, moments, scripts, jobs, out } => {
            let moments = if moments.is_empty() { Moment::ALL.to_vec() } else { moments };
            let request = measure::Request {
                sizes: sizes.into_iter().map(usize::from).collect(),
                seeds,
                moments,
                jobs: usize::from(jobs),
            };
            let existing = if out.exists() { read_data(&out)? } else { Dataset::default() };
            let measured = measure::run(&request, &scripts)?;
            write_data(&out, merge_records(existing, measured))?;
            Ok(ExitCode::SUCCESS)
        }
        Capacity::Module { criterion, heap, out } => {
            let module = module::records(&criterion, &heap)?;
            write_data(&out, Dataset { module, ..Dataset::default() })?;
            Ok(ExitCode::SUCCESS)
        }
        Capacity::Page { target, data, page, check } => {
            let current = read(&page)?;
            let generated = page::render(&read_target(&target)?, &read_directory(&data)?);
            let updated =
                page::replace(&current, &generated).map_err(|e| format!("{}: {e}", page.display()))?;
            if check && updated != current {
                eprintln!(
                    "{}: differs from what target and data generate; run `cometcroft-lab capacity page`",
                    page.display()
                );
                return Ok(ExitCode::FAILURE);
            }
            if !check {
                std::fs::write(&page, updated).map_err(|e| format!("{}: {e}", page.display()))?;
            }
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn read(path: &Path) -> Result<String, Box<dyn Error>> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()).into())
}

fn read_target(path: &Path) -> Result<Target, Box<dyn Error>> {
    Ok(Target::parse(&read(path)?, &path.display().to_string())?)
}

fn read_data(path: &Path) -> Result<Dataset, Box<dyn Error>> {
    Ok(Dataset::parse(&read(path)?, &path.display().to_string())?)
}

/// Reads and merges all data files of a directory, in the order of their names.
fn read_directory(directory: &Path) -> Result<Dataset, Box<dyn Error>> {
    let entries = std::fs::read_dir(directory).map_err(|e| format!("{}: {e}", directory.display()))?;
    let paths = entries.map(|entry| entry.map(|entry| entry.path())).collect::<Result<Vec<_>, _>>()?;
    let mut files: Vec<PathBuf> = paths
        .into_iter()
        .filter(|path| path.extension().is_some_and(|extension| extension == "json"))
        .collect();
    files.sort();
    let mut merged = Dataset::default();
    for file in files {
        merged.merge(read_data(&file)?);
    }
    merged.sort();
    Ok(merged)
}

/// Adds the measured records to the existing ones. They replace records of the same moment, size and seed.
fn merge_records(mut existing: Dataset, measured: Dataset) -> Dataset {
    existing.fleets.retain(|old| {
        let key = (old.moment, old.members, old.seed);
        measured.fleets.iter().all(|new| (new.moment, new.members, new.seed) != key)
    });
    existing.merge(measured);
    existing.sort();
    existing
}

fn write_data(path: &Path, dataset: Dataset) -> Result<(), Box<dyn Error>> {
    std::fs::write(path, dataset.to_text()?).map_err(|e| format!("{}: {e}", path.display()).into())
}
