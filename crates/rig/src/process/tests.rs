//! Tests of `process` that mean its private state.

use super::*;

#[test]
fn a_process_can_be_kept_to_few_descriptors_and_one_processor_and_be_let_go() {
    let guard = Guard::start().expect("a shell");
    let mut process = Process::start(Command::new("/bin/sleep").arg("60"), &guard).expect("it starts");
    let pid = process.child.id();
    let says = |file: &str, name: &str| -> String {
        let text = std::fs::read_to_string(format!("/proc/{pid}/{file}")).expect("the system tells");
        let line = text.lines().find(|line| line.starts_with(name)).expect("the line").to_owned();
        line[name.len()..].trim().to_owned()
    };
    let (descriptors, processors) = (says("limits", "Max open files"), says("status", "Cpus_allowed_list:"));
    process.descriptors(24);
    process.share(Some(1));
    assert!(says("limits", "Max open files").starts_with("24 "));
    assert!(says("status", "Cpus_allowed_list:").parse::<usize>().is_ok(), "one processor");
    process.descriptors(0);
    process.share(None);
    assert_eq!(says("limits", "Max open files"), descriptors);
    assert_eq!(says("status", "Cpus_allowed_list:"), processors);
}

#[test]
fn what_the_rig_leaves_behind_is_ended_by_its_guard() {
    let guard = Guard::start().expect("a shell");
    let mut ended = Process::start(Command::new("/bin/sleep").arg("60"), &guard).expect("it starts");
    ended.kill();
    assert!(ended.ended().is_some());
    let mut left = Process::start(Command::new("/bin/sleep").arg("60"), &guard).expect("it starts");
    let inner = guard.0.clone();
    drop(guard);
    // The rig is gone without a word: nothing is left that could end its process, but for the guard.
    let mut watcher = inner.lock().unwrap_or_else(PoisonError::into_inner);
    watcher.input = None;
    assert!(watcher.child.wait().expect("the guard ends").code().is_some());
    drop(watcher);
    let began = Instant::now();
    while left.ended().is_none() {
        assert!(began.elapsed() < Duration::from_secs(20), "the guard has ended it");
        std::thread::sleep(Duration::from_millis(5));
    }
}
