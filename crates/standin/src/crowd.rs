//! Callers that send requests which never end, and the resources that a process uses for them.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use futures_util::{StreamExt, stream};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};

/// Interval at which the resources of a process are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Unchanged samples after which a process is taken to have read what its callers sent.
const SETTLED_SAMPLES: usize = 25;
/// Callers that connect at the same time; more would overflow the queue of new connections.
const MAX_CONNECTING: usize = 200;
/// Size of the parts of a body that is sent in pieces, in bytes.
const PIECE_BYTES: usize = 4 << 10;
/// Receive buffer of callers that don't read their answers, in bytes.
const SMALL_RECEIVE_BUFFER_BYTES: u32 = 4 << 10;

/// What each caller of a crowd sends before it stops, with its connection open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// Nothing.
    Idle,
    /// A request without a body; the answer is not read.
    Unread,
    /// A head of this size without its end.
    Head(usize),
    /// A whole body of this size.
    Whole(usize),
    /// All but the last byte of a body of this size.
    Short(usize),
    /// The same, in pieces.
    ShortInPieces(usize),
    /// A body of this size in chunks, without the last chunk.
    Chunked {
        /// Size of the body in bytes.
        body_bytes: usize,
        /// Size of each chunk in bytes.
        chunk_bytes: usize,
    },
    /// An empty chunked body with trailers of this size, without their end.
    Trailers(usize),
}

impl Shape {
    /// Returns the pieces to send after the lines of `head`.
    fn pieces(self, head: &str) -> Vec<Vec<u8>> {
        let with_length = |bytes: usize| format!("{head}content-length: {bytes}\r\n\r\n");
        match self {
            Self::Idle => Vec::new(),
            Self::Unread => vec![format!("{head}\r\n").into()],
            Self::Head(bytes) => {
                let padding = "x".repeat(bytes.saturating_sub(head.len() + "padding: ".len()));
                vec![format!("{head}padding: {padding}").into()]
            }
            Self::Whole(bytes) => vec![with_length(bytes).into(), vec![b'b'; bytes]],
            Self::Short(bytes) => vec![with_length(bytes).into(), vec![b'b'; bytes - 1]],
            Self::ShortInPieces(bytes) => {
                let body = vec![b'b'; bytes - 1];
                let pieces = body.chunks(PIECE_BYTES).map(<[u8]>::to_vec);
                std::iter::once(with_length(bytes).into()).chain(pieces).collect()
            }
            Self::Chunked { body_bytes, chunk_bytes } => {
                let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "b".repeat(chunk_bytes));
                let body = chunk.repeat(body_bytes / chunk_bytes);
                vec![format!("{head}transfer-encoding: chunked\r\n\r\n{body}").into()]
            }
            Self::Trailers(bytes) => {
                let trailer = format!("padding: {}", "x".repeat(bytes));
                vec![format!("{head}transfer-encoding: chunked\r\n\r\n0\r\n{trailer}").into()]
            }
        }
    }
}

/// Open connections of callers that have stopped; dropping it closes them.
#[derive(Debug)]
pub struct Crowd {
    _connections: Vec<TcpStream>,
}

impl Crowd {
    /// Opens `count` connections and sends on each what `shape` says.
    ///
    /// `head` is a request line and headers, each with its line end; `{n}` in it is replaced by a
    /// number. Connections that are refused or closed by the server are given up.
    pub async fn open(addr: SocketAddr, count: usize, shape: Shape, head: &str) -> Self {
        let callers = (0..count).map(|n| {
            let pieces = shape.pieces(&head.replace("{n}", &format!("{n:016x}")));
            send(addr, shape, pieces)
        });
        let opened = stream::iter(callers).buffer_unordered(MAX_CONNECTING);
        Self { _connections: opened.filter_map(std::future::ready).collect().await }
    }
}

/// Returns the open connection, or `None` if it can't be opened.
async fn send(addr: SocketAddr, shape: Shape, pieces: Vec<Vec<u8>>) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    if shape == Shape::Unread {
        socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER_BYTES).ok()?;
    }
    let mut connection = socket.connect(addr).await.ok()?;
    for piece in pieces {
        // The server may refuse the request and close the connection at any time.
        if connection.write_all(&piece).await.is_err() {
            break;
        }
        tokio::task::yield_now().await;
    }
    Some(connection)
}

/// Most resources that a process was seen to use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Peak of the resident memory and of the unread bytes in its sockets, in bytes.
    pub memory_bytes: usize,
    /// Most unread bytes in its sockets at one time.
    pub unread_bytes: usize,
    /// Most sockets and pipes at one time.
    pub sockets: usize,
}

impl Usage {
    /// Samples a process until nothing has changed for a while; `None` if the process has ended.
    pub async fn of_settled(process: u32) -> Option<Self> {
        let mut most = Self::default();
        let mut unchanged = 0;
        let mut last = None;
        while unchanged < SETTLED_SAMPLES {
            let sample = Sample::of(process)?;
            most.memory_bytes = most.memory_bytes.max(sample.peak_bytes + sample.unread_bytes);
            most.unread_bytes = most.unread_bytes.max(sample.unread_bytes);
            most.sockets = most.sockets.max(sample.sockets);
            unchanged = if last == Some(sample) { unchanged + 1 } else { 0 };
            last = Some(sample);
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
        Some(most)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Sample {
    peak_bytes: usize,
    unread_bytes: usize,
    sockets: usize,
}

impl Sample {
    /// Returns `None` if the process has ended.
    fn of(process: u32) -> Option<Self> {
        const KB: usize = 1024;
        let folder = Path::new("/proc").join(process.to_string());
        let status = std::fs::read_to_string(folder.join("status")).ok()?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let peak_kb: usize = peak.trim().trim_end_matches(" kB").parse().ok()?;
        let links = std::fs::read_dir(folder.join("fd")).ok()?;
        let targets = links.filter_map(|link| std::fs::read_link(link.ok()?.path()).ok());
        let mut pipes = 0;
        let mut inodes = HashSet::new();
        for target in targets {
            let target = target.to_string_lossy();
            if let Some(inode) = target.strip_prefix("socket:[") {
                inodes.insert(inode.trim_end_matches(']').to_owned());
            } else if target.starts_with("pipe:[") {
                pipes += 1;
            }
        }
        let table = std::fs::read_to_string(folder.join("net/tcp")).ok()?;
        let unread_bytes = table.lines().filter_map(|line| unread_bytes(line, &inodes)).sum();
        Some(Self { peak_bytes: peak_kb * KB, unread_bytes, sockets: inodes.len() + pipes })
    }
}

/// Returns the unread bytes of a connection in a line of `/proc/net/tcp`, if it is one of `inodes`.
fn unread_bytes(line: &str, inodes: &HashSet<String>) -> Option<usize> {
    const STATE_FIELD: usize = 3;
    const QUEUES_FIELD: usize = 4;
    const INODE_FIELD: usize = 9;
    const LISTENING: &str = "0A";
    let (_, unread) = line.split_whitespace().nth(QUEUES_FIELD)?.split_once(':')?;
    let unread_bytes = usize::from_str_radix(unread, 16).ok()?;
    if unread_bytes == 0 {
        return None;
    }
    let fields: Vec<&str> = line.split_whitespace().collect();
    // The receive queue of a listener counts connections.
    let is_counted = inodes.contains(*fields.get(INODE_FIELD)?) && fields[STATE_FIELD] != LISTENING;
    is_counted.then_some(unread_bytes)
}
