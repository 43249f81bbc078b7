//! The settings in force: combines the versions of the configuration file that apply with what the fleet decides (number of
//! sidecars, shares of the quotas, plan) and applies the result everywhere in one step, so that all parts see one consistent
//! state.

use crate::config::Config;
use crate::endpoint_table::EndpointTable;
use crate::fleet::Fleet;
use crate::frontend::{Frontend, HttpTransport};
use crate::lifecycle::Lifecycle;
use crate::pool::ConnectionPool;
use crate::requests::RequestDriver;
use crate::settings_versions::{CommonSettings, SettingsVersion, SettingsVersions};
use cometcroft::{Event, ListScope};
use cometcroft_platform::Platform;
use cometcroft_settings::Field;
use std::cell::RefCell;
use std::rc::Rc;

/// The parts of a sidecar that settings are applied to.
pub(crate) struct ActiveSettings<C: HttpTransport> {
    pub frontend: Rc<Frontend<C>>,
    pub driver: Rc<RequestDriver<C>>,
    pub endpoints: Rc<EndpointTable>,
    pub pool: Rc<ConnectionPool<C::Platform>>,
    pub lifecycle: Rc<Lifecycle<C::Platform>>,
    pub fields: Rc<RefCell<Rc<[Field]>>>,
    pub fleet: Option<Rc<Fleet<C::Platform>>>,
    /// The versions of the file, before the fleet's state is applied to them.
    pub versions: RefCell<SettingsVersions>,
}

impl<C: HttpTransport> ActiveSettings<C> {
    /// Applies a new configuration file, in one step: nothing is awaited in between.
    pub fn apply_file(&self, config: Config) {
        let Config { mut settings, network, load_report_fields: fields, .. } = config;
        self.endpoints.zones().apply_to_settings(&mut settings, &network.zones);
        self.fields.replace(fields.into());
        let now = self.driver.platform().now();
        self.versions.borrow_mut().replace(SettingsVersion { settings, network }, now);
        self.apply();
    }

    /// Applies what the versions of the file have in common, and the fleet's state: number of sidecars, shares and plan.
    pub fn apply(&self) {
        self.versions.borrow_mut().expire(self.driver.platform().now());
        let CommonSettings { mut settings, network, max_deadline } = self.versions.borrow().common();
        self.lifecycle.update(|state, _| state.set_max_deadline(max_deadline));
        self.pool.apply_settings(network.idle_timeout, network.connect_timeout);
        if let Some(fleet) = &self.fleet {
            fleet.apply_to_settings(&mut settings, &network.tenants);
        }
        // The endpoint list is updated before the settings: otherwise the decision module could still choose an endpoint
        // that the new revision excludes.
        let entries = self.endpoints.refresh_adjustments();
        if !entries.is_empty() {
            self.driver.handle_event(Event::EndpointList { scope: ListScope::Changes, entries });
        }
        self.frontend.apply_settings(settings, &network.classes, network.tenants);
        if let Some(plan) = self.fleet.as_ref().and_then(|fleet| fleet.plan()) {
            plan.mark_in_force();
        }
    }

    /// Waits until a former version of the file has expired; forever if there is none.
    pub async fn version_expired(&self) {
        let expiry = self.versions.borrow().next_expiry();
        match expiry {
            Some(at) => self.driver.platform().sleep_until(at).await,
            None => std::future::pending().await,
        }
    }
}
