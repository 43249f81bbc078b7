//! What the sidecar is told at its start: the environment and the file that `LB_CONFIG` names.

use cometcroft::Settings;
use cometcroft_settings::{Field, SocketSettings, hash, read_settings, read_socket_settings};
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A field of the configuration that is missing or makes no sense.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError {
    /// Which field, or variable of the environment.
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

fn bad(field: &str, reason: impl fmt::Display) -> ConfigError {
    // One line, whatever a parser had to say.
    ConfigError { field: field.to_owned(), reason: reason.to_string().replace('\n', " ") }
}

/// The text of the file that `LB_CONFIG` names.
fn text(var: impl Fn(&str) -> Option<String>) -> Result<String, ConfigError> {
    let path = var("LB_CONFIG").ok_or_else(|| bad("LB_CONFIG", "is not set"))?;
    std::fs::read_to_string(&path).map_err(|e| bad("LB_CONFIG", e))
}

/// The configuration of one sidecar.
#[derive(Debug, Clone)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call, if anywhere.
    pub ops: Option<SocketAddr>,
    /// The number of the listening socket, if it is inherited.
    pub socket: Option<i32>,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// File descriptors that it may hold.
    pub sockets: usize,
    /// Bytes of memory that it may use.
    pub memory: usize,
    /// The list of backend servers as last held, in discovery's form.
    pub known: Value,
    /// What the module is told.
    pub settings: Settings,
    /// The values that load reports hold.
    pub fields: Vec<Field>,
    /// What the sockets need of the settings.
    pub net: SocketSettings,
    /// The whole file, without the list.
    pub text: Rc<Value>,
}

impl Config {
    /// Reads the environment through `var`, and the file that it names.
    pub fn load(var: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        Config::parse(&text(&var)?, var)
    }

    /// The longest time that a client waits.
    pub fn longest_deadline(&self) -> Duration {
        self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
    }

    /// Reads the file again. Danger: what the environment said of discovery at the start would hide where the
    /// new file says that it has moved to, so there the file goes first.
    pub fn reload(var: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let value: Value = serde_json::from_str(&text(&var)?).map_err(|e| bad("LB_CONFIG", e))?;
        let told = value.get("discovery").is_some();
        Config::read(value, |name| var(name).filter(|_| !told || name != "LB_DISCOVERY"))
    }

    /// Reads the configuration's text; what the environment says goes before it.
    pub fn parse(text: &str, var: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        Config::read(serde_json::from_str(text).map_err(|e| bad("LB_CONFIG", e))?, var)
    }

    fn read(mut value: Value, var: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let told = |name: &str, field: &str| -> Result<String, ConfigError> {
            let file = || value.get(field).and_then(Value::as_str).map(str::to_owned);
            var(name).or_else(file).ok_or_else(|| bad(field, "is missing"))
        };
        let address = |name: &str, field: &str| -> Result<SocketAddr, ConfigError> {
            told(name, field)?.parse().map_err(|e| bad(field, e))
        };
        let ops = match var("LB_OPS").or_else(|| value.get("ops").and_then(Value::as_str).map(str::to_owned))
        {
            Some(ops) => Some(ops.parse().map_err(|e| bad("ops", e))?),
            None if value.get("ops").is_some_and(|ops| !ops.is_null()) => {
                return Err(bad("ops", "is no address"));
            }
            None => None,
        };
        let socket = var("LB_SOCKET_FD").map(|number| number.trim().parse()).transpose();
        let seed = value.get("seed").and_then(Value::as_str).ok_or_else(|| bad("seed", "is missing"))?;
        let seed = u64::from_str_radix(seed, 16).unwrap_or_else(|_| hash(seed));
        let settings = value.get("settings").ok_or_else(|| bad("settings", "is missing"))?;
        let (mut module, fields) = read_settings(settings).map_err(|e| bad("settings", e))?;
        // The simulator's clients may be deaf to advice; on sockets any refusal may carry `Retry-After`,
        // so the module is asked for it: who is denied is told when to come back.
        module.limits.retry_after = true;
        // The session table has one dispatch of a session out at most. Danger: a module that may send second copies has
        // them declined, which uses up attempts, and never moves a request away from a backend server that is silent.
        module.limits.hedging = false;
        module.validate().map_err(|e| bad("settings", e))?;
        let sockets = value.pointer("/limits/sockets").and_then(Value::as_u64).unwrap_or(1024);
        if sockets < 64 {
            return Err(bad("limits.sockets", "must be at least 64"));
        }
        let memory = value.pointer("/limits/memory_mb").and_then(Value::as_u64).unwrap_or(192);
        let (name, listen) = (told("LB_NAME", "name")?, address("LB_LISTEN", "listen")?);
        let discovery = address("LB_DISCOVERY", "discovery")?;
        let net = read_socket_settings(settings).map_err(|e| bad("settings", e))?;
        // Thousands of endpoints: held once, and only until they are taken over.
        let known = value.get_mut("known").map(Value::take).unwrap_or(Value::Null);
        Ok(Config {
            name,
            listen,
            ops,
            socket: socket.map_err(|e| bad("LB_SOCKET_FD", e))?,
            discovery,
            seed,
            sockets: sockets.min(1 << 20) as usize,
            memory: memory.min(1 << 20) as usize * 1_000_000,
            known,
            settings: module,
            fields,
            net,
            text: Rc::new(value),
        })
    }
}
