//! What is in force: the one owner that composes the file, the count of those at work, the fleet's parts and its plan
//! into one consistent whole, and hands it out in one step.

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

/// What is put in force where.
pub(crate) struct ActiveSettings<C: HttpTransport> {
    pub frontend: Rc<Frontend<C>>,
    pub host: Rc<RequestDriver<C>>,
    pub endpoints: Rc<EndpointTable>,
    pub pool: Rc<ConnectionPool<C::Platform>>,
    pub lifecycle: Rc<Lifecycle<C::Platform>>,
    pub fields: Rc<RefCell<Rc<[Field]>>>,
    pub fleet: Option<Rc<Fleet<C::Platform>>>,
    /// What the file says, but for what is the fleet's to tell; kept where there is a fleet.
    pub file_settings: RefCell<Option<(Settings, SocketSettings)>>,
}

impl<C: HttpTransport> ActiveSettings<C> {
    /// A new file. One step: nothing is awaited between the first and the last of these.
    pub fn apply_file(&self, config: Config) {
        self.lifecycle.update(|state, _| state.set_max_deadline(config.max_deadline()));
        let Config { settings, network: net, load_report_fields: fields, .. } = config;
        self.endpoints.set_zones(net.zones.clone());
        self.pool.apply_settings(net.idle_timeout, net.connect_timeout);
        self.fields.replace(fields.into());
        match &self.fleet {
            None => self.frontend.apply_settings(settings, &net.classes, net.tenants),
            Some(_) => {
                self.file_settings.replace(Some((settings, net)));
                self.apply_fleet();
            }
        }
    }

    /// The fleet tells something else: how many are at work, this one's parts, the plan.
    pub fn apply_fleet(&self) {
        let (file_settings, Some(fleet)) = (self.file_settings.borrow(), &self.fleet) else { return };
        let Some((settings, net)) = &*file_settings else { return };
        let mut settings = settings.clone();
        fleet.apply_to_settings(&mut settings, &net.tenants);
        // Danger: a bar that the module hears of before the list is stricter would be tried all the same.
        let entries = self.endpoints.refresh_adjustments();
        if !entries.is_empty() {
            self.host.handle_event(Event::EndpointList { scope: ListScope::Changes, entries });
        }
        self.frontend.apply_settings(settings, &net.classes, net.tenants.clone());
        if let Some(plan) = fleet.plan() {
            plan.mark_in_force();
        }
    }
}
