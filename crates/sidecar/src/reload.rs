//! What SIGHUP brings: a file is held against the one in force, and put in force whole or not at all.

use crate::config::{Config, ConfigError};
use crate::counters::{Counters, count};
use crate::discovery::Source;
use serde_json::Value;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Hands new configurations to a running sidecar.
#[derive(Debug)]
pub struct ConfigReloader {
    /// Where discovery answers.
    pub discovery_source: Rc<Source>,
    in_force: RefCell<Rc<Value>>,
    next: RefCell<Option<Config>>,
    came: Notify,
}

impl ConfigReloader {
    /// For a sidecar that starts with this configuration.
    pub fn new(config: &Config) -> Rc<ConfigReloader> {
        Rc::new(ConfigReloader {
            discovery_source: Source::new(config.discovery, &config.settings),
            in_force: RefCell::new(config.document.clone()),
            next: RefCell::default(),
            came: Notify::new(),
        })
    }

    /// Takes over what was read. An error is counted and handed back, and the old configuration stays in force.
    pub fn reload(&self, read: Result<Config, ConfigError>, counters: &Counters) -> Result<(), ConfigError> {
        // Danger: a file that makes no sense must not take down what serves, and one that was cut or edited badly may
        // make sense by itself: what it lacks would be made up from defaults.
        let read = read.and_then(|config| match lacks(&self.in_force.borrow(), &config.document) {
            Some(field) => {
                Err(ConfigError { field, reason: "is missing, and the file in force has it".into() })
            }
            None => Ok(config),
        });
        match read {
            Ok(config) => {
                count(&counters.reloads);
                self.in_force.replace(config.document.clone());
                self.discovery_source.move_to(config.discovery, &config.settings);
                self.next.replace(Some(config));
                self.came.notify_one();
                Ok(())
            }
            Err(error) => {
                count(&counters.reload_failures);
                Err(error)
            }
        }
    }

    /// The next configuration to put in force.
    pub async fn next_config(&self) -> Config {
        loop {
            if let Some(config) = self.next.take() {
                return config;
            }
            self.came.notified().await;
        }
    }
}

/// The first key of an object in `old` that is not in `new`, by its place. Lists may change as they like, but the
/// objects of one name in two lists are held against each other.
fn lacks(old: &Value, new: &Value) -> Option<String> {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => old.iter().find_map(|(key, old)| match new.get(key) {
            None => Some(key.clone()),
            // Entries of the list of backend servers come and go, and their fields with them.
            Some(_) if key == "known" => None,
            Some(new) => lacks(old, new).map(|place| format!("{key}.{place}")),
        }),
        (Value::Array(old), Value::Array(new)) => {
            let name = |value: &Value| value.get("name").and_then(Value::as_str).map(str::to_owned);
            old.iter().find_map(|old| {
                let name_of = name(old)?;
                let new = new.iter().find(|new| name(new).as_ref() == Some(&name_of))?;
                // A class of another effect has other keys.
                if old.get("effect").is_some() && old.get("effect") != new.get("effect") {
                    return None;
                }
                lacks(old, new).map(|place| format!("{name_of}.{place}"))
            })
        }
        _ => None,
    }
}
