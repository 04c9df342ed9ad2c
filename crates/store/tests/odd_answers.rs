//! Answers of the platform that are cut or contain odd entries.

use std::net::SocketAddr;

use bytes::Bytes;
use eelgrasspier_store::{HttpStore, ObjectStore, ReadError, UpdateError};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TIMEOUT_MS: u64 = 5_000;

/// Starts a platform that answers each call with the same bytes and closes or resets the connection.
async fn start_platform(answer: String, is_reset: bool) -> HttpStore {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr: SocketAddr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 4096];
            let _bytes = stream.read(&mut buffer).await.unwrap();
            stream.write_all(answer.as_bytes()).await.unwrap();
            if is_reset {
                stream.set_zero_linger().unwrap();
            }
        }
    });
    HttpStore::new(&format!("http://{addr}"), TIMEOUT_MS)
}

fn with_length(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\netag: \"4\"\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

fn chunked(body: &str) -> String {
    let head = "HTTP/1.1 200 OK\r\netag: \"4\"\r\ntransfer-encoding: chunked\r\n\r\n";
    format!("{head}{:x}\r\n{body}\r\n0\r\n\r\n", body.len())
}

/// Guards against a second run of a request, or a lost configuration, since an object that was read
/// in part is written back.
#[actix_rt::test]
async fn cut_objects_are_not_read() {
    for answer in [with_length("abcdefghijkl"), chunked("abcdefghijkl")] {
        for is_reset in [false, true] {
            for length in 0..answer.len() {
                let cut = answer[..length].to_owned();
                let store = start_platform(cut.clone(), is_reset).await;
                let failure = store.read("name").await.expect_err(&cut);
                assert!(matches!(failure, ReadError::Unavailable(_)), "{failure:?} of {cut:?}");
            }
        }
        let store = start_platform(answer, false).await;
        assert_eq!(store.read("name").await.unwrap().unwrap().value, "abcdefghijkl");
    }
}

/// Guards against an update that is taken for confirmed, or for refused, by an odd status.
#[actix_rt::test]
async fn odd_statuses_confirm_nothing() {
    for status in ["000", "099", "2000", "600", "999", "OK", "101"] {
        let answer = with_length("{}").replace("200", status);
        let store = start_platform(answer, false).await;
        let failure = store.update("name", Some(3), Bytes::new()).await.expect_err(status);
        assert!(matches!(failure, UpdateError::Unknown(_)), "{failure:?} of {status}");
        store.read("name").await.expect_err(status);
        store.instances().await.expect_err(status);
    }
}

fn instance(name: &str) -> Value {
    json!({"name": name, "zone": "north", "peer_addr": "127.0.0.1:80"})
}

/// Guards against an instance that knows no others, since one entry of the list is odd.
#[actix_rt::test]
async fn instances_beside_odd_ones_are_read() {
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let long = json!("x".repeat(900_000)).to_string();
    for odd in [
        "{}",
        "5",
        "null",
        "[]",
        "{\"name\":5}",
        "{\"name\":\"\\ud800\"}",
        "1e999",
        "{\"name\":\"b\",\"zone\":\"north\"}",
        &deep,
        &long,
    ] {
        for list in [
            format!("[{odd},{},{}]", instance("a"), instance("c&d#e")),
            format!("[{},{},{odd}]", instance("a"), instance("c&d#e")),
        ] {
            let store = start_platform(with_length(&list), false).await;
            let listed = store.instances().await.unwrap();
            let names: Vec<&str> = listed.iter().map(|i| i.name.as_str()).collect();
            assert_eq!(names, ["a", "c&d#e"], "{}", &odd[..odd.len().min(50)]);
        }
    }
}

/// Guards against a shorter list of instances, since its answer is cut.
#[actix_rt::test]
async fn cut_lists_of_instances_are_not_read() {
    let answer = chunked(&json!([instance("a")]).to_string());
    for length in 0..answer.len() {
        let store = start_platform(answer[..length].to_owned(), false).await;
        store.instances().await.unwrap_err();
    }
}
