//! Reload of the configuration on SIGHUP: a new file is compared with the one in force and applied completely or not at all.

use crate::config::{Config, ConfigError};
use crate::counters::{Counters, count};
use crate::discovery::Source;
use serde_json::Value;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::Notify;

/// Passes new configurations to a running sidecar.
#[derive(Debug)]
pub struct ConfigReloader {
    /// The address and mode of discovery.
    pub discovery_source: Rc<Source>,
    in_force: RefCell<Rc<Value>>,
    /// Configurations that are not applied yet, in their order.
    pending: RefCell<VecDeque<Config>>,
    available: Notify,
}

impl ConfigReloader {
    /// The reloader of a sidecar that starts with this configuration.
    pub fn new(config: &Config) -> Rc<ConfigReloader> {
        Rc::new(ConfigReloader {
            discovery_source: Source::new(config.discovery, &config.settings),
            in_force: RefCell::new(config.document.clone()),
            pending: RefCell::default(),
            available: Notify::new(),
        })
    }

    /// Accepts the result of reading the configuration again. An error is counted and returned, and the configuration in
    /// force stays.
    pub fn reload(&self, read: Result<Config, ConfigError>, counters: &Counters) -> Result<(), ConfigError> {
        // An invalid file must not stop a running sidecar. A file that was truncated or edited badly may still be valid by
        // itself, with defaults in place of the missing fields, so a field may not disappear.
        let read = read.and_then(|config| match missing_key(&self.in_force.borrow(), &config.document) {
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
                self.pending.borrow_mut().push_back(config);
                self.available.notify_one();
                Ok(())
            }
            Err(error) => {
                count(&counters.reload_failures);
                Err(error)
            }
        }
    }

    /// Waits for the next configuration to apply. None is left out: each binds for a while after its replacement.
    pub async fn next_config(&self) -> Config {
        loop {
            let next = self.pending.borrow_mut().pop_front();
            if let Some(config) = next {
                return config;
            }
            self.available.notified().await;
        }
    }
}

/// The path of the first key of an object in `old` that is missing in `new`. Arrays may differ in their elements, but
/// elements with the same name are compared.
fn missing_key(old: &Value, new: &Value) -> Option<String> {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => old.iter().find_map(|(key, old)| match new.get(key) {
            None => Some(key.clone()),
            // Entries of the endpoint list come and go, and their fields with them.
            Some(_) if key == "known" => None,
            Some(new) => missing_key(old, new).map(|path| format!("{key}.{path}")),
        }),
        (Value::Array(old), Value::Array(new)) => {
            let name = |value: &Value| value.get("name").and_then(Value::as_str).map(str::to_owned);
            old.iter().find_map(|old| {
                let old_name = name(old)?;
                let new = new.iter().find(|new| name(new).as_ref() == Some(&old_name))?;
                // A class with another effect has other keys.
                if old.get("effect").is_some() && old.get("effect") != new.get("effect") {
                    return None;
                }
                missing_key(old, new).map(|path| format!("{old_name}.{path}"))
            })
        }
        _ => None,
    }
}
