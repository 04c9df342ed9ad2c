//! Allocated ports must stay free for the daemons that are started on them.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read};
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};

use eelgrasspier_standin::ports::{free_port, start_process};

const ALLOCATIONS: usize = 12_000;
const SPAWNER_THREADS: usize = 4;

#[test]
fn allocated_port_can_be_bound_while_processes_start() {
    let is_over = AtomicBool::new(false);
    let mut bind_errors = Vec::new();
    std::thread::scope(|scope| {
        for _ in 0..SPAWNER_THREADS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    let mut command = Command::new("true");
                    let child = start_process(command.stdin(Stdio::null()));
                    child.unwrap().wait().unwrap();
                }
            });
        }
        for _ in 0..ALLOCATIONS {
            let addr = free_port().unwrap();
            if let Err(error) = TcpListener::bind(addr) {
                bind_errors.push(error.to_string());
            }
        }
        is_over.store(true, Ordering::Relaxed);
    });
    assert_eq!(bind_errors, Vec::<String>::new(), "{} of {ALLOCATIONS}", bind_errors.len());
}

const PORTS_PER_PROCESS: usize = 2_000;
/// Set in the second process of the test below.
const IS_SECOND_PROCESS: &str = "EELGRASSPIER_SECOND_PORT_TEST";

/// Guards against two test processes that give the same port to their daemons.
#[test]
fn processes_side_by_side_allocate_different_ports() {
    let allocate = || (0..PORTS_PER_PROCESS).map(|_| free_port().unwrap().port());
    if std::env::var_os(IS_SECOND_PROCESS).is_some() {
        let ports: Vec<String> = allocate().map(|port| port.to_string()).collect();
        println!("\nports {}", ports.join(" "));
        // Holds the ports until the first process has allocated its own.
        let _ = std::io::stdin().read_to_end(&mut Vec::new());
        return;
    }
    let mut command = Command::new(std::env::current_exe().unwrap());
    command.args(["--exact", "processes_side_by_side_allocate_different_ports", "--nocapture"]);
    command.env(IS_SECOND_PROCESS, "1").stdin(Stdio::piped()).stdout(Stdio::piped());
    let mut second = start_process(&mut command).unwrap();
    let mut lines = BufReader::new(second.stdout.take().unwrap()).lines().map(Result::unwrap);
    let line = lines.find(|line| line.starts_with("ports ")).expect("the ports should be printed");
    let theirs: BTreeSet<u16> =
        line.split_whitespace().skip(1).map(|port| port.parse().unwrap()).collect();
    let ours: BTreeSet<u16> = allocate().collect();
    drop(second.stdin.take());
    assert!(second.wait().unwrap().success());
    assert_eq!((theirs.len(), ours.len()), (PORTS_PER_PROCESS, PORTS_PER_PROCESS));
    assert_eq!(theirs.intersection(&ours).count(), 0);
}
