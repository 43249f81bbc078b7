//! The network of a fleet: zones that belong to regions, and the links between them.

use cometcroft_tomlfile::{Span, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// `[network]`: the zones of each region and the links between zones. Virtual clock only, because real processes
/// run on one machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NetworkSection {
    /// Zones of each region. Every zone of the fleet belongs to exactly one region.
    pub regions: BTreeMap<String, Vec<String>>,
    /// Link between two zones of one region.
    #[serde(default)]
    pub inside: LinkSection,
    /// Link between two regions.
    pub between: LinkSection,
}

/// A link between two hosts, in one direction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename = "WaySection", deny_unknown_fields, default)]
pub struct LinkSection {
    /// Minimum delay.
    pub delay: Time,
    /// Maximum further delay beyond `delay`.
    pub jitter: Time,
    /// Share of datagrams lost.
    pub loss: Span,
}

impl Default for LinkSection {
    /// The defaults suit two zones of one region.
    fn default() -> LinkSection {
        LinkSection { delay: Time(0.002, 0.002), jitter: Time(0.001, 0.001), loss: Span(0.0, 0.0) }
    }
}

/// An invalid field: its name and the reason.
type FieldError = (&'static str, &'static str);

impl NetworkSection {
    /// Checks constraints that span several fields, for a fleet with these zones.
    pub(crate) fn check(&self, zones: &[String]) -> Result<(), FieldError> {
        let named: Vec<&String> = self.regions.values().flatten().collect();
        if named.iter().any(|zone| !zones.contains(zone)) {
            return Err(("regions", "must name zones of the fleet"));
        }
        if zones.iter().any(|zone| named.iter().filter(|named| **named == zone).count() != 1) {
            return Err(("regions", "must name every zone of the fleet once"));
        }
        if self.inside.loss.1 > 1.0 || self.between.loss.1 > 1.0 {
            return Err(("loss", "is at most 1"));
        }
        Ok(())
    }

    /// Draws a network; `time` and `figure` draw a time and a number from a range.
    pub(crate) fn draw(
        &self,
        zones: &[String],
        mut time: impl FnMut(Time) -> Duration,
        mut figure: impl FnMut(Span) -> f64,
    ) -> NetworkPlan {
        let mut way =
            |of: &LinkSection| Link { delay: time(of.delay), jitter: time(of.jitter), loss: figure(of.loss) };
        let region = |zone: &String| self.regions.values().position(|zones| zones.contains(zone));
        NetworkPlan {
            regions: self.regions.keys().cloned().collect(),
            region_of_zone: zones.iter().map(|zone| region(zone).unwrap_or_default()).collect(),
            inside: way(&self.inside),
            between: way(&self.between),
        }
    }
}

/// A link between two hosts, as drawn.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Link {
    /// Minimum delay.
    pub delay: Duration,
    /// Maximum further delay beyond `delay`.
    pub jitter: Duration,
    /// Share of datagrams lost.
    pub loss: f64,
}

/// The network, as drawn.
#[derive(Debug, Clone, PartialEq)]
pub struct NetworkPlan {
    /// Names of the regions.
    pub regions: Vec<String>,
    /// Index of the region of each zone.
    pub region_of_zone: Vec<usize>,
    /// Link between two zones of one region.
    pub inside: Link,
    /// Link between two regions.
    pub between: Link,
}

impl NetworkPlan {
    /// Returns the link from one zone to another, or `None` within a zone.
    pub fn way(&self, from: usize, to: usize) -> Option<&Link> {
        if from == to {
            return None;
        }
        let region = |zone: usize| self.region_of_zone.get(zone);
        Some(if region(from) == region(to) { &self.inside } else { &self.between })
    }

    /// Returns the index of a region.
    pub fn region(&self, name: &str) -> Option<usize> {
        self.regions.iter().position(|region| region == name)
    }
}
