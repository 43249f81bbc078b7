//! The versions of the settings that apply now: the newest, and former ones for a while after their replacement. No I/O.

use crate::classes::CHANGE_OVERLAP;
use cometcroft::Settings;
use cometcroft_settings::SocketSettings;
use std::time::{Duration, Instant};

/// One version of the settings file.
#[derive(Debug, Clone, PartialEq)]
pub struct SettingsVersion {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Settings of the network side.
    pub network: SocketSettings,
}

/// What all versions that apply at the moment permit.
#[derive(Debug, Clone, PartialEq)]
pub struct CommonSettings {
    /// Settings of the decision module. The classes are those of the newest version; what they have in common with former
    /// ones depends on the form of a request, see [`ClassRegistry`](crate::classes::ClassRegistry).
    pub settings: Settings,
    /// Settings of the network side.
    pub network: SocketSettings,
    /// The shortest of the versions' longest deadlines.
    pub max_deadline: Duration,
}

#[derive(Debug)]
struct Former {
    version: SettingsVersion,
    valid_until: Instant,
}

/// The newest version of the settings, and the former ones that still apply.
///
/// Clients, endpoints and whoever starts and ends the sidecar take a new version into use at different moments. Until all
/// have, the sidecar keeps within the limits of every version.
#[derive(Debug)]
pub struct SettingsVersions {
    newest: SettingsVersion,
    former: Vec<Former>,
}

impl SettingsVersions {
    /// The versions of a sidecar that starts with this one.
    pub fn new(newest: SettingsVersion) -> SettingsVersions {
        SettingsVersions { newest, former: Vec::new() }
    }

    /// Replaces the newest version, which applies for [`CHANGE_OVERLAP`] longer.
    pub fn replace(&mut self, newest: SettingsVersion, now: Instant) {
        self.expire(now);
        if newest != self.newest {
            let version = std::mem::replace(&mut self.newest, newest);
            self.former.push(Former { version, valid_until: now + CHANGE_OVERLAP });
        }
    }

    /// Drops the former versions that no longer apply.
    pub fn expire(&mut self, now: Instant) {
        self.former.retain(|former| now < former.valid_until);
    }

    /// When the next former version expires.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.former.iter().map(|former| former.valid_until).min()
    }

    /// What all versions permit that have not expired.
    pub fn common(&self) -> CommonSettings {
        let newest = CommonSettings {
            settings: self.newest.settings.clone(),
            network: self.newest.network.clone(),
            max_deadline: self.newest.settings.max_deadline(),
        };
        self.former.iter().fold(newest, |common, former| {
            let version = &former.version;
            let network = SocketSettings {
                idle_timeout: version.network.idle_timeout.min(common.network.idle_timeout),
                connect_timeout: version.network.connect_timeout.min(common.network.connect_timeout),
                ..common.network
            };
            CommonSettings {
                settings: version.settings.intersection(&common.settings),
                network,
                max_deadline: version.settings.max_deadline().min(common.max_deadline),
            }
        })
    }
}
