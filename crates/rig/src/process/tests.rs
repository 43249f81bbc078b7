//! Tests of `process` that need access to its private state.

use super::*;

#[test]
fn descriptor_limit_and_processor_affinity_can_be_set_and_restored() {
    let guard = Guard::start().expect("start the guard");
    let mut process = Process::start(Command::new("/bin/sleep").arg("60"), &guard).expect("start sleep");
    let pid = process.child.id();
    let proc_value = |file: &str, name: &str| -> String {
        let text = std::fs::read_to_string(format!("/proc/{pid}/{file}")).expect("read the file in /proc");
        let line = text.lines().find(|line| line.starts_with(name)).expect("the line is present").to_owned();
        line[name.len()..].trim().to_owned()
    };
    let (descriptors, processors) =
        (proc_value("limits", "Max open files"), proc_value("status", "Cpus_allowed_list:"));
    process.limit_descriptors(24);
    process.set_processor(Some(1));
    assert!(proc_value("limits", "Max open files").starts_with("24 "));
    assert!(
        proc_value("status", "Cpus_allowed_list:").parse::<usize>().is_ok(),
        "more than one processor is allowed"
    );
    process.limit_descriptors(0);
    process.set_processor(None);
    assert_eq!(proc_value("limits", "Max open files"), descriptors);
    assert_eq!(proc_value("status", "Cpus_allowed_list:"), processors);
}

#[test]
fn guard_kills_processes_that_the_rig_leaves_behind() {
    let guard = Guard::start().expect("start the guard");
    let mut ended = Process::start(Command::new("/bin/sleep").arg("60"), &guard).expect("start sleep");
    ended.kill();
    assert!(ended.exit_status().is_some());
    let mut left = Process::start(Command::new("/bin/sleep").arg("60"), &guard).expect("start sleep");
    let inner = guard.0.clone();
    drop(guard);
    // Closing the input simulates a rig that was killed: only the guard can end its process now.
    let mut guard_process = inner.lock().unwrap_or_else(PoisonError::into_inner);
    guard_process.input = None;
    assert!(guard_process.child.wait().expect("wait for the guard").code().is_some());
    drop(guard_process);
    let began = Instant::now();
    while left.exit_status().is_none() {
        assert!(began.elapsed() < Duration::from_secs(20), "the guard did not kill the process");
        std::thread::sleep(Duration::from_millis(5));
    }
}
