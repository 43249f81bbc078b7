//! Starts one sidecar from its environment, reads its configuration again on SIGHUP and ends it on SIGTERM.
#![forbid(unsafe_code)]

use cometcroft_platform::{Platform, Tokio};
use cometcroft_sidecar::Parts;
use cometcroft_sidecar::config::Config;
use cometcroft_sidecar::counters::Counters;
use cometcroft_sidecar::lifecycle::Life;
use cometcroft_sidecar::retune::Control;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

fn main() -> ExitCode {
    let config = match Config::load(variable) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("cometcroft: configuration: {error}");
            return ExitCode::from(2);
        }
    };
    // Before anything else opens descriptors.
    let inherited = match config.socket.map(cometcroft_inherit::listener).transpose() {
        Ok(inherited) => inherited,
        Err(refused) => {
            eprintln!("cometcroft: configuration: LB_SOCKET_FD: {refused}");
            return ExitCode::from(2);
        }
    };
    let counters = Rc::new(Counters::default());
    let served = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .and_then(|runtime| LocalSet::new().block_on(&runtime, serve(config, inherited, counters.clone())));
    eprintln!("cometcroft: counters {}", counters.json());
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cometcroft: {error}");
            ExitCode::FAILURE
        }
    }
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

async fn serve(
    config: Config,
    inherited: Option<std::net::TcpListener>,
    counters: Rc<Counters>,
) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let control = Control::new(&config);
    let (retuned, counted) = (control.clone(), counters.clone());
    Tokio.detach(async move {
        while hangup.recv().await.is_some() {
            if let Err(error) = retuned.reload(Config::reload(variable), &counted) {
                eprintln!("cometcroft: new configuration: {error}");
            }
        }
    });
    let life = Rc::new(Life::new(Tokio, config.longest_deadline(), inherited.is_some()));
    let begin = life.clone();
    Tokio.detach(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        begin.begin();
    });
    let listener = match inherited {
        Some(inherited) => TcpListener::from_std(inherited)?,
        None => TcpListener::bind(config.listen).await?,
    };
    let ops = match config.ops {
        Some(ops) => Some(TcpListener::bind(ops).await?),
        None => None,
    };
    cometcroft_sidecar::run(Tokio, config, Parts { listener, ops, control, life, counters }).await
}
