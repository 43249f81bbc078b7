//! What a played fleet says to and hears of its plan: words at doors, where each member stands, for the judge.

use crate::platform::Emulated;
use cometcroft_consensus::Config;
use cometcroft_plan::{Command, CommandOutcome, PermitState, PermitTarget};
use cometcroft_script::{CommandKind, OperatorCommand, PlanStatus};
use cometcroft_sidecar::plan_driver::{PlanDriver, PlanParts};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

/// What a member that starts is given for the plan.
pub fn parts(
    own: SocketAddrV4,
    keepers: Vec<SocketAddrV4>,
    log: cometcroft_consensus::Features,
) -> PlanParts {
    let mut config = Config::new("played", own, keepers);
    config.features = log;
    PlanParts { config, wait: Duration::from_millis(300), retries_limited: false, listener: Box::new(|_| ()) }
}

/// Says a word at a member's door; the entry at which it was taken, or why not.
pub async fn say<E: 'static>(
    plan_driver: Rc<PlanDriver<Emulated<E>>>,
    spoken: OperatorCommand,
) -> Result<u64, String>
where
    Emulated<E>: cometcroft_platform::Platform,
{
    let OperatorCommand { say, id, text, number, server, waves } = spoken;
    let word = match say {
        CommandKind::Refound => {
            return plan_driver.bootstrap().await.map_err(|failure| failure.code().to_owned());
        }
        CommandKind::Propose => Command::Propose { text },
        CommandKind::Rollback => Command::RollBackTo { revision: number },
        CommandKind::Release => Command::Release { text, waves },
        CommandKind::Halt => Command::Halt,
        CommandKind::Resume => Command::Resume,
        CommandKind::Back => Command::RollBackRelease,
        CommandKind::Drain => {
            let tier = plan_driver.tier();
            Command::RequestPermit {
                target: PermitTarget::Endpoint(server),
                zone: "a".to_owned(),
                tier,
                overdue_after_s: 60,
            }
        }
        CommandKind::Restart => {
            let (what, zone, tier) = plan_driver.own_permit_target();
            Command::RequestPermit { target: what, zone, tier, overdue_after_s: 60 }
        }
        CommandKind::Return => Command::ReturnPermit { permit: number },
        CommandKind::Force => Command::ForceClear { permit: number },
    };
    match plan_driver.propose(word, "script", None, Some(id)).await {
        Ok(CommandOutcome::Applied { index, .. }) => Ok(index),
        Ok(CommandOutcome::Rejected(error)) => Err(error.code().to_owned()),
        Err(failure) => Err(failure.code().to_owned()),
    }
}

/// Where a member's plan stands.
pub fn look<P: cometcroft_platform::Platform>(plan_driver: &PlanDriver<P>) -> PlanStatus {
    let (in_force, leads) = (plan_driver.in_force(), plan_driver.has_leader());
    plan_driver.with_log(|log| {
        let (place, plan) = (log.position(), log.machine());
        let permits = plan.permits().values();
        let clear = permits.clone().filter(|it| matches!(it.state, PermitState::Clear { .. }));
        let waved = plan.release().map(|_| plan.last_wave_index());
        PlanStatus {
            place: (place.bootstrap_id, place.index),
            sum: format!("{:016x}", place.sum),
            in_force,
            halted: plan.halted_by().is_some(),
            steps: permits.filter_map(|it| it.granted_index()).chain(waved).collect(),
            clear: clear.map(|it| it.target.name().to_owned()).collect(),
            led: leads,
        }
    })
}
