//! What a worker samples of its members, and the worst window in it.

use crate::protocol::WorstWindow;
use crate::traffic::Meter;
use std::time::Duration;

/// A costly moment is as bad as its worst window of this length.
const WINDOW: Duration = Duration::from_secs(10);

/// A member's counters at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Sample {
    /// Bytes both ways.
    pub bytes: u64,
    /// Processor time.
    pub processor: Duration,
}

impl Sample {
    /// The counters now.
    pub fn of(meter: &Meter) -> Sample {
        Sample { bytes: meter.traffic().bytes(), processor: meter.processor() }
    }
}

/// Counters of a member over a run.
#[derive(Debug, Clone, Default)]
pub struct Timeline {
    samples: Vec<(Duration, Sample)>,
}

impl Timeline {
    /// Adds a sample, taken so long after the members' start.
    pub fn push(&mut self, at: Duration, sample: Sample) {
        self.samples.push((at, sample));
    }

    /// The window with the most bytes.
    pub fn worst_bytes(&self) -> WorstWindow {
        self.worst(|sample| sample.bytes as f64)
    }

    /// The window with the most milliseconds of processor time.
    pub fn worst_processor(&self) -> WorstWindow {
        self.worst(|sample| sample.processor.as_secs_f64() * 1000.0)
    }

    fn worst(&self, figure: impl Fn(&Sample) -> f64) -> WorstWindow {
        let mut worst = WorstWindow::default();
        let mut end = 0;
        for (began, first) in &self.samples {
            while self.samples.get(end).is_some_and(|(at, _)| *at < *began + WINDOW) {
                end += 1;
            }
            let Some((ended, last)) = self.samples.get(end) else { break };
            // Samples may be late; a longer window is worth as much by the second.
            let seconds = (*ended - *began).as_secs_f64();
            let rate = (figure(last) - figure(first)) / seconds;
            if rate > worst.rate {
                worst = WorstWindow { rate, began: began.as_secs_f64() };
            }
        }
        worst
    }
}

#[cfg(test)]
mod tests;
