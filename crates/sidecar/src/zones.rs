//! The numbers of zones. No I/O.

use cometcroft::{Settings, ZoneId};
use std::cell::RefCell;

/// Numbers zone names in the order in which they first appear, in the settings or in an endpoint list.
///
/// A name keeps its number for the life of the process: entries that were numbered under former settings stay comparable
/// with those listed later, whichever zones the settings name, and in whichever order. Names are never removed; a service
/// has few zones.
#[derive(Debug)]
pub struct ZoneNumbers {
    names: RefCell<Vec<String>>,
}

impl ZoneNumbers {
    /// Numbers these names in their order.
    pub fn new(names: &[String]) -> ZoneNumbers {
        let numbers = ZoneNumbers { names: RefCell::default() };
        for name in names {
            numbers.number_of(name);
        }
        numbers
    }

    /// The number of a zone; a new name gets the next one.
    pub fn number_of(&self, name: &str) -> ZoneId {
        let mut names = self.names.borrow_mut();
        let known = names.iter().position(|known| known == name);
        ZoneId(known.unwrap_or_else(|| {
            names.push(name.to_owned());
            names.len() - 1
        }))
    }

    /// Replaces the sidecar's zone in the settings, an index into the zones that they name, by its number here.
    pub fn apply_to_settings(&self, settings: &mut Settings, names: &[String]) {
        for name in names {
            self.number_of(name);
        }
        if let Some(name) = names.get(settings.zone.0) {
            settings.zone = self.number_of(name);
        }
        settings.zones = settings.zones.max(settings.zone.0 + 1);
    }

    /// The name of a zone; empty for a number that stands for no name.
    pub fn name_of(&self, zone: ZoneId) -> String {
        self.names.borrow().get(zone.0).cloned().unwrap_or_default()
    }
}
