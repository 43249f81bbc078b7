//! Starts one sidecar from its environment, reads its configuration again on SIGHUP and ends it on SIGTERM; or checks an
//! operator's file.
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
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

/// One sidecar. It stays in the foreground and reads its environment; README.md names the variables.
#[derive(Parser)]
#[command(name = "cometcroft", version)]
struct Cli {
    /// The operator's file; before LB_OPERATOR.
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Read an operator's file and say what is wrong with it, or what it comes to.
    Check {
        /// The file.
        file: PathBuf,
        /// It is a revision's text.
        #[arg(long)]
        plan: bool,
        /// Of a revision: which retry rule binds for a request, given as class=NAME, tenant=NAME, tier=N, zone=NAME,
        /// after=refused|never-connected|may-have-run|late, with commas.
        #[arg(long, value_name = "REQUEST", requires = "plan")]
        explain: Option<String>,
    },
}

fn check(file: &std::path::Path) -> ExitCode {
    match OperatorFile::load(file) {
        Ok(operator) => {
            let told = operator.fleet.as_ref().map(FleetSection::summary);
            println!("{}", told.unwrap_or_else(|| "nothing is switched on".to_owned()));
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

/// Reads a revision's text, and says which retry rule binds.
fn check_plan(file: &std::path::Path, explain: Option<&str>) -> ExitCode {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|error| format!("{name}: {error}"));
    let content =
        text.and_then(|text| RevisionContent::parse(&text, &name).map_err(|error| error.to_string()));
    let told = content.and_then(|content| match explain {
        None => Ok(format!(
            "version {}: {} server rules, {} limits of outages, {} retry rules{}",
            content.version,
            content.endpoint_rules.len(),
            content.outage_limits.len(),
            content.retry_rules.len(),
            if content.storm.is_some() { ", a storm rule" } else { "" },
        )),
        Some(request) => wanted(request).map(|[class, tenant, tier, zone, after]| {
            let (tier, after) = (tier.and_then(|t| t.parse().ok()).unwrap_or(0), after.and_then(happened));
            let class = class.unwrap_or_default();
            content.explain(&RetryAttributes { tenant, class, tier, zone: zone.unwrap_or_default(), after })
        }),
    });
    match told {
        Ok(told) => {
            println!("{told}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("cometcroft: {error}");
            ExitCode::from(2)
        }
    }
}

/// The fields of a request to explain: class, tenant, tier, zone, after.
fn wanted(request: &str) -> Result<[Option<&str>; 5], String> {
    let mut fields = [None; 5];
    for pair in request.split(',') {
        let (name, value) = pair.split_once('=').ok_or_else(|| format!("--explain: {pair:?} has no ="))?;
        let at = ["class", "tenant", "tier", "zone", "after"].iter().position(|known| *known == name.trim());
        let at = at
            .ok_or_else(|| format!("--explain: {name:?} is not known; class, tenant, tier, zone or after"))?;
        if at == 2 && value.parse::<u8>().is_err() || at == 4 && happened(value).is_none() {
            return Err(format!("--explain: {name}: {value:?} makes no sense"));
        }
        fields[at] = Some(value);
    }
    Ok(fields)
}

fn happened(word: &str) -> Option<RetryCause> {
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
    let fleet = fleet.map(|section| joins(section, budget.as_ref(), plan.as_ref(), &config));
    let fleet = match fleet.transpose() {
        Ok(fleet) => fleet,
        Err(error) => {
            eprintln!("cometcroft: configuration: name: {error}");
            return ExitCode::from(2);
        }
    };
    // Before anything else opens descriptors.
    let inherited = match config.inherited_socket.map(cometcroft_inherit::take_listener).transpose() {
        Ok(inherited) => inherited,
        Err(refused) => {
            eprintln!("cometcroft: configuration: LB_SOCKET_FD: {refused}");
            return ExitCode::from(2);
        }
    };
    let counters = Rc::new(Counters::default());
    let served = tokio::runtime::Builder::new_current_thread().enable_all().build().and_then(|runtime| {
        LocalSet::new().block_on(&runtime, serve(config, inherited, counters.clone(), fleet))
    });
    eprintln!("cometcroft: counters {}", counters.json());
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cometcroft: {error}");
            ExitCode::FAILURE
        }
    }
}

/// What a member of a fleet is told: as a member, of its budgets and its plan if there are any, and the file's section.
type Joins = (cometcroft_membership::Config, Option<BudgetParts>, Option<PlanParts>, FleetSection);

fn joins(
    section: FleetSection,
    budget: Option<&BudgetSection>,
    plan: Option<&PlanSection>,
    config: &Config,
) -> Result<Joins, String> {
    let member = section.membership_config(config)?;
    let budget = budget.map(|budget| budget.driver_config(&section, config)).transpose()?;
    let budget = budget.map(|(config, uses)| BudgetParts {
        config,
        uses,
        // Danger: two starts with one number would be one holder; neither the clock nor the file makes it.
        id: RandomState::new().hash_one(std::process::id()),
        listener: Box::new(|event| match event {
            Event::Elected { term } => tracing::info!(term, "divides the budgets"),
            Event::SteppedDown => tracing::info!("divides the budgets no more"),
            Event::LeaseExpired => tracing::warn!("parts of the budgets have lapsed"),
            Event::LeaseObtained => tracing::info!("has parts of the budgets"),
        }),
    });
    let divides = budget.as_ref().is_some_and(|budget| budget.uses.contains(&BudgetUse::Retries));
    let plan = plan.map(|plan| plan.driver_config(&section)).map(|(config, wait)| PlanParts {
        config,
        wait,
        divides,
        listener: Box::new(|event| match event {
            PlanEvent::InForce { revision, index } => tracing::info!(revision, index, "revision in force"),
            PlanEvent::NoPlan => tracing::warn!("no plan was heard of in time: serves by its file"),
            PlanEvent::RetryStorm(on) => tracing::warn!(on, "storm of retries"),
        }),
    });
    Ok((member, budget, plan, section))
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

async fn serve(
    config: Config,
    inherited: Option<std::net::TcpListener>,
    counters: Rc<Counters>,
    fleet: Option<Joins>,
) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let reloader = ConfigReloader::new(&config);
    let (retuned, counted) = (reloader.clone(), counters.clone());
    Tokio.detach(async move {
        while hangup.recv().await.is_some() {
            if let Err(error) = retuned.reload(Config::reload(variable), &counted) {
                eprintln!("cometcroft: new configuration: {error}");
            }
        }
    });
    let lifecycle = Rc::new(Lifecycle::new(Tokio, config.max_deadline(), inherited.is_some()));
    let begin = lifecycle.clone();
    Tokio.detach(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        begin.begin_shutdown();
    });
    let listener = match inherited {
        Some(inherited) => TcpListener::from_std(inherited)?,
        None => TcpListener::bind(config.listen).await?,
    };
    let ops = match config.ops {
        Some(ops) => Some(TcpListener::bind(ops).await?),
        None => None,
    };
    let fleet = match fleet {
        Some(fleet) => Some(join(fleet).await?),
        None => None,
    };
    cometcroft_sidecar::run(Tokio, config, Resources { listener, ops, reloader, lifecycle, counters, fleet })
        .await
}

/// Opens a member's sockets, and has its changes told in the log.
async fn join((member, budget, plan, section): Joins) -> std::io::Result<FleetParts<Tokio>> {
    let at = section.listen_address();
    let named = |error: std::io::Error| std::io::Error::new(error.kind(), format!("fleet: {at}: {error}"));
    let socket = UdpSocket::bind(at).await.map_err(named)?;
    let listener = TcpListener::bind(socket.local_addr()?).await.map_err(named)?;
    let watcher = Box::new(|change: &Change| {
        let (from, to) = (change.from.map_or("unknown", |state| state.as_str()), change.to.as_str());
        tracing::info!(
            member = %change.name, generation = change.generation, from, to, cause = change.cause, by = %change.reporter,
            "member changed"
        );
    });
    Ok(FleetParts { config: member, socket, listener, from: at.ip(), watcher, budget, plan })
}
