//! What a run may take of the machine; checked before anything is started.

use crate::error::Error;
use crate::options::Options;
use crate::process_stats::available_memory;
use rustix::process::{Resource, getrlimit};

const MIB: u64 = 1 << 20;
/// Memory of a real sidecar without what it knows of the others.
const REAL_BYTES: u64 = 8 * MIB;
/// Memory of a worker without members.
const PROCESS_BYTES: u64 = 6 * MIB;
/// Memory of a member without what it knows of the others, ...
const MEMBER_BYTES: u64 = 80 << 10;
/// ... and for each other member that it knows: a little over what runs of 50, 150 and 400 came to.
const PEER_BYTES: u64 = 900;
/// Open files of a worker without members.
const PROCESS_FILES: u64 = 64;
/// Open files of a member: its two sockets, and connections of exchanges that it begins or answers.
const MEMBER_FILES: u64 = 2 + 10;

/// The most that a run may take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Processes in all, this one included.
    pub processes: usize,
    /// Estimated memory of all processes, in bytes.
    pub memory: u64,
    /// Open files of one process.
    pub open_files: u64,
}

impl Limits {
    /// The limits of a shared machine, and what this one has left.
    pub fn of_machine() -> Limits {
        let most = 12 << 30;
        Limits {
            processes: 300,
            memory: available_memory().map_or(most, |available| available.min(most)),
            // No limit is the same as a very high one.
            open_files: getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX),
        }
    }

    /// Refuses a run that would take more.
    pub fn check(&self, options: &Options) -> Result<(), Error> {
        let refuse = |option, reason: String| Err(Error::Option { option, reason });
        // The coordinator itself, and the guard that ends real sidecars with it.
        let beside = if options.real_members() > 0 { 2 } else { 1 };
        let processes = options.processes + options.real_members() + beside;
        if processes > self.processes {
            let most = self.processes;
            return refuse("processes", format!("{processes} in all are more than the limit of {most}"));
        }
        let memory = estimated_memory(options);
        if memory > self.memory {
            let (wanted, most) = (memory / MIB, self.memory / MIB);
            return refuse(
                "members",
                format!("need an estimated {wanted} MiB, over the limit of {most} MiB"),
            );
        }
        let files = PROCESS_FILES + MEMBER_FILES * options.members_per_process() as u64;
        if files > self.open_files {
            let most = self.open_files;
            let reason = format!("a process would open up to {files} files, over its limit of {most}");
            return refuse("processes", reason);
        }
        Ok(())
    }
}

/// What all processes of a run are expected to use, in bytes.
fn estimated_memory(options: &Options) -> u64 {
    let (hollow, real) = (options.hollow_members() as u64, options.real_members() as u64);
    let peers = PEER_BYTES * options.members as u64;
    let workers = options.processes as u64 * PROCESS_BYTES;
    workers + hollow * (MEMBER_BYTES + peers) + real * (REAL_BYTES + peers)
}
