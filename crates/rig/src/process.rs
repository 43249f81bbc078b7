//! Child processes and the signals sent to them. A guard process ensures that none is left behind, however the rig
//! ends.

use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use rustix::thread::{CpuSet, sched_getaffinity, sched_setaffinity};
use std::io::{self, Write};
use std::os::unix::process::CommandExt;
use std::process::{Child, ChildStdin, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Shell script that kills all registered processes once its standard input is closed. The system closes it however the
/// rig ends: normally, by a panic, or by a SIGKILL that leaves no time to clean up.
const GUARD_SCRIPT: &str = r#"trap '' INT TERM HUP
pids=" "
while read -r what pid; do
  case $what in
    +) pids="$pids$pid " ;;
    -) pids="${pids%% $pid *} ${pids#* $pid }" ;;
  esac
done
for pid in $pids; do kill -9 "$pid" 2>/dev/null; done
"#;

/// Handle of the guard process, which kills the registered processes when the rig has ended.
#[derive(Clone)]
pub struct Guard(Arc<Mutex<GuardProcess>>);

struct GuardProcess {
    input: Option<ChildStdin>,
    child: Child,
}

impl Guard {
    /// Starts a guard that has no processes registered yet.
    pub fn start() -> io::Result<Guard> {
        let mut child = Command::new("/bin/sh")
            .args(["-c", GUARD_SCRIPT])
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            // Ctrl-C is sent to the whole foreground process group of the terminal, and the guard must outlive the rig.
            .process_group(0)
            .spawn()?;
        let input = child.stdin.take();
        Ok(Guard(Arc::new(Mutex::new(GuardProcess { input, child }))))
    }

    fn send(&self, operation: char, pid: u32) {
        let mut guard = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(input) = &mut guard.input {
            // The write fails if the guard has ended; the rig still kills its processes itself.
            let _ = writeln!(input, "{operation} {pid}");
        }
    }
}

impl Drop for GuardProcess {
    fn drop(&mut self) {
        self.input = None;
        let _ = self.child.wait();
    }
}

/// Child process that is killed when this value is dropped.
pub struct Process {
    child: Child,
    guard: Guard,
    exit_status: Option<ExitStatus>,
}

impl Process {
    /// Starts a process in its own process group and registers it with the guard.
    pub fn start(command: &mut Command, guard: &Guard) -> io::Result<Process> {
        let child = command.stdin(Stdio::null()).process_group(0).spawn()?;
        guard.send('+', child.id());
        Ok(Process { child, guard: guard.clone(), exit_status: None })
    }

    /// Returns the process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Takes the pipe of standard error; `None` if it was taken before or is not piped.
    pub fn take_stderr(&mut self) -> Option<std::process::ChildStderr> {
        self.child.stderr.take()
    }

    fn signal(&mut self, signal: Signal) {
        // Once a process has been waited for, its ID may belong to another process.
        if self.exit_status().is_none()
            && let Some(pid) = Pid::from_raw(self.child.id() as i32)
        {
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns the exit status if the process has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        if self.exit_status.is_none()
            && let Ok(Some(status)) = self.child.try_wait()
        {
            self.exit_status = Some(status);
            self.guard.send('-', self.child.id());
        }
        self.exit_status
    }

    fn pid(&self) -> Option<Pid> {
        Pid::from_raw(self.child.id() as i32)
    }

    /// Limits the number of open file descriptors; 0 restores the limit of the rig.
    pub fn limit_descriptors(&mut self, limit: u32) {
        if self.exit_status().is_none() {
            let own = rustix::process::getrlimit(Resource::Nofile);
            let current = if limit == 0 { own.current } else { Some(u64::from(limit)) };
            // This fails if the process has just ended, and then no limit is needed.
            let _ = prlimit(self.pid(), Resource::Nofile, Rlimit { current, maximum: own.maximum });
        }
    }

    /// Restricts the process to one of the allowed processors, or lets it use all of them again.
    pub fn set_processor(&mut self, processor: Option<usize>) {
        let Ok(allowed) = sched_getaffinity(None) else { return };
        let all: Vec<usize> = (0..CpuSet::MAX_CPU).filter(|&cpu| allowed.is_set(cpu)).collect();
        let mut set = CpuSet::new();
        match processor {
            Some(n) if !all.is_empty() => set.set(all[n % all.len()]),
            _ => all.iter().for_each(|&cpu| set.set(cpu)),
        }
        if self.exit_status().is_none() {
            let _ = sched_setaffinity(self.pid(), &set);
        }
    }

    /// Sends SIGSTOP.
    pub fn pause(&mut self) {
        self.signal(Signal::STOP);
    }

    /// Sends SIGCONT.
    pub fn resume(&mut self) {
        self.signal(Signal::CONT);
    }

    /// Sends SIGTERM.
    pub fn terminate(&mut self) {
        self.signal(Signal::TERM);
    }

    /// Sends SIGKILL and waits up to 5 s for the process to end.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        let began = Instant::now();
        while self.exit_status().is_none() && began.elapsed() < Duration::from_secs(5) {
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

#[cfg(test)]
mod tests;
