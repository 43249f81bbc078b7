//! The configuration of a sidecar, read from the environment and from the file that `LB_CONFIG` names.

use cometcroft::Settings;
use cometcroft_settings::{Field, SocketSettings, hash, read_settings, read_socket_settings};
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

/// A field of the configuration is missing or invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError {
    /// The field, or the environment variable.
    pub field: String,
    /// What is wrong with it.
    pub reason: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

impl std::error::Error for ConfigError {}

fn invalid(field: &str, reason: impl fmt::Display) -> ConfigError {
    // Operators' tools read one line; parsers may report several.
    ConfigError { field: field.to_owned(), reason: reason.to_string().replace('\n', " ") }
}

/// Reads the file that `LB_CONFIG` names.
fn read_file(var: impl Fn(&str) -> Option<String>) -> Result<String, ConfigError> {
    let path = var("LB_CONFIG").ok_or_else(|| invalid("LB_CONFIG", "is not set"))?;
    std::fs::read_to_string(&path).map_err(|e| invalid("LB_CONFIG", e))
}

/// The configuration of one sidecar.
#[derive(Debug, Clone)]
pub struct Config {
    /// The sidecar's name.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The address of the operations endpoint, if there is one.
    pub ops: Option<SocketAddr>,
    /// The file descriptor of the listening socket, if it is inherited.
    pub inherited_socket: Option<i32>,
    /// The directory in which the processes of an upgrade share the ids of their requests: `TMPDIR`, where the listening
    /// socket is inherited.
    pub id_directory: Option<PathBuf>,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Maximum number of open file descriptors.
    pub max_sockets: usize,
    /// Maximum memory, in bytes.
    pub memory_bytes: usize,
    /// The last known endpoint list, in the format of discovery.
    pub known_endpoints: Value,
    /// Settings of the decision module.
    pub settings: Settings,
    /// The fields of a load report.
    pub load_report_fields: Vec<Field>,
    /// Settings of the network side.
    pub network: SocketSettings,
    /// The whole file, without the endpoint list.
    pub document: Rc<Value>,
}

impl Config {
    /// Reads the environment through `var`, and the file that `LB_CONFIG` names.
    pub fn load(var: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        Config::parse(&read_file(&var)?, var)
    }

    /// The longest deadline of any request class.
    pub fn max_deadline(&self) -> Duration {
        self.settings.max_deadline()
    }

    /// Reads the file again. Its address of discovery takes precedence over `LB_DISCOVERY`: the environment, fixed at the
    /// start, would otherwise hide that discovery has moved.
    pub fn reload(var: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let value: Value = serde_json::from_str(&read_file(&var)?).map_err(|e| invalid("LB_CONFIG", e))?;
        let has_discovery = value.get("discovery").is_some();
        Config::from_value(value, |name| var(name).filter(|_| !has_discovery || name != "LB_DISCOVERY"))
    }

    /// Parses the text of the file; environment variables take precedence over it.
    pub fn parse(text: &str, var: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        Config::from_value(serde_json::from_str(text).map_err(|e| invalid("LB_CONFIG", e))?, var)
    }

    fn from_value(mut value: Value, var: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let text = |name: &str, field: &str| -> Result<String, ConfigError> {
            let file = || value.get(field).and_then(Value::as_str).map(str::to_owned);
            var(name).or_else(file).ok_or_else(|| invalid(field, "is missing"))
        };
        let address = |name: &str, field: &str| -> Result<SocketAddr, ConfigError> {
            text(name, field)?.parse().map_err(|e| invalid(field, e))
        };
        let ops = match var("LB_OPS").or_else(|| value.get("ops").and_then(Value::as_str).map(str::to_owned))
        {
            Some(ops) => Some(ops.parse().map_err(|e| invalid("ops", e))?),
            None if value.get("ops").is_some_and(|ops| !ops.is_null()) => {
                return Err(invalid("ops", "is no address"));
            }
            None => None,
        };
        let inherited_socket = var("LB_SOCKET_FD").map(|number| number.trim().parse()).transpose();
        let id_directory = inherited_socket
            .as_ref()
            .is_ok_and(Option::is_some)
            .then(|| var("TMPDIR"))
            .flatten()
            .map(PathBuf::from);
        let seed = value.get("seed").and_then(Value::as_str).ok_or_else(|| invalid("seed", "is missing"))?;
        let seed = u64::from_str_radix(seed, 16).unwrap_or_else(|_| hash(seed));
        let settings = value.get("settings").ok_or_else(|| invalid("settings", "is missing"))?;
        let (mut module_settings, load_report_fields) =
            read_settings(settings).map_err(|e| invalid("settings", e))?;
        // In the simulator, clients may ignore Retry-After, so settings may disable it; over HTTP any rejection may carry the
        // header, so rejected clients always learn when to retry.
        module_settings.limits.retry_after = true;
        // The request table runs one attempt of a request at a time. With hedging, the module's hedged attempts would be
        // declined, which uses up attempts, and a request would never move away from an endpoint that does not respond.
        module_settings.limits.hedging = false;
        module_settings.validate().map_err(|e| invalid("settings", e))?;
        let max_sockets = value.pointer("/limits/sockets").and_then(Value::as_u64).unwrap_or(1024);
        if max_sockets < 64 {
            return Err(invalid("limits.sockets", "must be at least 64"));
        }
        let memory_mb = value.pointer("/limits/memory_mb").and_then(Value::as_u64).unwrap_or(192);
        let (name, listen) = (text("LB_NAME", "name")?, address("LB_LISTEN", "listen")?);
        let discovery = address("LB_DISCOVERY", "discovery")?;
        let network = read_socket_settings(settings).map_err(|e| invalid("settings", e))?;
        // The list may have thousands of entries: it is held once, and only until it has been applied.
        let known_endpoints = value.get_mut("known").map(Value::take).unwrap_or(Value::Null);
        Ok(Config {
            name,
            listen,
            ops,
            id_directory,
            inherited_socket: inherited_socket.map_err(|e| invalid("LB_SOCKET_FD", e))?,
            discovery,
            seed,
            max_sockets: max_sockets.min(1 << 20) as usize,
            memory_bytes: memory_mb.min(1 << 20) as usize * 1_000_000,
            known_endpoints,
            settings: module_settings,
            load_report_fields,
            network,
            document: Rc::new(value),
        })
    }
}
