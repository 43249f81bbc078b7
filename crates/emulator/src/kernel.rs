//! The kernel: a virtual clock, the queue of what is due, and the tasks of all processes, on one thread.
//!
//! One event is due at a time, in the order of its instant and, within one instant, in the order in which it was
//! asked for. After each event all tasks that it woke run until none is ready. Nothing reads a real clock, and no
//! collection is walked in an order that differs from run to run; so one seed is one run.

use crate::net::{Arrival, Net, Note, Tap};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Wake, Waker};
use std::time::{Duration, Instant};

/// Virtual nanoseconds since the start of the run.
pub type Nanos = u64;

/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// A second.
pub const SEC: Nanos = 1_000_000_000;

/// A process of the emulated world: one life of one sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Pid(pub u32);

/// What is due at an instant.
#[derive(Debug)]
pub enum Due<E> {
    /// A sleeping task.
    Wake(usize, u64),
    /// Something arrives over the network.
    Net(Arrival),
    /// An event of the world.
    World(E),
    /// A process that was held up goes on, unless it has been held up for longer since.
    GoOn(Pid),
}

struct Queued<E> {
    at: Nanos,
    seq: u64,
    what: Due<E>,
}

impl<E> PartialEq for Queued<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.seq) == (other.at, other.seq)
    }
}

impl<E> Eq for Queued<E> {}

impl<E> PartialOrd for Queued<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Queued<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}

struct Timer {
    seq: u64,
    waker: Waker,
}

type Work = Pin<Box<dyn Future<Output = ()>>>;

struct Slot {
    pid: Pid,
    work: Option<Work>,
    waker: Waker,
    aborted: Rc<Cell<bool>>,
    join: Rc<Join>,
}

