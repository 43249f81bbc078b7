//! What is in force: the one owner that composes the file, the count of those at work, the fleet's parts and its plan
//! into one consistent whole, and hands it out in one step.

use crate::config::Config;
use crate::endpoint_table::EndpointTable;
use crate::fleet::Fleet;
use crate::frontend::{Frontend, HttpTransport};
use crate::lifecycle::Life;
use crate::pool::ConnectionPool;
use crate::requests::RequestDriver;
use cometcroft::{Event, ListScope, Settings};
use cometcroft_settings::{Field, SocketSettings};
use std::cell::RefCell;
use std::rc::Rc;

/// What is put in force where.
pub(crate) struct Force<C: HttpTransport> {
    pub frontend: Rc<Frontend<C>>,
    pub host: Rc<RequestDriver<C>>,
    pub endpoints: Rc<EndpointTable>,
    pub pool: Rc<ConnectionPool<C::Platform>>,
    pub life: Rc<Life<C::Platform>>,
    pub fields: Rc<RefCell<Rc<[Field]>>>,
    pub fleet: Option<Rc<Fleet<C::Platform>>>,
    /// What the file says, but for what is the fleet's to tell; kept where there is a fleet.
    pub said: RefCell<Option<(Settings, SocketSettings)>>,
}

impl<C: HttpTransport> Force<C> {
    /// A new file. One step: nothing is awaited between the first and the last of these.
    pub fn file(&self, config: Config) {
        self.life.tell(|machine, _| machine.longest(config.longest_deadline()));
        let Config { settings, net, fields, .. } = config;
        self.endpoints.set_zones(net.zones.clone());
        self.pool.apply_settings(net.idle_timeout, net.connect_timeout);
        self.fields.replace(fields.into());
        match &self.fleet {
            None => self.frontend.apply_settings(settings, &net.classes, net.tenants),
            Some(_) => {
                self.said.replace(Some((settings, net)));
                self.fleet();
            }
        }
    }

    /// The fleet tells something else: how many are at work, this one's parts, the plan.
    pub fn fleet(&self) {
        let (said, Some(fleet)) = (self.said.borrow(), &self.fleet) else { return };
        let Some((settings, net)) = &*said else { return };
        let mut settings = settings.clone();
        fleet.settle(&mut settings, &net.tenants);
        // Danger: a bar that the module hears of before the list is stricter would be tried all the same.
        let entries = self.endpoints.refresh_adjustments();
        if !entries.is_empty() {
            self.host.handle_event(Event::EndpointList { scope: ListScope::Changes, entries });
        }
        self.frontend.apply_settings(settings, &net.classes, net.tenants.clone());
        if let Some(accord) = fleet.accord() {
            accord.put_in_force();
        }
    }
}
