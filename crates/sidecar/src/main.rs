//! The `cometcroft` program: runs one sidecar, configured by its environment, reloads the configuration on SIGHUP and shuts
//! down on SIGTERM. `cometcroft check` validates an operator file.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use cometcroft_budget::Event;
use cometcroft_membership::Change;
use cometcroft_plan::{RetryAttributes, RetryCause, RevisionContent};
use cometcroft_platform::{Platform, Tokio};
use cometcroft_sidecar::Resources;
use cometcroft_sidecar::budget_driver::{BudgetParts, BudgetUse};
use cometcroft_sidecar::config::Config;
use cometcroft_sidecar::counters::Counters;
use cometcroft_sidecar::fleet::FleetParts;
use cometcroft_sidecar::lifecycle::Lifecycle;
use cometcroft_sidecar::logging;
use cometcroft_sidecar::operator_file::{BudgetSection, FleetSection, OperatorFile, PlanSection};
use cometcroft_sidecar::plan_driver::{PlanEvent, PlanParts};
use cometcroft_sidecar::reload::ConfigReloader;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

/// Number of connections that may wait to be accepted. All clients may come at once, and where the queue is full the system
/// drops or resets their connections.
const LISTEN_BACKLOG: u32 = 4096;

/// Run one sidecar in the foreground, configured by environment variables (see README.md).
#[derive(Parser)]
#[command(name = "cometcroft", version)]
struct Cli {
    /// The operator file; takes precedence over LB_OPERATOR.
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Validate an operator file, and print its errors or a summary.
    Check {
        /// The file.
        file: PathBuf,
        /// The file is the text of a revision of the plan.
        #[arg(long)]
        plan: bool,
        /// Print which retry rule of the revision applies to a request, given as a comma-separated list of class=NAME,
        /// tenant=NAME, tier=N, zone=NAME, after=refused|never-connected|may-have-run|late.
        #[arg(long, value_name = "REQUEST", requires = "plan")]
        explain: Option<String>,
    },
}

/// Validates an operator file, and prints a summary.
fn check(file: &std::path::Path) -> ExitCode {
    match OperatorFile::load(file) {
        Ok(operator) => {
            let summary = operator.fleet.as_ref().map(FleetSection::summary);
            println!("{}", summary.unwrap_or_else(|| "nothing is switched on".to_owned()));
            if let (Some(budget), Some(fleet)) = (&operator.budget, &operator.fleet) {
                println!("{}", budget.summary(fleet));
            }
            if let (Some(plan), Some(fleet)) = (&operator.plan, &operator.fleet) {
                println!("{}", plan.summary(fleet));
            }
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("cometcroft: {error}");
            ExitCode::from(2)
        }
    }
}

/// Validates the text of a revision, and prints a summary or the retry rule that applies to a request.
fn check_plan(file: &std::path::Path, explain: Option<&str>) -> ExitCode {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|error| format!("{name}: {error}"));
    let content =
        text.and_then(|text| RevisionContent::parse(&text, &name).map_err(|error| error.to_string()));
    let output = content.and_then(|content| match explain {
        None => Ok(format!(
            "version {}: {} server rules, {} limits of outages, {} retry rules{}",
            content.version,
            content.endpoint_rules.len(),
            content.outage_limits.len(),
            content.retry_rules.len(),
            if content.storm.is_some() { ", a storm rule" } else { "" },
        )),
        Some(request) => parse_attributes(request).map(|[class, tenant, tier, zone, after]| {
            let (tier, after) = (tier.and_then(|t| t.parse().ok()).unwrap_or(0), after.and_then(parse_cause));
            let class = class.unwrap_or_default();
            content.explain(&RetryAttributes { tenant, class, tier, zone: zone.unwrap_or_default(), after })
        }),
    });
    match output {
        Ok(output) => {
            println!("{output}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("cometcroft: {error}");
            ExitCode::from(2)
        }
    }
}

/// Parses the attributes of a request for `--explain`: class, tenant, tier, zone, after.
fn parse_attributes(request: &str) -> Result<[Option<&str>; 5], String> {
    let mut fields = [None; 5];
    for pair in request.split(',') {
        let (name, value) = pair.split_once('=').ok_or_else(|| format!("--explain: {pair:?} has no ="))?;
        let at = ["class", "tenant", "tier", "zone", "after"].iter().position(|known| *known == name.trim());
        let at = at
            .ok_or_else(|| format!("--explain: {name:?} is not known; class, tenant, tier, zone or after"))?;
        if at == 2 && value.parse::<u8>().is_err() || at == 4 && parse_cause(value).is_none() {
            return Err(format!("--explain: {name}: {value:?} is invalid"));
        }
        fields[at] = Some(value);
    }
    Ok(fields)
}

