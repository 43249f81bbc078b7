//! The decision module of a client-side load balancer for service-to-service traffic.
//!
//! [`Balancer`] does no I/O: the host passes it events with their time and carries out the actions that it
//! returns.
//!
//! ```
//! use cometcroft::*;
//! use std::time::Duration;
//!
//! let settings = Settings::example();
//! let mut balancer = Balancer::new(settings, 7)?;
//! let mut actions = Vec::new();
//! let now = Duration::from_secs(1);
//! balancer.handle(now, Event::Start, &mut actions);
//! let entry = EndpointEntry {
//!     endpoint: EndpointId(0),
//!     key: 0,
//!     cell: CellId(0),
//!     zone: ZoneId(0),
//!     started: None,
//!     state: EndpointState::Ready,
//!     weight: 1.0,
//! };
//! let list = Event::EndpointList { scope: ListScope::Complete, entries: vec![entry] };
//! balancer.handle(now, list, &mut actions);
//! actions.clear();
//! let request = Event::Request {
//!     request: RequestId(1),
//!     class: ClassId(0),
//!     tenant: None,
//!     time_left: Duration::from_secs(1),
//!     work_hint: None,
//!     client_retry: false,
//! };
//! balancer.handle(now, request, &mut actions);
//! assert!(matches!(actions[0], Action::Send { endpoint: EndpointId(0), .. }));
//! # Ok::<(), SettingsError>(())
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod interface;
mod intersection;
mod policy;

pub use interface::*;
pub use policy::Balancer;
