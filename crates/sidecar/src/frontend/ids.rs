//! Keeps requests from running twice under one id, in this process and, during an upgrade, in the other one.

use super::{Frontend, HttpTransport};
use crate::attempt::ForwardedRequest;
use crate::counters::count;
use crate::id_log::IdLog;
use crate::request_ids::{IdError, RequestIds, needed_time};
use bytes::Bytes;
use cometcroft::Effect;
use cometcroft_platform::Platform;
use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

/// Time for which an id that another process has accepted meanwhile is needed.
const OTHER_PROCESS_RETENTION: Duration = Duration::from_secs(10);

/// The ids of the requests that a frontend serves or has served.
#[derive(Debug)]
pub struct RequestIdRegistry {
    ids: RequestIds,
    log: Option<RefCell<IdLog>>,
}

impl RequestIdRegistry {
    /// Creates a registry that uses at most `memory` bytes for ids of requests that have ended, and shares them with other
    /// processes through files in `directory`, if there is one.
    pub fn new(memory: usize, directory: Option<PathBuf>) -> RequestIdRegistry {
        let log = directory.map(|directory| RefCell::new(IdLog::new(directory)));
        RequestIdRegistry { ids: RequestIds::new(memory), log }
    }
}

impl<T: HttpTransport> Frontend<T> {
    /// Takes a request's id until its end. Endpoints could not tell two open requests with one id apart, and would take one
    /// for a copy of the other.
    pub(super) fn take_id(
        &self,
        id: Bytes,
        request: &Rc<ForwardedRequest>,
    ) -> Result<OpenRequestId<'_, T>, IdError> {
        let classes = self.classes.borrow();
        let class = classes.class(request.class);
        let effect = class.map_or(Effect::Unsafe, |class| class.effect);
        let time_budget = request.request.time_budget().unwrap_or_default();
        let needed = class.map_or(Duration::ZERO, |class| needed_time(class, time_budget));
        let repeatable = effect == Effect::Safe;
        let taken = self.ids.ids.open(&id, repeatable, self.platform.now()).and_then(|()| {
            let open = OpenRequestId { frontend: self, id, request: request.clone(), repeatable, needed };
            if !repeatable && self.is_known_elsewhere(&open.id) { Err(IdError::Repeated) } else { Ok(open) }
        });
        match taken {
            Err(IdError::Repeated) => count(&self.counters.repeated_ids),
            Err(IdError::NoRoom) => count(&self.counters.unremembered_ids),
            Ok(_) => {}
        }
        taken
    }

    /// Shares an id with the other processes; returns whether one of them has accepted a request with it. An error is counted
    /// and the id is served: clients hardly ever repeat one, and a full directory must not end the service.
    fn is_known_elsewhere(&self, id: &Bytes) -> bool {
        let Some(log) = &self.ids.log else { return false };
        let mut log = log.borrow_mut();
        // Those of a former process are kept as far as there is room, which this process needs for its own.
        let needed = if log.has_read() { OTHER_PROCESS_RETENTION } else { Duration::ZERO };
        let (appended, now) = (log.append(id), self.platform.now());
        let read = log.read_others(|other| self.ids.ids.remember(other, needed, now));
        if let Err(error) = appended.and(read) {
            count(&self.counters.unshared_ids);
            tracing::debug!(%error, "the id could not be shared; make room in TMPDIR");
        }
        self.ids.ids.may_have_run(id)
    }
}

/// The id of an open request. When it is dropped, the id is remembered if the request may have run and must not run again.
pub(super) struct OpenRequestId<'a, T: HttpTransport> {
    frontend: &'a Frontend<T>,
    id: Bytes,
    request: Rc<ForwardedRequest>,
    repeatable: bool,
    /// Time for which the id is needed after the request has ended.
    needed: Duration,
}

impl<T: HttpTransport> Drop for OpenRequestId<'_, T> {
    fn drop(&mut self) {
        let ids = &self.frontend.ids.ids;
        if !self.repeatable && self.request.possible_runs.get() > 0 {
            ids.remember(&self.id, self.needed, self.frontend.platform.now());
        }
        ids.close(&self.id);
    }
}
