//! Allocation of loopback ports that stay free while a process starts or restarts.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::process::{Child, Command};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Port range, below the system's ephemeral ports.
///
/// With ports from the ephemeral range, one in several hundred daemons found its port taken by an
/// outgoing connection or by a listener without a fixed port.
const PORT_RANGE: std::ops::Range<u16> = 12_000..32_700;
/// Number of ports in a block, including the guard port.
const BLOCK_SIZE: u16 = 50;
/// Maximum number of blocks to try.
const MAX_ATTEMPTS: usize = 200;

/// Block of ports that belongs to this process.
///
/// Test processes that run side by side allocate ports at random. A listener on the first port of a
/// block keeps the other processes out of the block until this process exits, also while one of
/// its ports is closed because a daemon restarts.
#[derive(Debug)]
struct Block {
    _guard: TcpListener,
    unused: std::ops::Range<u16>,
}

impl Block {
    /// Acquires a random block that no other process holds.
    fn acquire() -> Option<Self> {
        let block_count = (PORT_RANGE.end - PORT_RANGE.start) / BLOCK_SIZE;
        (0..MAX_ATTEMPTS).find_map(|_| {
            let first = PORT_RANGE.start + rand::random_range(0..block_count) * BLOCK_SIZE;
            let guard = TcpListener::bind((Ipv4Addr::LOCALHOST, first)).ok()?;
            Some(Self { _guard: guard, unused: first + 1..first + BLOCK_SIZE })
        })
    }
}

/// Blocks of this process; ports are taken from the last one.
///
/// If two daemons get the same port, the second can't start, and its callers reach another listener
/// of the first one. This looks like a daemon that sends invalid responses.
///
/// The lock is held while a port is probed and while a process is spawned: until it executes its
/// program, a child process holds copies of all sockets, so a probed port would stay in use.
static BLOCKS: Mutex<Vec<Block>> = Mutex::new(Vec::new());

fn blocks() -> MutexGuard<'static, Vec<Block>> {
    BLOCKS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns a loopback address with a port that is free for TCP and UDP.
///
/// No other process that uses this function gets the port until this process exits.
///
/// # Errors
/// Returns an error if no free port was found.
pub fn free_port() -> Result<SocketAddr, String> {
    let mut blocks = blocks();
    loop {
        while let Some(port) = blocks.last_mut().and_then(|block| block.unused.next()) {
            let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
                return Ok(addr);
            }
        }
        let block = Block::acquire().ok_or("all blocks of ports are in use")?;
        blocks.push(block);
    }
}

/// Spawns a process while no port is being probed.
///
/// # Errors
/// Returns an error if the process can't be started.
pub fn start_process(command: &mut Command) -> std::io::Result<Child> {
    let _port_guard = blocks();
    command.spawn()
}