/// Parses the cause of a retry.
fn parse_cause(word: &str) -> Option<RetryCause> {
    match word {
        "refused" => Some(RetryCause::Rejected),
        "never-connected" => Some(RetryCause::NeverConnected),
        "may-have-run" => Some(RetryCause::MayHaveRun),
        "late" => Some(RetryCause::TimedOut),
        _ => None,
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Some(Command::Check { file, plan, explain }) = cli.command {
        return if plan { check_plan(&file, explain.as_deref()) } else { check(&file) };
    }
    match logging::parse_level(variable(logging::LEVEL_VARIABLE).as_deref()) {
        Ok(level) => logging::init(level),
        Err(error) => {
            eprintln!("cometcroft: {error}");
            return ExitCode::from(2);
        }
    }
    let config = match Config::load(variable) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("cometcroft: configuration: {error}");
            return ExitCode::from(2);
        }
    };
    let operator = cli.operator.or_else(|| std::env::var_os("LB_OPERATOR").map(PathBuf::from));
    let operator = match operator.map(|file| OperatorFile::load(&file)).transpose() {
        Ok(operator) => operator.unwrap_or_default(),
        Err(error) => {
            eprintln!("cometcroft: {error}");
            return ExitCode::from(2);
        }
    };
    let OperatorFile { fleet, budget, plan } = operator;
    let fleet = fleet.map(|section| fleet_config(section, budget.as_ref(), plan.as_ref(), &config));
    let fleet = match fleet.transpose() {
        Ok(fleet) => fleet,
        Err(error) => {
            eprintln!("cometcroft: configuration: name: {error}");
            return ExitCode::from(2);
        }
    };
    // The inherited descriptor is taken over before the program opens any others.
    let inherited = match config.inherited_socket.map(cometcroft_inherit::take_listener).transpose() {
        Ok(inherited) => inherited,
        Err(error) => {
            eprintln!("cometcroft: configuration: LB_SOCKET_FD: {error}");
            return ExitCode::from(2);
        }
    };
    let counters = Rc::new(Counters::default());
    let result = tokio::runtime::Builder::new_current_thread().enable_all().build().and_then(|runtime| {
        LocalSet::new().block_on(&runtime, serve(config, inherited, counters.clone(), fleet))
    });
    eprintln!("cometcroft: counters {}", counters.json());
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cometcroft: {error}");
            ExitCode::FAILURE
        }
    }
}

/// The configuration of a fleet member: membership, budgets and plan if there are any, and the `[fleet]` section.
type FleetConfig = (cometcroft_membership::Config, Option<BudgetParts>, Option<PlanParts>, FleetSection);

/// Derives the configuration of a fleet member from the sections of the operator file.
fn fleet_config(
    section: FleetSection,
    budget: Option<&BudgetSection>,
    plan: Option<&PlanSection>,
    config: &Config,
) -> Result<FleetConfig, String> {
    let member = section.membership_config(config)?;
    let budget = budget.map(|budget| budget.driver_config(&section, config)).transpose()?;
    let budget = budget.map(|(config, uses)| BudgetParts {
        config,
        uses,
        // Random, from neither the clock nor the file: two starts with the same id would count as one holder.
        id: RandomState::new().hash_one(std::process::id()),
        listener: Box::new(|event| match event {
            Event::Elected { term } => tracing::info!(term, "elected as budget allocator"),
            Event::SteppedDown => tracing::info!("no longer budget allocator"),
            Event::LeaseExpired => tracing::warn!("budget leases have expired"),
            Event::LeaseObtained => tracing::info!("budget leases obtained"),
        }),
    });
    let retries_limited = budget.as_ref().is_some_and(|budget| budget.uses.contains(&BudgetUse::Retries));
    let plan = plan.map(|plan| plan.driver_config(&section)).map(|(config, wait)| PlanParts {
        config,
        wait,
        retries_limited,
        listener: Box::new(|event| match event {
            PlanEvent::InForce { revision, index } => tracing::info!(revision, index, "revision in force"),
            PlanEvent::NoPlan => {
                tracing::warn!("no plan received in time; serving with the settings of the file")
            }
            PlanEvent::RetryStorm(on) => tracing::warn!(on, "retry storm"),
        }),
    });
    Ok((member, budget, plan, section))
}

/// Reads an environment variable.
fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Opens the sockets, installs the signal handlers and runs the sidecar until it has shut down.
async fn serve(
    config: Config,
    inherited: Option<std::net::TcpListener>,
    counters: Rc<Counters>,
    fleet: Option<FleetConfig>,
) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let reloader = ConfigReloader::new(&config);
    let (hangup_reloader, hangup_counters) = (reloader.clone(), counters.clone());
    Tokio.detach(async move {
        while hangup.recv().await.is_some() {
            if let Err(error) = hangup_reloader.reload(Config::reload(variable), &hangup_counters) {
                eprintln!("cometcroft: new configuration: {error}");
            }
        }
    });
    let lifecycle = Rc::new(Lifecycle::new(Tokio, config.max_deadline(), inherited.is_some()));
    let terminated = lifecycle.clone();
    Tokio.detach(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        terminated.begin_shutdown();
    });
    let listener = match inherited {
        Some(inherited) => TcpListener::from_std(inherited)?,
        None => listen(config.listen)?,
    };
    let ops = match config.ops {
        Some(ops) => Some(listen(ops)?),
        None => None,
    };
    let fleet = match fleet {
        Some(fleet) => Some(open_fleet(fleet).await?),
        None => None,
    };
    cometcroft_sidecar::run(Tokio, config, Resources { listener, ops, reloader, lifecycle, counters, fleet })
        .await
}

/// Listens at an address.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // A process that is started again takes over the address of the one before.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Opens the sockets of a fleet member, and logs changes of the membership.
async fn open_fleet((member, budget, plan, section): FleetConfig) -> std::io::Result<FleetParts<Tokio>> {
    let at = section.listen_address();
    let with_address =
        |error: std::io::Error| std::io::Error::new(error.kind(), format!("fleet: {at}: {error}"));
    let socket = UdpSocket::bind(at).await.map_err(with_address)?;
    let listener = TcpListener::bind(socket.local_addr()?).await.map_err(with_address)?;
    let on_change = Box::new(|change: &Change| {
        let (from, to) = (change.from.map_or("unknown", |state| state.as_str()), change.to.as_str());
        tracing::info!(
            member = %change.name, generation = change.generation, from, to, cause = change.cause, by = %change.reporter,
            "member changed"
        );
    });
    Ok(FleetParts { config: member, socket, listener, from: at.ip(), watcher: on_change, budget, plan })
}