/// How a task's end is told.
#[derive(Debug, Default)]
struct Join {
    done: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Join {
    fn finish(&self) {
        self.done.set(true);
        let waker = self.waker.borrow_mut().take();
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

type Ready = Arc<Mutex<VecDeque<usize>>>;

/// Puts its task among the ready ones. Wakers must be `Send`; the lock has no one else to wait for.
struct Rouse {
    task: usize,
    queued: AtomicBool,
    ready: Ready,
}

impl Wake for Rouse {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if !self.queued.swap(true, Ordering::Relaxed) {
            self.ready.lock().unwrap_or_else(PoisonError::into_inner).push_back(self.task);
        }
    }
}

/// The kernel of one run. `E` is what the world waits for.
pub struct Kernel<E> {
    base: Instant,
    now: Cell<Nanos>,
    seq: Cell<u64>,
    due: RefCell<BinaryHeap<Reverse<Queued<E>>>>,
    timers: RefCell<slab::Slab<Timer>>,
    tasks: RefCell<slab::Slab<Slot>>,
    rousers: RefCell<Vec<Arc<Rouse>>>,
    ready: Ready,
    /// Processes that are stopped, and their tasks that would be ready.
    stopped: RefCell<Vec<(Pid, Vec<usize>)>>,
    /// Until when processes are held up.
    held_up: RefCell<FxHashMap<Pid, Nanos>>,
    /// Processes that are held up at their next write, and for how long.
    stop_at_write: RefCell<FxHashMap<Pid, Nanos>>,
    /// The network.
    pub net: RefCell<Net>,
    polls: Cell<u64>,
}

impl<E> Kernel<E> {
    /// A kernel at time 0 round a network.
    pub fn new(net: Net) -> Rc<Kernel<E>> {
        Rc::new(Kernel {
            // Only differences of instants count; where they begin is never seen.
            #[allow(clippy::disallowed_methods)]
            base: Instant::now(),
            now: Cell::new(0),
            seq: Cell::new(0),
            due: RefCell::default(),
            timers: RefCell::default(),
            tasks: RefCell::default(),
            rousers: RefCell::default(),
            ready: Ready::default(),
            stopped: RefCell::default(),
            held_up: RefCell::default(),
            stop_at_write: RefCell::default(),
            net: RefCell::new(net),
            polls: Cell::new(0),
        })
    }

    /// The virtual clock.
    pub fn now(&self) -> Nanos {
        self.now.get()
    }

    /// The virtual clock as the sidecar reads it.
    pub fn instant(&self) -> Instant {
        self.base + Duration::from_nanos(self.now.get())
    }

    /// The same by a clock that runs at this pace.
    pub fn instant_at(&self, pace: f64) -> Instant {
        self.base + Duration::from_nanos((self.now.get() as f64 * pace) as Nanos)
    }

    /// The virtual time of an instant of [`Kernel::instant`]'s kind.
    pub fn nanos(&self, at: Instant) -> Nanos {
        at.saturating_duration_since(self.base).as_nanos() as Nanos
    }

    /// How often a task has been polled.
    pub fn polls(&self) -> u64 {
        self.polls.get()
    }

    /// Tasks that are alive.
    pub fn tasks(&self) -> usize {
        self.tasks.borrow().len()
    }

    /// Has an event come at an instant, at the earliest now.
    pub fn at(&self, at: Nanos, what: Due<E>) -> u64 {
        let seq = self.seq.get();
        self.seq.set(seq + 1);
        self.due.borrow_mut().push(Reverse(Queued { at: at.max(self.now.get()), seq, what }));
        seq
    }

    /// Has a world's event come at an instant.
    pub fn world_at(&self, at: Nanos, event: E) {
        self.at(at, Due::World(event));
    }

    /// Puts what the network has on its way into the queue.
    pub fn flush_net(&self) {
        let sent = std::mem::take(&mut self.net.borrow_mut().sent);
        for (at, arrival) in sent {
            self.at(at, Due::Net(arrival));
        }
    }

    /// Does something to the network at this instant.
    pub fn with_net<T>(&self, act: impl FnOnce(&mut Net) -> T) -> T {
        let done = {
            let mut net = self.net.borrow_mut();
            net.now = self.now.get();
            act(&mut net)
        };
        self.flush_net();
        done
    }

    /// The next event, with the clock moved to it; `None` past `until` or when nothing is due. What only concerns
    /// tasks and network has been done when this returns.
    pub fn next(&self, until: Nanos) -> Option<Option<E>> {
        loop {
            let Reverse(next) = {
                let mut due = self.due.borrow_mut();
                if due.peek().is_none_or(|Reverse(next)| next.at > until) {
                    return None;
                }
                due.pop()?
            };
            if let Due::Wake(slot, seq) = next.what {
                let mut timers = self.timers.borrow_mut();
                if timers.get(slot).is_none_or(|timer| timer.seq != seq) {
                    // Its sleeper has gone; this is no step.
                    continue;
                }
                let timer = timers.remove(slot);
                drop(timers);
                self.now.set(next.at);
                timer.waker.wake();
                return Some(None);
            }
            self.now.set(next.at);
            match next.what {
                Due::World(event) => return Some(Some(event)),
                Due::Net(arrival) => {
                    self.with_net(|net| net.arrive(arrival));
                    return Some(None);
                }
                Due::GoOn(pid) => {
                    self.end_hold_up(pid);
                    return Some(None);
                }
                Due::Wake(..) => {}
            }
        }
    }

    /// Runs tasks until none is ready.
    pub fn run_ready(self: &Rc<Self>) {
        loop {
            let next = self.ready.lock().unwrap_or_else(PoisonError::into_inner).pop_front();
            let Some(id) = next else { return };
            if self.holds_back(id) {
                continue;
            }
            let (work, waker, aborted) = {
                let mut tasks = self.tasks.borrow_mut();
                if let Some(rouser) = self.rousers.borrow().get(id) {
                    rouser.queued.store(false, Ordering::Relaxed);
                }
                let Some(slot) = tasks.get_mut(id) else { continue };
                (slot.work.take(), slot.waker.clone(), slot.aborted.clone())
            };
            let Some(mut work) = work else { continue };
            let ended = aborted.get() || {
                self.polls.set(self.polls.get() + 1);
                work.as_mut().poll(&mut Context::from_waker(&waker)).is_ready()
            };
            if ended || aborted.get() {
                // What the task held is dropped before its end is told, and outside of any borrow: it may spawn.
                drop(work);
                let slot = self.tasks.borrow_mut().try_remove(id);
                if let Some(slot) = slot {
                    slot.join.finish();
                }
            } else if let Some(slot) = self.tasks.borrow_mut().get_mut(id) {
                slot.work = Some(work);
            }
        }
    }

    /// Whether this task's process is stopped; then it is ready when the process goes on.
    fn holds_back(&self, id: usize) -> bool {
        let mut stopped = self.stopped.borrow_mut();
        if stopped.is_empty() {
            return false;
        }
        let Some(pid) = self.tasks.borrow().get(id).map(|slot| slot.pid) else { return false };
        let held = stopped.iter_mut().find(|(stopped, _)| *stopped == pid);
        held.map(|(_, held)| held.push(id)).is_some()
    }

    /// Stops a process: none of its tasks runs, its timers fire late and all at once, its sockets fill meanwhile.
    pub fn stop(&self, pid: Pid) {
        let mut stopped = self.stopped.borrow_mut();
        if !stopped.iter().any(|(held, _)| *held == pid) {
            stopped.push((pid, Vec::new()));
        }
    }

    /// Whether a process is stopped.
    pub fn stopped(&self, pid: Pid) -> bool {
        self.stopped.borrow().iter().any(|(held, _)| *held == pid)
    }

    /// It goes on.
    pub fn go_on(&self, pid: Pid) {
        let mut stopped = self.stopped.borrow_mut();
        if let Some(at) = stopped.iter().position(|(held, _)| *held == pid) {
            let (_, held) = stopped.swap_remove(at);
            self.ready.lock().unwrap_or_else(PoisonError::into_inner).extend(held);
        }
    }

    /// Holds a process up for so long, as work does that it can't interrupt; after what holds it up already.
    pub fn hold_up(&self, pid: Pid, time: Nanos) {
        if time == 0 {
            return;
        }
        let now = self.now.get();
        let mut held_up = self.held_up.borrow_mut();
        let until = held_up.get(&pid).map_or(now, |until| now.max(*until)) + time;
        if held_up.insert(pid, until).is_none() {
            self.stop(pid);
            self.at(until, Due::GoOn(pid));
        }
    }

    fn end_hold_up(&self, pid: Pid) {
        let mut held_up = self.held_up.borrow_mut();
        match held_up.get(&pid) {
            Some(&until) if until > self.now.get() => {
                self.at(until, Due::GoOn(pid));
            }
            Some(_) => {
                held_up.remove(&pid);
                self.go_on(pid);
            }
            None => {}
        }
    }

    /// Holds a process up for so long when it next writes to a party, after all that it looked at before it writes.
    pub fn stop_at_write(&self, pid: Pid, time: Nanos) {
        self.stop_at_write.borrow_mut().insert(pid, time);
    }

    /// Whether a process that is about to write is held up first.
    pub fn stops_before_write(&self, pid: Pid) -> bool {
        let time = self.stop_at_write.borrow_mut().remove(&pid);
        if let Some(time) = time {
            self.hold_up(pid, time);
        }
        time.is_some()
    }

    /// Begins a task of a process.
    pub fn spawn(self: &Rc<Self>, pid: Pid, work: impl Future<Output = ()> + 'static) -> Running {
        let (aborted, join) = (Rc::new(Cell::new(false)), Rc::new(Join::default()));
        if !self.net.borrow().alive(pid) {
            join.finish();
            return Running { aborted, join, waker: Waker::noop().clone() };
        }
        let mut tasks = self.tasks.borrow_mut();
        let entry = tasks.vacant_entry();
        let id = entry.key();
        let rouser = {
            let mut rousers = self.rousers.borrow_mut();
            while rousers.len() <= id {
                let task = rousers.len();
                rousers.push(Arc::new(Rouse {
                    task,
                    queued: AtomicBool::new(false),
                    ready: self.ready.clone(),
                }));
            }
            rousers[id].clone()
        };
        let waker = Waker::from(rouser);
        waker.wake_by_ref();
        entry.insert(Slot {
            pid,
            work: Some(Box::pin(work)),
            waker: waker.clone(),
            aborted: aborted.clone(),
            join: join.clone(),
        });
        Running { aborted, join, waker }
    }

    /// Ends a process: its tasks are dropped, its connections reset, its listeners closed.
    pub fn kill(self: &Rc<Self>, pid: Pid) {
        self.go_on(pid);
        self.held_up.borrow_mut().remove(&pid);
        self.stop_at_write.borrow_mut().remove(&pid);
        self.with_net(|net| net.end_process(pid));
        let ended: Vec<Slot> = {
            let mut tasks = self.tasks.borrow_mut();
            let ids: Vec<usize> =
                tasks.iter().filter(|(_, slot)| slot.pid == pid).map(|(id, _)| id).collect();
            ids.into_iter().map(|id| tasks.remove(id)).collect()
        };
        for slot in &ended {
            slot.join.done.set(true);
        }
        drop(ended);
        self.flush_net();
    }

    /// Ends every process, so that nothing that ran here is left. Danger: a task holds its platform, which holds this
    /// kernel, which holds the task: a kernel that is only let go stays for good, with all that its day was.
    pub fn shut(self: &Rc<Self>) {
        let all = self.net.borrow().processes();
        for pid in all {
            self.kill(pid);
        }
        self.due.borrow_mut().clear();
    }

    /// A task that waits.
    pub fn sleep_until(self: &Rc<Self>, at: Nanos) -> Sleep<E> {
        Sleep { kernel: self.clone(), at, timer: None }
    }

    /// What the network has for parties of the world.
    pub fn notes(&self) -> VecDeque<Note> {
        std::mem::take(&mut self.net.borrow_mut().notes)
    }

    /// What has passed on the wire of the processes since the last call.
    pub fn taps(&self) -> Vec<Tap> {
        std::mem::take(&mut self.net.borrow_mut().taps)
    }
}

/// A task of the kernel.
#[derive(Debug)]
pub struct Running {
    aborted: Rc<Cell<bool>>,
    join: Rc<Join>,
    waker: Waker,
}

impl Future for Running {
    type Output = ();
    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.join.done.get() {
            return Poll::Ready(());
        }
        *self.join.waker.borrow_mut() = Some(cx.waker().clone());
        Poll::Pending
    }
}

impl cometcroft_platform::Task for Running {
    fn abort(&self) {
        if !self.join.done.get() {
            self.aborted.set(true);
            self.waker.wake_by_ref();
        }
    }
}

/// Waits for an instant of the virtual clock.
pub struct Sleep<E> {
    kernel: Rc<Kernel<E>>,
    at: Nanos,
    timer: Option<(usize, u64)>,
}

impl<E> Future for Sleep<E> {
    type Output = ();
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.kernel.now() >= self.at {
            return Poll::Ready(());
        }
        let kernel = self.kernel.clone();
        let mut timers = kernel.timers.borrow_mut();
        if let Some((slot, seq)) = self.timer
            && let Some(timer) = timers.get_mut(slot).filter(|timer| timer.seq == seq)
        {
            timer.waker.clone_from(cx.waker());
            return Poll::Pending;
        }
        let entry = timers.vacant_entry();
        let slot = entry.key();
        let seq = kernel.at(self.at, Due::Wake(slot, kernel.seq.get()));
        entry.insert(Timer { seq, waker: cx.waker().clone() });
        self.timer = Some((slot, seq));
        Poll::Pending
    }
}

impl<E> Drop for Sleep<E> {
    fn drop(&mut self) {
        if let Some((slot, seq)) = self.timer {
            let mut timers = self.kernel.timers.borrow_mut();
            if timers.get(slot).is_some_and(|timer| timer.seq == seq) {
                timers.remove(slot);
            }
        }
    }
}
