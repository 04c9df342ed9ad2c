//! Log lines on standard output that never hold up the process.

use std::io::{self, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

use crate::events::number_of;

/// Lines that may wait to be written; at about 150 bytes each they take under 400 KB.
const MOST_WAITING: usize = 2048;

/// Time that the last lines have to be written when the process ends.
const LAST_LINES_TIME: Duration = Duration::from_millis(100);

/// Lines that were handed over and not yet written.
static UNWRITTEN: AtomicUsize = AtomicUsize::new(0);

/// Hands lines to a thread that writes them; drops and counts them where it lags.
///
/// Whoever reads standard output may stop reading. A write would then block the thread
/// that serves callers, which one would notice by all requests timing out at once.
struct Lines {
    waiting: SyncSender<Vec<u8>>,
}

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        UNWRITTEN.fetch_add(1, Ordering::AcqRel);
        match self.waiting.try_send(line.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                UNWRITTEN.fetch_sub(1, Ordering::AcqRel);
                metrics::counter!("eelgrasspier_log_lines_dropped_total").increment(1);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Waits a moment for the lines that were logged last.
///
/// The writing thread ends with the process: without this the lines on the end of a planned
/// stop were never seen.
pub fn finish_log() {
    const LOOK_EVERY: Duration = Duration::from_millis(2);
    let began = Instant::now();
    while UNWRITTEN.load(Ordering::Acquire) > 0 && began.elapsed() < LAST_LINES_TIME {
        std::thread::sleep(LOOK_EVERY);
    }
}

/// Starts logging to standard output, one structured line for each event.
pub fn log_to_stdout() {
    let (waiting, lines) = sync_channel::<Vec<u8>>(MOST_WAITING);
    let write_all = move || {
        let mut out = io::stdout().lock();
        for line in lines {
            let written = out.write_all(&line).and_then(|()| out.flush());
            UNWRITTEN.fetch_sub(1, Ordering::AcqRel);
            if written.is_err() {
                // Nobody reads; the counter of dropped lines shows it.
                return;
            }
        }
    };
    let started = std::thread::Builder::new().name("log".to_owned()).spawn(write_all);
    let env = env_logger::Env::default().default_filter_or("info");
    let mut builder = env_logger::Builder::from_env(env);
    if started.is_ok() {
        builder.target(env_logger::Target::Pipe(Box::new(Lines { waiting })));
    }
    builder.format(|to, record| {
        let (time, level) = (to.timestamp_millis(), record.level().as_str());
        let line = record.args().to_string();
        match number_of(&line) {
            Some(number) => writeln!(to, "t={time} level={level} E{number} {line}"),
            // A library's line, or one for developers only.
            None => writeln!(to, "t={time} level={level} {line}"),
        }
    });
    builder.init();
}
