//! What is in force: the one owner that composes the file, the count of those at work, the fleet's parts and its plan
//! into one consistent whole, and hands it out in one step.

use crate::backend::Pool;
use crate::config::Config;
use crate::directory::Directory;
use crate::fleet::Fleet;
use crate::frontend::{Frontend, HttpBackend};
use crate::lifecycle::Lifecycle;
use crate::session::Host;
use cometcroft::{Event, ListScope, Settings};
use cometcroft_settings::{Field, Sockets};
use std::cell::RefCell;
use std::rc::Rc;

/// What is put in force where.
pub(crate) struct Force<C: HttpBackend> {
    pub frontend: Rc<Frontend<C>>,
    pub host: Rc<Host<C>>,
    pub directory: Rc<Directory>,
    pub pool: Rc<Pool<C::Platform>>,
    pub lifecycle: Rc<Lifecycle<C::Platform>>,
    pub fields: Rc<RefCell<Rc<[Field]>>>,
    pub fleet: Option<Rc<Fleet<C::Platform>>>,
    /// What the file says, but for what is the fleet's to tell; kept where there is a fleet.
    pub said: RefCell<Option<(Settings, Sockets)>>,
}

impl<C: HttpBackend> Force<C> {
    /// A new file. One step: nothing is awaited between the first and the last of these.
    pub fn file(&self, config: Config) {
        self.lifecycle.update(|state, _| state.set_max_deadline(config.max_deadline()));
        let Config { settings, network: net, load_report_fields: fields, .. } = config;
        self.directory.retune(net.zones.clone());
        self.pool.retune(net.idle, net.connect_timeout);
        self.fields.replace(fields.into());
        match &self.fleet {
            None => self.frontend.retune(settings, &net.classes, net.tenants),
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
        let entries = self.directory.judge();
        if !entries.is_empty() {
            self.host.tell(Event::EndpointList { scope: ListScope::Changes, entries });
        }
        self.frontend.retune(settings, &net.classes, net.tenants.clone());
        if let Some(accord) = fleet.accord() {
            accord.put_in_force();
        }
    }
}
