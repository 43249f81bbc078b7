//! What the system tells of this process and of the machine.

use std::time::Duration;

/// Resident memory of this process now, in bytes.
pub fn resident_memory() -> u64 {
    field_of("/proc/self/status", "VmRSS:").unwrap_or(0)
}

/// The most resident memory that this process ever had, in bytes.
pub fn peak_memory() -> u64 {
    field_of("/proc/self/status", "VmHWM:").unwrap_or(0)
}

/// Resident memory of a process now, in bytes; `None` if it is gone.
pub fn resident_memory_of(process: u32) -> Option<u64> {
    field_of(&format!("/proc/{process}/status"), "VmRSS:")
}

/// Processor time that a process' first thread has used; `None` if it is gone.
pub fn processor_time_of(process: u32) -> Option<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{process}/schedstat")).ok()?;
    text.split_whitespace().next()?.parse().ok().map(Duration::from_nanos)
}

/// Memory that new programs can use without swapping, in bytes.
pub fn available_memory() -> Option<u64> {
    field_of("/proc/meminfo", "MemAvailable:")
}

/// The load average of the last minute.
pub fn load_average() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/loadavg").ok()?;
    text.split_whitespace().next()?.parse().ok()
}

/// A field in kB of one of the system's files, in bytes.
fn field_of(file: &str, name: &str) -> Option<u64> {
    let text = std::fs::read_to_string(file).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes * 1024)
}
