//! The settings in force: combines the configuration file with what the fleet decides (number of sidecars, shares of the
//! quotas, plan) and applies the result everywhere in one step, so that all parts see one consistent state.

use crate::config::Config;
use crate::endpoint_table::EndpointTable;
use crate::fleet::Fleet;
use crate::frontend::{Frontend, HttpTransport};
use crate::lifecycle::Lifecycle;
use crate::pool::ConnectionPool;
use crate::requests::RequestDriver;
use cometcroft::{Event, ListScope, Settings};
use cometcroft_settings::{Field, SocketSettings};
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
    /// Settings of the file before the fleet's state is applied to them; `None` without a fleet.
    pub file_settings: RefCell<Option<(Settings, SocketSettings)>>,
}

impl<C: HttpTransport> ActiveSettings<C> {
    /// Applies a new configuration file, in one step: nothing is awaited in between.
    pub fn apply_file(&self, config: Config) {
        self.lifecycle.update(|state, _| state.set_max_deadline(config.max_deadline()));
        let Config { settings, network, load_report_fields: fields, .. } = config;
        self.endpoints.set_zones(network.zones.clone());
        self.pool.apply_settings(network.idle_timeout, network.connect_timeout);
        self.fields.replace(fields.into());
        match &self.fleet {
            None => self.frontend.apply_settings(settings, &network.classes, network.tenants),
            Some(_) => {
                self.file_settings.replace(Some((settings, network)));
                self.apply_fleet();
            }
        }
    }

    /// Applies a change of the fleet's state: number of sidecars, shares or plan.
    pub fn apply_fleet(&self) {
        let (file_settings, Some(fleet)) = (self.file_settings.borrow(), &self.fleet) else { return };
        let Some((settings, network)) = &*file_settings else { return };
        let mut settings = settings.clone();
        fleet.apply_to_settings(&mut settings, &network.tenants);
        // The endpoint list is updated before the settings: otherwise the decision module could still choose an endpoint
        // that the new revision excludes.
        let entries = self.endpoints.refresh_adjustments();
        if !entries.is_empty() {
            self.driver.handle_event(Event::EndpointList { scope: ListScope::Changes, entries });
        }
        self.frontend.apply_settings(settings, &network.classes, network.tenants.clone());
        if let Some(plan) = fleet.plan() {
            plan.mark_in_force();
        }
    }
}
