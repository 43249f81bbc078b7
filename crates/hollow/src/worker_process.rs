//! Worker processes as the coordinator holds them: started, talked to, and ended by their ids.

use crate::error::Error;
use crate::options::WorkerCommand;
use crate::protocol::{Command, Event};
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::Duration;

/// A worker whose input has ended is waited for so long before it is killed, in steps of this.
const END_STEP: Duration = Duration::from_millis(20);
const END_STEPS: usize = 100;

/// What came from a worker: which, and its event; `None` once its output has ended.
type Incoming = (usize, Option<Event>);

/// All worker processes of a run.
pub struct Workers {
    processes: Vec<WorkerProcess>,
    incoming: Receiver<Incoming>,
}

struct WorkerProcess {
    child: Child,
    input: Option<ChildStdin>,
}

impl Workers {
    /// Starts so many.
    pub fn start(command: &WorkerCommand, count: usize) -> Result<Workers, Error> {
        let (sender, incoming) = channel();
        let mut workers = Workers { processes: Vec::new(), incoming };
        for worker in 0..count {
            let mut child = std::process::Command::new(&command.program)
                .args(&command.arguments)
                .stdin(Stdio::piped())
                .stdout(Stdio::piped())
                .spawn()
                .map_err(|source| Error::Start { worker, source })?;
            let (input, output) = (child.stdin.take(), child.stdout.take());
            workers.processes.push(WorkerProcess { child, input });
            if let Some(output) = output {
                let sender = sender.clone();
                // Ends with the worker's output.
                std::thread::spawn(move || read_events(worker, output, &sender));
            }
        }
        Ok(workers)
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.processes.len()
    }

    /// Sends a command to one.
    pub fn send(&mut self, worker: usize, command: &Command) -> Result<(), Error> {
        let failed = |reason: String| Error::Worker { worker, reason };
        let mut line = serde_json::to_vec(command).map_err(|error| failed(error.to_string()))?;
        line.push(b'\n');
        let input = self.processes.get_mut(worker).and_then(|process| process.input.as_mut());
        let input = input.ok_or_else(|| failed("has no input".to_owned()))?;
        input.write_all(&line).map_err(|error| failed(format!("does not listen: {error}")))
    }

    /// Sends a command to all.
    pub fn send_to_all(&mut self, command: &Command) -> Result<(), Error> {
        (0..self.count()).try_for_each(|worker| self.send(worker, command))
    }

    /// The next event; `None` if there is none for so long.
    pub fn next_event(&mut self, patience: Duration) -> Result<Option<(usize, Event)>, Error> {
        match self.incoming.recv_timeout(patience) {
            Ok((worker, Some(Event::Failed { reason }))) => Err(Error::Worker { worker, reason }),
            Ok((worker, Some(event))) => Ok(Some((worker, event))),
            Ok((worker, None)) => Err(Error::Worker { worker, reason: self.how_ended(worker) }),
            Err(RecvTimeoutError::Timeout) => Ok(None),
            Err(RecvTimeoutError::Disconnected) => {
                Err(Error::Worker { worker: 0, reason: "all workers have ended".to_owned() })
            }
        }
    }

    fn how_ended(&mut self, worker: usize) -> String {
        let ended = self.processes.get_mut(worker).map(|process| process.child.try_wait());
        match ended {
            Some(Ok(Some(status))) => format!("ended: {status}"),
            _ => "closed its output".to_owned(),
        }
    }
}

impl Drop for Workers {
    fn drop(&mut self) {
        for process in &mut self.processes {
            process.input = None;
        }
        for process in &mut self.processes {
            process.end();
        }
    }
}

impl WorkerProcess {
    /// Waits for the end that follows from the end of its input, and kills it if that does not come.
    fn end(&mut self) {
        for _ in 0..END_STEPS {
            if !matches!(self.child.try_wait(), Ok(None)) {
                return;
            }
            std::thread::sleep(END_STEP);
        }
        // Only fails if it has ended after all.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn read_events(worker: usize, output: ChildStdout, events: &Sender<Incoming>) {
    for line in BufReader::new(output).lines().map_while(Result::ok) {
        let event = serde_json::from_str(&line)
            .unwrap_or_else(|error| Event::Failed { reason: format!("event: {error}") });
        let last = matches!(event, Event::Finished(_));
        if events.send((worker, Some(event))).is_err() || last {
            return;
        }
    }
    // Nobody may listen any more.
    let _ = events.send((worker, None));
}
