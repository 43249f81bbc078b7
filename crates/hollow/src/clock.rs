//! Clocks that mean the same in every process of a run.

use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

fn read(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    // Neither clock goes below zero.
    Duration::new(u64::try_from(time.tv_sec).unwrap_or(0), u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// The system's monotonic clock: one origin for all processes of the machine.
pub fn monotonic() -> Duration {
    read(ClockId::Monotonic)
}

/// Processor time that the calling thread has used.
pub fn thread_processor_time() -> Duration {
    read(ClockId::ThreadCPUTime)
}
