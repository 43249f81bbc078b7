//! Deduplication: the endpoints at which a keyed request that may have run is not run again.

use super::Balancer;
use super::request::Request;
use super::table::Endpoint;
use crate::interface::*;

impl Balancer {
    /// Returns true if an endpoint discards duplicates of every attempt of the request that may have run.
    /// Where an endpoint has got another zone or cell since the attempt was sent, either list may be the true
    /// one, so nothing is known to be shared.
    pub(super) fn discards_duplicates(
        &self,
        id: EndpointId,
        endpoint: &Endpoint,
        request: &Request,
        scope: DedupScope,
    ) -> bool {
        if scope == DedupScope::All {
            return true;
        }
        let mut attempts = request.attempts.iter().filter(|attempt| !attempt.never_ran);
        attempts.all(|attempt| {
            let Some(ran) = self.endpoint(attempt.endpoint) else { return false };
            let unmoved = !ran.moved_after(attempt.sent) && !endpoint.moved_after(attempt.sent);
            let same_zone = endpoint.entry.zone == ran.entry.zone;
            let same_cell = endpoint.entry.cell == ran.entry.cell;
            attempt.endpoint == id || unmoved && scope.covers(same_zone, same_cell)
        })
    }
}
