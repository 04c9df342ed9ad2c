//! Non-blocking log output on standard output.

use std::io::{self, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

use crate::events::number_of;

/// Maximum number of lines in the queue; at about 150 bytes each they take under 400 KB.
const MAX_QUEUED_LINES: usize = 2048;
/// Maximum length of a message in bytes; the rest is left out.
const MAX_MESSAGE_BYTES: usize = 8 << 10;

/// Time for writing the queued lines when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Number of lines that were queued and not yet written.
static PENDING_LINES: AtomicUsize = AtomicUsize::new(0);

/// Queues lines for the writer thread; drops and counts them when the queue is full.
///
/// The reader of standard output may stop reading. A direct write would then block the thread that
/// serves callers, and all requests would time out at once.
struct LineQueue {
    sender: SyncSender<Vec<u8>>,
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        PENDING_LINES.fetch_add(1, Ordering::AcqRel);
        match self.sender.try_send(line.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                PENDING_LINES.fetch_sub(1, Ordering::AcqRel);
                metrics::counter!("eelgrasspier_log_lines_dropped_total").increment(1);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Waits briefly until the queued lines are written.
///
/// The writer thread ends with the process. Without this wait the last lines of a planned stop were
/// lost.
pub fn flush_log() {
    const CHECK_INTERVAL: Duration = Duration::from_millis(2);
    let started_at = Instant::now();
    while PENDING_LINES.load(Ordering::Acquire) > 0 && started_at.elapsed() < FLUSH_TIMEOUT {
        std::thread::sleep(CHECK_INTERVAL);
    }
}

/// Returns a message as one line: bounded, with its control characters escaped.
///
/// A message may contain names and values of other writers.
fn to_printable(message: String) -> String {
    if message.len() <= MAX_MESSAGE_BYTES && !message.contains(char::is_control) {
        return message;
    }
    let mut line = String::new();
    for character in message.chars() {
        if character.is_control() {
            line.extend(character.escape_default());
        } else {
            line.push(character);
        }
        if line.len() >= MAX_MESSAGE_BYTES {
            line.push_str("...");
            break;
        }
    }
    line
}

/// Starts logging to standard output, one structured line for each event.
pub fn init_stdout_log() {
    let (sender, lines) = sync_channel::<Vec<u8>>(MAX_QUEUED_LINES);
    let write_all = move || {
        let mut out = io::stdout().lock();
        for line in lines {
            let result = out.write_all(&line).and_then(|()| out.flush());
            PENDING_LINES.fetch_sub(1, Ordering::AcqRel);
            if result.is_err() {
                // The reader is gone; the counter of dropped lines shows it.
                return;
            }
        }
    };
    let writer = std::thread::Builder::new().name("log".to_owned()).spawn(write_all);
    let env = env_logger::Env::default().default_filter_or("info");
    let mut builder = env_logger::Builder::from_env(env);
    if writer.is_ok() {
        builder.target(env_logger::Target::Pipe(Box::new(LineQueue { sender })));
    }
    builder.format(|to, record| {
        let (time, level) = (to.timestamp_millis(), record.level().as_str());
        let line = to_printable(record.args().to_string());
        match number_of(&line) {
            Some(number) => writeln!(to, "t={time} level={level} E{number} {line}"),
            // A line of a library, or one without an event number.
            None => writeln!(to, "t={time} level={level} {line}"),
        }
    });
    builder.init();
}
